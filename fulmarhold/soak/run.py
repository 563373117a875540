"""Runs one soak from its seed and tells what was broken."""

from __future__ import annotations

import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.errors import FulmarholdError
from fulmarhold.soak.checks import checks
from fulmarhold.soak.faults import faults
from fulmarhold.soak.world import Plan, World

if TYPE_CHECKING:
    from fulmarhold.soak.observations import Observations

# Faults come as often as this on average, and overlap.
FAULT_GAP: Milliseconds = 900.0
FEW_KINDS = 4
# Longest time that a fault goes on after the last one has begun.
FAULTS_END: Milliseconds = 40_000.0
# The bound of the users' pages for a return after losses, and the machine's own load.
RECOVERY: Milliseconds = 12_000.0
CHECK_PERIOD: Milliseconds = 5_000.0
MOST_SHOWN = 5


@dataclass(frozen=True)
class Result:
    """What one soak came to; `broken` is empty where every promise held."""

    seed: int
    broken: tuple[str, ...]
    faults: dict[str, int]
    requests: int
    served: int
    versions: int

    def __str__(self) -> str:
        share = self.served / max(1, self.requests)
        told = "held" if not self.broken else f"{len(self.broken)} broken"
        return (
            f"seed {self.seed}: {told}; {sum(self.faults.values())} faults, {self.versions} "
            f"versions, {self.requests} requests, {share:.0%} served"
        )


def run_soak(
    seed: int, duration: Milliseconds, plan: Plan | None = None, folder: Path | None = None
) -> Result:
    """Run one soak for `duration` ms of faults.

    Logs stay in `folder` if one is given; raises `FulmarholdError` when it holds another soak's.
    """
    if folder is not None and folder.exists() and any(folder.iterdir()):
        raise FulmarholdError(f"{folder} must be new or empty", step="starting a soak")
    with tempfile.TemporaryDirectory(prefix="fulmarhold-soak-") as temporary:
        random = Random(seed)
        world = World(folder or Path(temporary), seed, random, plan or Plan())
        begun: Counter[str] = Counter()
        broken: list[str] = []
        try:
            world.start()
            _harm(world, duration, begun)
            world.await_whole(RECOVERY)
        except FulmarholdError as error:
            broken.append(str(error))
        finally:
            world.stop()
        broken += find_broken(world.seen)
        answers = world.seen.answers
        return Result(
            seed,
            tuple(broken),
            dict(begun),
            len(answers),
            sum(answer.status == 200 for answer in answers),
            len(world.seen.stored),
        )


def find_broken(seen: Observations) -> list[str]:
    """Return what broke a promise, each with the promise's name."""
    return [f"{name}: {found}" for name in checks for found in checks.find(name)(seen)]


def _harm(world: World, duration: Milliseconds, begun: Counter[str]) -> None:
    """Begin faults at random for a time, and wait until the last of them is over."""
    # Few kinds leave the others calm, without which some promises say nothing.
    names = sorted(faults)
    names = world.random.sample(names, world.random.choice((FEW_KINDS, len(names))))
    until = world.clock.now() + duration
    checked_at = world.clock.now()
    running: list[gevent.Greenlet] = []
    while world.clock.now() < until:
        gevent.sleep(world.random.expovariate(1 / FAULT_GAP) / SECOND)
        name = world.random.choice(names)
        begun[name] += 1
        running.append(gevent.spawn(faults.find(name), world))
        if world.clock.now() > checked_at + CHECK_PERIOD:
            checked_at = world.clock.now()
            if find_broken(world.seen):
                break
    finished = gevent.joinall(running, timeout=FAULTS_END / SECOND, raise_error=True)
    if len(finished) < len(running):
        raise FulmarholdError("a fault did not end", step="soak")
