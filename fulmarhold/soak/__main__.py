"""The soak's command line."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from random import SystemRandom

import cyclopts
import yaml

from fulmarhold.clock import SECOND
from fulmarhold.soak.run import MOST_SHOWN, run_soak
from fulmarhold.soak.world import Plan

REGRESSIONS = Path(__file__).with_name("regressions.yml")
HIGHEST_SEED = 1_000_000

application = cyclopts.App(
    name="soak", help="Run the real daemons under faults and check what callers and upstreams see."
)


@application.default
def soak(
    *,
    seeds: int = 1,
    seed: int | None = None,
    seconds: float = 30.0,
    control: int = 3,
    entries: int = 3,
    replicas: int = 2,
    callers: int = 6,
    keep: Path | None = None,
    regressions: bool = False,
) -> int:
    """Run soaks one after the other; 1 if any promise was broken.

    Parameters
    ----------
    seeds
        How many seeds to run.
    seed
        The first seed, at random by default.
    seconds
        For how long faults come.
    control
        Control processes.
    entries
        Entry processes.
    replicas
        Upstreams of each service.
    callers
        Callers that send one request after the other.
    keep
        A folder for the logs of the processes, by seed.
    regressions
        Run the seeds that failed once instead.
    """
    first = SystemRandom().randrange(HIGHEST_SEED) if seed is None else seed
    chosen = [first + number for number in range(seeds)]
    if regressions:
        chosen = [int(item["seed"]) for item in yaml.safe_load(REGRESSIONS.read_text())]
    # The daemons are ended also when the soak is told to stop.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    plan = Plan(control, entries, replicas, callers)
    failed = 0
    for number in chosen:
        folder = keep / str(number) if keep is not None else None
        result = run_soak(number, seconds * SECOND, plan, folder)
        print(result, flush=True)
        for problem in list(dict.fromkeys(result.broken))[:MOST_SHOWN]:
            print(f"  BROKEN: {problem}", flush=True)
        failed += bool(result.broken)
    print(f"{len(chosen)} seeds, {failed} with broken promises")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(application())
