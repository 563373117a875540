"""Measures how a high rate of background queries affects urgent queries at one busy entry."""

from __future__ import annotations

import tempfile
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

import gevent

from fulmarhold.bench.load import run_load
from fulmarhold.bench.policy import format_counts
from fulmarhold.clock import Milliseconds
from fulmarhold.demo.run import EXAMPLES
from fulmarhold.fleet.fleet import Fleet, FleetPlan, read_metrics
from fulmarhold.operators.queries.questionnaires import load_questionnaire
from fulmarhold.operators.queries.status import format_table
from fulmarhold.standin.behaviour import Behaviour

if TYPE_CHECKING:
    from fulmarhold.bench.load import LoadResult

URGENT_SERVICE = "attendant-lookup"
BACKGROUND_SERVICE = "reconciliation"
URGENT_RATE = 40.0
HIGH_BACKGROUND_RATE = 400.0
LOW_BACKGROUND_RATE = 1.0
SERVICE_TIME: Milliseconds = 4.0
WARM_UP: Milliseconds = 2_000.0
DURATION: Milliseconds = 6_000.0
SEED = 20261204
HEADER = ("case", "attendants: answered", "p50 ms", "p99 ms", "background: answered", "refused",
          "leases ended")  # fmt: skip


def print_urgency() -> None:
    """Measure the urgent service at a low and at a high rate of background queries."""
    rows = []
    for case, rate in (("alone", LOW_BACKGROUND_RATE), ("beside a flood", HIGH_BACKGROUND_RATE)):
        with tempfile.TemporaryDirectory(prefix="fulmarhold-urgency-") as folder:
            rows.append((case, *_measure(Path(folder), rate)))
        print(f"  {case}: done", flush=True)
    print(format_table(HEADER, rows))


def _measure(folder: Path, background_rate: float) -> tuple[str, ...]:
    questionnaire = replace(load_questionnaire(EXAMPLES / "registry.yml"), entries=1)
    plan = FleetPlan(
        questionnaire,
        services=(URGENT_SERVICE, BACKGROUND_SERVICE),
        standin_processes=3,
        behaviour=Behaviour(service_ms=SERVICE_TIME),
        seed=SEED,
        log_level="error",
    )
    fleet = Fleet(folder, plan)
    try:
        fleet.start()
        services = fleet.configuration.services
        run_load(fleet, services[URGENT_SERVICE], URGENT_RATE, WARM_UP, SEED)
        leases_ended_before = _read_leases_ended(fleet)
        background = gevent.spawn(
            run_load, fleet, services[BACKGROUND_SERVICE], background_rate, DURATION, SEED
        )
        urgent = run_load(fleet, services[URGENT_SERVICE], URGENT_RATE, DURATION, SEED + 1)
        return _format_cells(
            urgent, background.get(), _read_leases_ended(fleet) - leases_ended_before
        )
    finally:
        fleet.kill()


def _format_cells(
    urgent: LoadResult, background: LoadResult, leases_ended: float
) -> tuple[str, ...]:
    refused = {name: count for name, count in background.outcomes.items() if name != "answered"}
    return (
        f"{urgent.answered} of {urgent.asked}",
        f"{urgent.latency.quantile(0.5):.1f}",
        f"{urgent.latency.quantile(0.99):.1f}",
        f"{background.answered} of {background.asked}",
        format_counts(refused),
        f"{leases_ended:.0f}",
    )


def _read_leases_ended(fleet: Fleet) -> float:
    metrics = read_metrics(fleet.entry_endpoints[0])
    return sum(value for name, value in metrics.items() if "leases_ended_total" in name)
