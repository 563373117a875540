"""Measures the unit costs from which docs/CAPACITY.md is calculated."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.bench.micro import micro_measurements
from fulmarhold.callers.caller import Caller
from fulmarhold.clock import SECOND, Clock, Milliseconds
from fulmarhold.control.identifiers import new_identifier
from fulmarhold.errors import PeerUnavailable
from fulmarhold.fleet.fleet import Fleet, FleetPlan, sleep_ms
from fulmarhold.operators.commands.configurations import accept_configuration
from fulmarhold.operators.queries.status import format_table
from fulmarhold.questionnaire.schema import Questionnaire
from fulmarhold.settings.loading import load_document
from fulmarhold.standin.behaviour import Behaviour

if TYPE_CHECKING:
    from fulmarhold.fleet.processes import FleetProcess

SHARD_COUNTS = (10, 15, 30, 60, 240)
SUBREQUESTS_PER_COUNT = 12_000
ENTRY_COUNTS = (3, 15)
IDLE_DURATION: Milliseconds = 6_000.0
CONFIGURATION_CHANGES = 100
CLAIM_COUNT = 200
CALLER_COUNT = 4
SERVICE_TIME: Milliseconds = 1.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEBIBYTE = 1024 * 1024

Measurement = tuple[str, float, str]


def print_slopes() -> None:
    """Run and print all measurements."""
    rows: list[Measurement] = []
    for measure in (measure_import, measure_control, measure_entry):
        print(f"measuring: {measure.__doc__}", flush=True)
        rows.extend(measure())
    rows.extend(micro_measurements())
    cells = [(name, f"{value:.4g}", unit) for name, value, unit in rows]
    print(format_table(("what", "value", "unit"), cells))


def measure_import() -> list[Measurement]:
    """memory of the entry program before it does anything"""
    code = "import fulmarhold.entry.__main__, os; print(open('/proc/self/statm').read().split()[1])"
    output = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    ).stdout
    return [("entry, memory after imports", int(output) * PAGE_BYTES / MEBIBYTE, "MiB")]


def measure_control() -> list[Measurement]:
    """processor time of control: idle with few and many entries, a change, a claim"""
    rows: list[Measurement] = []
    leader_shares = []
    for entries in ENTRY_COUNTS:
        with tempfile.TemporaryDirectory(prefix="fulmarhold-slopes-") as folder:
            questionnaire = _make_questionnaire((4,), entries=entries)
            fleet = Fleet(Path(folder), FleetPlan(questionnaire, log_level="error"))
            try:
                fleet.start()
                shares = _idle_shares(fleet.control)
                leader_shares.append(max(shares))
                if entries == ENTRY_COUNTS[0]:
                    rows = _control_measurements(fleet, sum(shares))
            finally:
                fleet.kill()
    few, many = ENTRY_COUNTS
    leader_share_per_entry = (leader_shares[1] - leader_shares[0]) / (many - few)
    rows.append(
        (f"control's leader, idle with {few} entries", leader_shares[0] * 100, "% of a core")
    )
    rows.append(
        (f"control's leader, idle with {many} entries", leader_shares[1] * 100, "% of a core")
    )
    rows.append(
        ("control's leader, each further entry", leader_share_per_entry * 100, "% of a core")
    )
    return rows


def _control_measurements(fleet: Fleet, idle_share: float) -> list[Measurement]:
    clock = Clock()
    start, changes_started_at = _total_processor_time(fleet.control), clock.now()
    for base in range(CONFIGURATION_CHANGES):
        accept_configuration(fleet.operator_endpoints, fleet.configuration, base + 1, "bench")
    change_processor_time, change_duration = (
        _total_processor_time(fleet.control) - start,
        clock.now() - changes_started_at,
    )
    start, claims_started_at = _total_processor_time(fleet.control), clock.now()
    caller = Caller(fleet.entry_endpoints, "a", Random(1))
    for _ in range(CLAIM_COUNT):
        caller.send("s4", "effect", deadline=5_000.0, key=new_identifier())
    claim_processor_time, claim_duration = (
        _total_processor_time(fleet.control) - start,
        clock.now() - claims_started_at,
    )
    change_cost = (change_processor_time - idle_share * change_duration) / CONFIGURATION_CHANGES
    claim_cost = (claim_processor_time - idle_share * claim_duration) / CLAIM_COUNT
    return [
        (
            "control, memory of an instance",
            max(map(resident_memory, fleet.control)) / MEBIBYTE,
            "MiB",
        ),
        ("change, until in force", change_duration / CONFIGURATION_CHANGES, "ms"),
        ("change, processor time of all control", change_cost, "ms"),
        ("claim and settle, one caller, whole request", claim_duration / CLAIM_COUNT, "ms"),
        ("claim and settle, processor time of all control", claim_cost, "ms"),
    ]


def measure_entry() -> list[Measurement]:
    """processor time and memory of an entry: known upstreams, queries over 10 to 240 shards"""
    rows: list[Measurement] = []
    with tempfile.TemporaryDirectory(prefix="fulmarhold-slopes-") as folder:
        questionnaire = _make_questionnaire(SHARD_COUNTS, entries=1, control=1)
        plan = FleetPlan(
            questionnaire,
            standin_processes=3,
            behaviour=Behaviour(service_ms=SERVICE_TIME),
            log_level="error",
        )
        fleet = Fleet(Path(folder), plan)
        standins, fleet.standins = fleet.standins, []
        upstreams, fleet.upstreams = fleet.upstreams, {}
        try:
            fleet.start()
            entry = fleet.entries[0]
            memory_before = resident_memory(entry)
            idle_share_before = _idle_share(entry)
            fleet.standins, fleet.upstreams = standins, upstreams
            for standin in standins:
                standin.start()
            fleet.await_ready()
            sleep_ms(IDLE_DURATION / 2)
            upstream_count = sum(len(addresses) for addresses in upstreams.values())
            idle_share = _idle_share(entry)
            rows.append(("entry, idle without upstreams", idle_share_before * 100, "% of a core"))
            rows.append(
                (
                    "entry, an upstream that announces itself here",
                    (idle_share - idle_share_before) * SECOND * 1_000 / upstream_count,
                    "us of processor time a second",
                )
            )
            bytes_per_upstream = (resident_memory(entry) - memory_before) / upstream_count
            rows.append(
                ("entry, an upstream known and connected", bytes_per_upstream / 1024, "KiB")
            )
            for count in SHARD_COUNTS:
                rows.extend(_query_measurements(fleet, count, idle_share))
        finally:
            fleet.standins = standins
            fleet.kill()
    return rows


def _query_measurements(fleet: Fleet, shards: int, idle_share: float) -> list[Measurement]:
    entry = fleet.entries[0]
    queries = max(50, SUBREQUESTS_PER_COUNT // shards)
    clock = Clock()
    callers = [Caller(fleet.entry_endpoints, "a", Random(number)) for number in range(CALLER_COUNT)]
    _run_queries(callers, shards, queries // 10)
    start, started_at = processor_time(entry), clock.now()
    parts, refused = _run_queries(callers, shards, queries)
    query_time = processor_time(entry) - start - idle_share * (clock.now() - started_at)
    name = f"query over {shards} shards"
    rows = [
        (f"{name}, processor time of the entry", query_time / max(1, len(parts)), "ms"),
        (f"{name}, the same for each part", query_time / max(1, sum(parts)), "ms"),
    ]
    if refused:
        # The entry or the whole machine was too busy to process upstream announcements in time.
        rows.append(
            (f"{name}, REFUSED, so that the figures above are too high", refused, "queries")
        )
    return rows


def _run_queries(callers: list[Caller], shards: int, queries: int) -> tuple[list[int], int]:
    """Return the number of parts in each answer, and how many queries were refused."""
    parts: list[int] = []
    refusals: list[str] = []

    def run(caller: Caller) -> None:
        for _ in range(queries // len(callers)):
            try:
                answer = caller.send(f"s{shards}", "search", deadline=5_000.0)
            except PeerUnavailable as error:
                refusals.append(str(error))
                continue
            if answer.outcome == "answered":
                parts.append(answer.document["coverage"]["covered"])
            else:
                refusals.append(answer.document["reason"])

    gevent.joinall([gevent.spawn(run, caller) for caller in callers], raise_error=True)
    return parts, len(refusals)


def _idle_shares(processes: list[FleetProcess]) -> list[float]:
    starts = [processor_time(process) for process in processes]
    sleep_ms(IDLE_DURATION)
    return [
        (processor_time(process) - start) / IDLE_DURATION
        for process, start in zip(processes, starts, strict=True)
    ]


def _idle_share(process: FleetProcess) -> float:
    return _idle_shares([process])[0]


def _total_processor_time(processes: list[FleetProcess]) -> Milliseconds:
    return sum(processor_time(process) for process in processes)


def processor_time(process: FleetProcess) -> Milliseconds:
    """Return the user and system time that a process has used, in milliseconds."""
    fields = Path(f"/proc/{process.process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * SECOND / TICKS_PER_SECOND


def resident_memory(process: FleetProcess) -> int:
    """Return the resident memory of a process in bytes."""
    pages = Path(f"/proc/{process.process_id}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES


def _make_questionnaire(counts: tuple[int, ...], entries: int, control: int = 3) -> Questionnaire:
    services: list[dict[str, Any]] = [
        {
            "name": f"s{count}",
            "shards": count,
            "servers": count,
            "slots": 8,
            "connections": 8 * entries + 1,
            "connection_cost_ms": 0,
            "priority": "coverage",
            "urgency": "urgent",
            "deadline_ms": 5_000,
            "least_coverage": 0.5,
            "requests": [
                {"name": "search", "idempotent": True},
                {"name": "effect", "idempotent": False},
            ],
        }
        for count in counts
    ]
    document = {
        "deployment": "slopes",
        "data_centres": ["a"],
        "distances": {"between_data_centres_ms": 0, "from_callers_ms": 0},
        "entries": entries,
        "control_instances": control,
        "services": services,
    }
    return load_document(document, Questionnaire, "slopes")
