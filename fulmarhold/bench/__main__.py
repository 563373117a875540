"""The bench: policies under scenarios, and the slopes that the capacity page is worked out from."""

from __future__ import annotations

import sys

import cyclopts

from fulmarhold.bench.forwarding import print_forwarding
from fulmarhold.bench.plot import plot_rows
from fulmarhold.bench.policy import (
    BASELINE,
    PRODUCT,
    RESULTS_FILE,
    SERVICES,
    compare_rows,
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
    """Run the scenarios under each policy set and compare them; 1 if a bound is broken.

    Parameters
    ----------
    deployment
        Deployments to run, both by default.
    policies
        Policy sets to run, baseline and product by default.
    scenario
        Scenarios to run, all by default.
    write
        Keep the figures and the plot as the ones that later runs are compared with.
    """
    rows = run_policy_bench(
        deployment or list(SERVICES), policies or [BASELINE, PRODUCT], scenario or list(scenarios)
    )
    print(format_rows(rows))
    before = {(row.deployment, row.scenario, row.policy): row for row in read_rows()}
    for row in rows:
        known = before.get((row.deployment, row.scenario, row.policy))
        if known is not None and row.policy == PRODUCT and known.p99:
            change = row.p99 / known.p99
            print(f"{row.deployment}, {row.scenario}: p99 is {change:.2f} of the last committed")
    problems = compare_rows(rows)
    for problem in problems:
        print(f"BOUND BROKEN: {problem}")
    if write:
        write_rows(rows)
        compared = [row for row in read_rows() if row.policy in (BASELINE, PRODUCT)]
        plot_rows(compared, RESULTS_FILE.with_suffix(".svg"))
    return 1 if problems else 0


@application.command
def slopes() -> int:
    """Measure what the capacity page is worked out from."""
    print_slopes()
    return 0


@application.command
def urgency() -> int:
    """Measure what a flood of background queries does to the attendants' at one entry."""
    print_urgency()
    return 0


@application.command
def forwarding(shards: int = 36, *, profile: bool = False) -> int:
    """Measure the processor time of forwarding a query over shards, for each part.

    Parameters
    ----------
    shards
        Shards of the query.
    profile
        Print where the time goes; the figure is then too high.
    """
    print_forwarding(shards, profile=profile)
    return 0


if __name__ == "__main__":
    sys.exit(application())
