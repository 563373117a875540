"""Runs one soak from its seed and reports the violated guarantees."""

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
from fulmarhold.soak.environment import Environment, FleetSizes
from fulmarhold.soak.faults import EVACUATE, Fault, faults
from fulmarhold.soak.restarts import cut_first_start_short

if TYPE_CHECKING:
    from fulmarhold.soak.observations import Observations

# Mean time between the starts of faults, which may overlap.
MEAN_FAULT_INTERVAL: Milliseconds = 900.0
FEW_FAULT_KINDS = 4
FIRST_FAULT_SHARE = 0.25
# The share of seeds in which a data centre is evacuated, once.
EVACUATION_SHARE = 0.3
# Planned work only, which must not cut a request.
PLANNED_FAULTS = (
    "change", "drain_upstream", "invalid", "race", "reload", "stop_series", "storm", "terminate",
)  # fmt: skip
# Maximum time for all running faults to finish after the last one has started.
FAULT_END_TIMEOUT: Milliseconds = 40_000.0
# The recovery bound of the user documentation plus time for load on the machine itself.
RECOVERY_TIMEOUT: Milliseconds = 12_000.0
CHECK_INTERVAL: Milliseconds = 5_000.0
MAX_SHOWN_VIOLATIONS = 5


@dataclass(frozen=True)
class Result:
    """Outcome of one soak; `violations` is empty if every guarantee held."""

    seed: int
    violations: tuple[str, ...]
    faults: dict[str, int]
    requests: int
    served: int
    versions: int

    def __str__(self) -> str:
        share = self.served / max(1, self.requests)
        outcome = "held" if not self.violations else f"{len(self.violations)} broken"
        return (
            f"seed {self.seed}: {outcome}; {sum(self.faults.values())} faults, {self.versions} "
            f"versions, {self.requests} requests, {share:.0%} served"
        )


def run_soak(
    seed: int, duration: Milliseconds, sizes: FleetSizes | None = None, folder: Path | None = None
) -> Result:
    """Run one soak with `duration` ms of fault injection.

    Logs are kept in `folder` if given; raises `FulmarholdError` unless it is new or empty.
    """
    if folder is not None and folder.exists() and any(folder.iterdir()):
        raise FulmarholdError(f"{folder} must be new or empty", step="starting a soak")
    with tempfile.TemporaryDirectory(prefix="fulmarhold-soak-") as temporary:
        random = Random(seed)
        environment = Environment(folder or Path(temporary), seed, random, sizes or FleetSizes())
        fault_counts: Counter[str] = Counter()
        violations: list[str] = []
        try:
            environment.start(plan_first_fault(seed))
            _inject_faults(environment, plan_faults(seed, duration), fault_counts)
            environment.wait_until_healthy(RECOVERY_TIMEOUT)
        except FulmarholdError as error:
            violations.append(str(error))
        finally:
            environment.stop()
        violations += run_checks(environment.observations)
        responses = environment.observations.responses
        served = sum(response.status == 200 for response in responses)
        versions = len(environment.observations.submitted)
        return Result(seed, tuple(violations), dict(fault_counts), len(responses), served, versions)


def run_checks(observations: Observations) -> list[str]:
    """Run every check and return the violations, each prefixed with the name of its check."""
    return [f"{name}: {found}" for name in checks for found in checks.find(name)(observations)]


def plan_faults(seed: int, duration: Milliseconds) -> list[tuple[Milliseconds, str]]:
    """Return when each fault starts, in ms after the first moment, and its name.

    The plan depends on the seed only. Callers draw random numbers too, and at a rate that depends
    on the machine, so they use another generator.
    """
    random = Random(f"faults of seed {seed}")
    # With few kinds of faults some subjects stay undisturbed, which some checks require.
    scope = random.choice(("all", "few", "planned"))
    names = list(PLANNED_FAULTS) if scope == "planned" else sorted(set(faults) - {EVACUATE})
    if scope == "few":
        names = random.sample(names, FEW_FAULT_KINDS)
    plan: list[tuple[Milliseconds, str]] = []
    moment = random.expovariate(1 / MEAN_FAULT_INTERVAL)
    while moment < duration:
        plan.append((moment, random.choice(names)))
        moment += random.expovariate(1 / MEAN_FAULT_INTERVAL)
    # Drawn apart, so that the seeds of earlier failures keep their other faults.
    apart = Random(f"evacuation of seed {seed}")
    if apart.random() < EVACUATION_SHARE:
        plan.append((apart.uniform(0.0, duration), EVACUATE))
    return sorted(plan)


def plan_first_fault(seed: int) -> Fault | None:
    """Return the fault that happens while the fleet starts; most seeds have none."""
    random = Random(f"first fault of seed {seed}")
    return cut_first_start_short if random.random() < FIRST_FAULT_SHARE else None


def _inject_faults(
    environment: Environment, plan: list[tuple[Milliseconds, str]], fault_counts: Counter[str]
) -> None:
    """Start the planned faults and wait until the last one has finished."""
    started_at = last_checked_at = environment.clock.now()
    greenlets: list[gevent.Greenlet] = []
    for moment, name in plan:
        gevent.sleep(max(0.0, started_at + moment - environment.clock.now()) / SECOND)
        fault_counts[name] += 1
        greenlets.append(environment.spawn(faults.find(name), environment))
        if environment.clock.now() > last_checked_at + CHECK_INTERVAL:
            last_checked_at = environment.clock.now()
            if run_checks(environment.observations):
                break
    finished = gevent.joinall(greenlets, timeout=FAULT_END_TIMEOUT / SECOND, raise_error=True)
    if len(finished) < len(greenlets):
        raise FulmarholdError("a fault did not finish in time", step="soak")
