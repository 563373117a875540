"""Policy benchmark: runs each scenario with the default policies and with a simple baseline."""

from __future__ import annotations

import json
import tempfile
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING

import gevent

from fulmarhold.bench.load import LoadResult, run_load
from fulmarhold.bench.scenarios import Scenario, scenarios
from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.demo.run import EXAMPLES
from fulmarhold.fleet.fleet import FIRST_VERSION, Fleet, FleetPlan, read_metrics, sleep_ms
from fulmarhold.operators.queries.questionnaires import load_questionnaire
from fulmarhold.operators.queries.status import format_table
from fulmarhold.standin.behaviour import Behaviour

if TYPE_CHECKING:
    from collections.abc import Sequence

MEASURED_SERVICES = {"lysvik": "configurator", "registry": "attendant-lookup"}
BASELINE = "baseline"
PRODUCT = "product"
SEED = 20261204
SERVICE_TIME: Milliseconds = 4.0
REQUEST_RATE = 60.0
WARM_UP: Milliseconds = 1_500.0
DURATION: Milliseconds = 6_000.0
# Slow requests occupy all slots at this rate, so that the upstreams are overloaded and not the
# processes of the benchmark.
OVERLOAD_RATE = 300.0
# The stated limit: extra load is at most a twentieth of the first tries, plus the tokens that each
# entry's budget starts with.
EXTRA_LOAD_SHARE = 0.05
INITIAL_TOKENS_PER_ENTRY = 20
RESULTS_FILE = Path(__file__).parents[2] / "docs" / "bench" / "policy.json"


@dataclass(frozen=True)
class Row:
    """The results of one scenario with one policy set; latencies are in milliseconds."""

    deployment: str
    scenario: str
    policy: str
    asked: int
    p50: float
    p99: float
    p999: float
    whole: float
    coverage: float
    extra: float
    first_tries: int
    refused: dict[str, int]
    broken: int
    missing: dict[str, int] = field(default_factory=dict)


def run_policy_bench(
    deployments: Sequence[str], policies: Sequence[str], scenario_names: Sequence[str]
) -> list[Row]:
    """Run every scenario with every policy set, print progress and return the rows."""
    rows: list[Row] = []
    for deployment in deployments:
        for policy in policies:
            with tempfile.TemporaryDirectory(prefix="fulmarhold-bench-") as folder:
                rows.extend(_run_fleet(Path(folder), deployment, policy, scenario_names))
    return rows


def _run_fleet(
    folder: Path, deployment: str, policy: str, scenario_names: Sequence[str]
) -> list[Row]:
    questionnaire = load_questionnaire(EXAMPLES / f"{deployment}.yml")
    service = MEASURED_SERVICES[deployment]
    plan = FleetPlan(
        questionnaire,
        services=(service,),
        standin_processes=4,
        behaviour=_default_behaviour(),
        seed=SEED,
        log_level="error",
        entry_module="fulmarhold.bench.entry",
        entry_options={"policy": policy},
    )
    fleet = Fleet(folder, plan)
    rows = []
    try:
        fleet.start()
        for name in scenario_names:
            row = _run_scenario(fleet, deployment, policy, scenarios.find(name))
            print(f"  {deployment:9} {policy:9} {name:26} p99 {row.p99:7.1f} ms", flush=True)
            rows.append(row)
    finally:
        fleet.kill()
    return rows


def _run_scenario(fleet: Fleet, deployment: str, policy: str, scenario: Scenario) -> Row:
    service = fleet.configuration.services[MEASURED_SERVICES[deployment]]
    addresses = fleet.upstreams[service.name]
    scenario.prepare(fleet, addresses)
    rate = REQUEST_RATE
    if scenario.load_factor > 1:
        rate = OVERLOAD_RATE
        concurrent_queries = service.slots * len(addresses) / service.shards
        service_time = concurrent_queries * scenario.load_factor / rate * SECOND
        fleet.command("behave", addresses, service_ms=service_time, spread_ms=0.0)
    run_load(fleet, service, rate, WARM_UP, SEED)
    before = _count_subrequests(fleet, service.name)
    disturbance_task = gevent.spawn(scenario.disturb, fleet, addresses)
    result = run_load(fleet, service, rate, DURATION, SEED + 1)
    disturbance_task.get()
    after = _count_subrequests(fleet, service.name)
    _restore_upstreams(fleet, addresses)
    first = after[0] - before[0]
    extra = (after[1] - before[1]) / first if first else 0.0
    return _make_row(deployment, scenario.name, policy, result, extra, first)


def _make_row(
    deployment: str, scenario: str, policy: str, result: LoadResult, extra: float, first: float
) -> Row:
    refused = {name: count for name, count in result.outcomes.items() if name != "answered"}
    return Row(
        deployment,
        scenario,
        policy,
        result.asked,
        result.latency.quantile(0.5),
        result.latency.quantile(0.99),
        result.latency.quantile(0.999),
        result.whole_share,
        result.coverage,
        extra,
        int(first),
        refused,
        len(result.broken),
        dict(result.missing),
    )


