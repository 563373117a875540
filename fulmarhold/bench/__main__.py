"""Command line of the benchmarks: policy comparison and the measurements for capacity planning."""

from __future__ import annotations

import sys

import cyclopts

from fulmarhold.bench.forwarding import print_forwarding
from fulmarhold.bench.plot import plot_rows
from fulmarhold.bench.policy import (
    BASELINE,
    MEASURED_SERVICES,
    PRODUCT,
    RESULTS_FILE,
    check_bounds,
    format_rows,
    read_rows,
    run_policy_bench,
    write_rows,
)
from fulmarhold.bench.scenarios import scenarios
from fulmarhold.bench.slopes import print_slopes
from fulmarhold.bench.urgency import print_urgency

application = cyclopts.App(name="bench", help="Measure on loopback with stand-in upstreams.")


@application.default
@application.command
def policy(
    *,
    deployment: list[str] | None = None,
    policies: list[str] | None = None,
    scenario: list[str] | None = None,
    write: bool = False,
) -> int:
    """Run the scenarios under each policy set and compare them; exit with 1 if a bound is violated.

    Parameters
    ----------
    deployment
        Deployments to run; both by default.
    policies
        Policy sets to run; baseline and product by default.
    scenario
        Scenarios to run; all by default.
    write
        Save the results and the plot as the reference for later runs.
    """
    rows = run_policy_bench(
        deployment or list(MEASURED_SERVICES),
        policies or [BASELINE, PRODUCT],
        scenario or list(scenarios),
    )
    print(format_rows(rows))
    previous_rows = {(row.deployment, row.scenario, row.policy): row for row in read_rows()}
    for row in rows:
        previous = previous_rows.get((row.deployment, row.scenario, row.policy))
        if previous is not None and row.policy == PRODUCT and previous.p99:
            change = row.p99 / previous.p99
            print(f"{row.deployment}, {row.scenario}: p99 is {change:.2f} of the last committed")
    problems = check_bounds(rows)
    for problem in problems:
        print(f"BOUND BROKEN: {problem}")
    if write:
        write_rows(rows)
        compared = [row for row in read_rows() if row.policy in (BASELINE, PRODUCT)]
        plot_rows(compared, RESULTS_FILE.with_suffix(".svg"))
    return 1 if problems else 0


@application.command
def slopes() -> int:
    """Measure the unit costs from which docs/CAPACITY.md is calculated."""
    print_slopes()
    return 0


@application.command
def urgency() -> int:
    """Measure how a high rate of background queries affects urgent queries at one entry."""
    print_urgency()
    return 0


@application.command
def forwarding(shards: int = 36, *, profile: bool = False) -> int:
    """Measure the processor time per part of forwarding a query to several shards.

    Parameters
    ----------
    shards
        Number of shards that each query is sent to.
    profile
        Print a profile by function; profiling makes the measured time too high.
    """
    print_forwarding(shards, profile=profile)
    return 0


if __name__ == "__main__":
    sys.exit(application())
