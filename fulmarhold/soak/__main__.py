"""Command line of the soak test."""

from __future__ import annotations

import signal
import sys
from pathlib import Path
from random import SystemRandom

import cyclopts
import yaml

from fulmarhold.clock import SECOND
from fulmarhold.soak.environment import FleetSizes
from fulmarhold.soak.run import MAX_SHOWN_VIOLATIONS, run_soak

REGRESSIONS = Path(__file__).with_name("regressions.yml")
MAX_SEED = 1_000_000

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
    """Run one soak per seed in sequence; the exit status is 1 if any guarantee was violated.

    Parameters
    ----------
    seeds
        Number of seeds to run.
    seed
        The first seed; chosen at random by default.
    seconds
        Duration of fault injection for each seed.
    control
        Number of control processes.
    entries
        Number of entry processes.
    replicas
        Number of upstreams per service.
    callers
        Number of callers, each of which sends its requests sequentially.
    keep
        Folder that keeps the logs of the processes, in one subfolder per seed.
    regressions
        Run the recorded seeds of earlier failures instead.
    """
    first = SystemRandom().randrange(MAX_SEED) if seed is None else seed
    chosen = [first + number for number in range(seeds)]
    if regressions:
        chosen = [int(item["seed"]) for item in yaml.safe_load(REGRESSIONS.read_text())]
    # Exit through SystemExit on SIGTERM, so that the daemons are stopped as well.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    sizes = FleetSizes(control, entries, replicas, callers)
    failed = 0
    for number in chosen:
        folder = keep / str(number) if keep is not None else None
        result = run_soak(number, seconds * SECOND, sizes, folder)
        print(result, flush=True)
        for problem in list(dict.fromkeys(result.violations))[:MAX_SHOWN_VIOLATIONS]:
            print(f"  BROKEN: {problem}", flush=True)
        failed += bool(result.violations)
    print(f"{len(chosen)} seeds, {failed} with broken promises")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(application())