def _default_behaviour() -> Behaviour:
    return Behaviour(service_ms=SERVICE_TIME)


def _restore_upstreams(fleet: Fleet, addresses: list[str]) -> None:
    fleet.command("behave", addresses, **asdict(_default_behaviour()))
    stopped = [
        address
        for address, report in fleet.report().items()
        if address in addresses and not report["is_running"]
    ]
    if stopped:
        fleet.command("restart", stopped)
    fleet.command("announce", addresses, versions=[FIRST_VERSION])
    sleep_ms(WARM_UP)
    fleet.await_ready()


def _count_subrequests(fleet: Fleet, service: str) -> tuple[float, float]:
    """Return the numbers of first tries and of extra requests that all entries have sent."""
    first = extra = 0.0
    for endpoint in fleet.entry_endpoints:
        for name, value in read_metrics(endpoint).items():
            if f'service="{service}"' not in name:
                continue
            if name.startswith("fulmarhold_subrequests_total"):
                first += value
            elif name.startswith("fulmarhold_extra_load_total") and _counts_sent_requests(name):
                extra += value
    return first, extra


def _counts_sent_requests(name: str) -> bool:
    return not any(kind in name for kind in ("refused", "hedge_won", "hedge_pointless"))


def check_bounds(rows: Sequence[Row]) -> list[str]:
    """Return a message for each bound that the rows violate."""
    problems = []
    baseline = {(row.deployment, row.scenario): row for row in rows if row.policy == BASELINE}
    for row in rows:
        label = f"{row.deployment}, {row.scenario}"
        if row.broken:
            problems.append(f"{label}: {row.broken} answers broke a promise")
        if row.policy != PRODUCT:
            continue
        # Both example deployments have 6 entries.
        max_extra_load = EXTRA_LOAD_SHARE + INITIAL_TOKENS_PER_ENTRY * 6 / max(1, row.first_tries)
        if row.extra > max_extra_load:
            problems.append(f"{label}: extra load {row.extra:.3f} is above {max_extra_load:.3f}")
        reference = baseline.get((row.deployment, row.scenario))
        if reference is None:
            continue
        if row.scenario == "healthy" and row.coverage < 1.0:
            problems.append(f"{label}: coverage {row.coverage:.4f} without any fault")
        if row.deployment == "registry" and row.coverage < reference.coverage:
            problems.append(f"{label}: coverage {row.coverage:.4f} below {reference.coverage:.4f}")
        if row.scenario in ("stragglers", "one slow replica a shard") and row.p99 > reference.p99:
            problems.append(
                f"{label}: p99 {row.p99:.1f} ms above the baseline's {reference.p99:.1f}"
            )
    return problems


def format_rows(rows: Sequence[Row]) -> str:
    """Return the rows as a table, grouped by deployment and scenario."""
    header = ("deployment", "scenario", "policy", "asked", "p50", "p99", "p99.9", "whole",
              "coverage", "extra", "refused", "parts missing")  # fmt: skip
    ordered_rows = sorted(
        rows, key=lambda row: (row.deployment, list(scenarios).index(row.scenario))
    )
    return format_table(header, [_format_cells(row) for row in ordered_rows])


def _format_cells(row: Row) -> tuple[str, ...]:
    return (
        row.deployment,
        row.scenario,
        row.policy,
        str(row.asked),
        f"{row.p50:.1f}",
        f"{row.p99:.1f}",
        f"{row.p999:.1f}",
        f"{row.whole:.4f}",
        f"{row.coverage:.4f}",
        f"{row.extra:.4f}",
        format_counts(row.refused),
        format_counts(row.missing),
    )


def format_counts(counts: dict[str, int]) -> str:
    """Return the counts with their names on one line."""
    return ", ".join(f"{count} {name}" for name, count in counts.items()) or "-"


def write_rows(rows: Sequence[Row]) -> None:
    """Save the rows as the reference for later runs; they replace older rows with the same keys."""
    rows_by_key = {(row.deployment, row.scenario, row.policy): row for row in [*read_rows(), *rows]}
    rows = list(rows_by_key.values())
    RESULTS_FILE.parent.mkdir(parents=True, exist_ok=True)
    RESULTS_FILE.write_text(
        json.dumps([asdict(row) for row in rows], indent=1) + "\n", encoding="utf-8"
    )


def read_rows() -> list[Row]:
    """Return the saved rows, or an empty list if none were saved."""
    if not RESULTS_FILE.exists():
        return []
    return [Row(**item) for item in json.loads(RESULTS_FILE.read_text(encoding="utf-8"))]
