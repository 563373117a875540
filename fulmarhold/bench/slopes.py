"""Slopes that docs/CAPACITY.md is worked out from, each measured in this run."""

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
CONTROL_ENTRIES = (3, 15)
IDLE: Milliseconds = 6_000.0
ACCEPTS = 100
CLAIMS = 200
CALLERS = 4
SERVICE_TIME: Milliseconds = 1.0
TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
MEBIBYTE = 1024 * 1024

Measurement = tuple[str, float, str]


def print_slopes() -> None:
    """Measure and print every slope."""
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
    for entries in CONTROL_ENTRIES:
        with tempfile.TemporaryDirectory(prefix="fulmarhold-slopes-") as folder:
            questionnaire = _questionnaire((4,), entries=entries)
            fleet = Fleet(Path(folder), FleetPlan(questionnaire, log_level="error"))
            try:
                fleet.start()
                shares = _idle_shares(fleet.control)
                leader_shares.append(max(shares))
                if entries == CONTROL_ENTRIES[0]:
                    rows = _control_measurements(fleet, sum(shares))
            finally:
                fleet.kill()
    few, many = CONTROL_ENTRIES
    slope = (leader_shares[1] - leader_shares[0]) / (many - few)
    rows.append(
        (f"control's leader, idle with {few} entries", leader_shares[0] * 100, "% of a core")
    )
    rows.append(
        (f"control's leader, idle with {many} entries", leader_shares[1] * 100, "% of a core")
    )
    rows.append(("control's leader, each further entry", slope * 100, "% of a core"))
    return rows


def _control_measurements(fleet: Fleet, idle_share: float) -> list[Measurement]:
    clock = Clock()
    start, started_at = _total(fleet.control), clock.now()
    for base in range(ACCEPTS):
        accept_configuration(fleet.operator_endpoints, fleet.configuration, base + 1, "bench")
    changing, duration = _total(fleet.control) - start, clock.now() - started_at
    start, claims_at = _total(fleet.control), clock.now()
    caller = Caller(fleet.entry_endpoints, "a", Random(1))
    for _ in range(CLAIMS):
        caller.send("s4", "effect", deadline=5_000.0, key=new_identifier())
    claiming, claim_duration = _total(fleet.control) - start, clock.now() - claims_at
    change_cost = (changing - idle_share * duration) / ACCEPTS
    claim_cost = (claiming - idle_share * claim_duration) / CLAIMS
    return [
        ("control, memory of an instance", max(map(memory, fleet.control)) / MEBIBYTE, "MiB"),
        ("change, until in force", duration / ACCEPTS, "ms"),
        ("change, processor time of all control", change_cost, "ms"),
        ("claim and settle, one caller, whole request", claim_duration / CLAIMS, "ms"),
        ("claim and settle, processor time of all control", claim_cost, "ms"),
    ]


def measure_entry() -> list[Measurement]:
    """processor time and memory of an entry: known upstreams, queries over 10 to 240 shards"""
    rows: list[Measurement] = []
    with tempfile.TemporaryDirectory(prefix="fulmarhold-slopes-") as folder:
        questionnaire = _questionnaire(SHARD_COUNTS, entries=1, control=1)
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
            empty = memory(entry)
            empty_idle = _idle_share(entry)
            fleet.standins, fleet.upstreams = standins, upstreams
            for standin in standins:
                standin.start()
            fleet.await_ready()
            sleep_ms(IDLE / 2)
            known = sum(len(addresses) for addresses in upstreams.values())
            idle = _idle_share(entry)
            rows.append(("entry, idle without upstreams", empty_idle * 100, "% of a core"))
            rows.append(
                (
                    "entry, an upstream that announces itself here",
                    (idle - empty_idle) * SECOND * 1_000 / known,
                    "us of processor time a second",
                )
            )
            known_bytes = (memory(entry) - empty) / known
            rows.append(("entry, an upstream known and connected", known_bytes / 1024, "KiB"))
            for count in SHARD_COUNTS:
                rows.extend(_query_measurements(fleet, count, idle))
        finally:
            fleet.standins = standins
            fleet.kill()
    return rows


def _query_measurements(fleet: Fleet, shards: int, idle: float) -> list[Measurement]:
    entry = fleet.entries[0]
    queries = max(50, SUBREQUESTS_PER_COUNT // shards)
    clock = Clock()
    callers = [Caller(fleet.entry_endpoints, "a", Random(number)) for number in range(CALLERS)]
    _run_queries(callers, shards, queries // 10)
    start, started_at = processor_time(entry), clock.now()
    parts, refused = _run_queries(callers, shards, queries)
    used = processor_time(entry) - start - idle * (clock.now() - started_at)
    name = f"query over {shards} shards"
    rows = [
        (f"{name}, processor time of the entry", used / max(1, len(parts)), "ms"),
        (f"{name}, the same for each part", used / max(1, sum(parts)), "ms"),
    ]
    if refused:
        # The entry was too busy to hear its upstreams in time, or the machine was.
        rows.append(
            (f"{name}, REFUSED, so that the figures above are too high", refused, "queries")
        )
    return rows


def _run_queries(callers: list[Caller], shards: int, queries: int) -> tuple[list[int], int]:
    """Return how many parts each answer had, and how many queries were refused."""
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
    sleep_ms(IDLE)
    return [
        (processor_time(process) - start) / IDLE
        for process, start in zip(processes, starts, strict=True)
    ]


def _idle_share(process: FleetProcess) -> float:
    return _idle_shares([process])[0]


def _total(processes: list[FleetProcess]) -> Milliseconds:
    return sum(processor_time(process) for process in processes)


def processor_time(process: FleetProcess) -> Milliseconds:
    """Return the processor time that a process has used, in milliseconds."""
    fields = Path(f"/proc/{process.process_id}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * SECOND / TICKS


def memory(process: FleetProcess) -> int:
    """Return the resident memory of a process in bytes."""
    pages = Path(f"/proc/{process.process_id}/statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES


def _questionnaire(counts: tuple[int, ...], entries: int, control: int = 3) -> Questionnaire:
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
