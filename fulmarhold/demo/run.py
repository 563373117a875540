"""What the demo does: start a fleet, ask, redeem, resend, and judge every answer."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import TYPE_CHECKING

import gevent

from fulmarhold.callers.caller import Caller, CallerAnswer
from fulmarhold.callers.checks import find_duplicate_effects, find_violations
from fulmarhold.clock import SECOND, Clock
from fulmarhold.control.identifiers import new_identifier
from fulmarhold.errors import FulmarholdError
from fulmarhold.fleet.fleet import Fleet, FleetPlan
from fulmarhold.observe.latency import LatencyHistogram
from fulmarhold.operators.queries.questionnaires import load_questionnaire
from fulmarhold.operators.queries.status import format_table
from fulmarhold.questionnaire.derive import derive_configuration

if TYPE_CHECKING:
    from fulmarhold.configuration import RequestType, ServiceConfiguration

EXAMPLES = Path(__file__).parents[2] / "examples"
DEPLOYMENTS = ("registry", "lysvik")
QUERIES_PER_TYPE = 60
CALLERS = 3
RESENT_SHARE = 3


@dataclass
class Tally:
    """What came back for one request type."""

    outcomes: dict[str, int] = field(default_factory=dict)
    covered: int = 0
    total: int = 0
    snapshots: set[str] = field(default_factory=set)
    latency: LatencyHistogram = field(default_factory=LatencyHistogram)

    def add(self, answer: CallerAnswer) -> None:
        """Take in one answer."""
        outcome = answer.outcome
        if outcome != "answered":
            outcome = f"{outcome}: {answer.document.get('reason')}"
        self.outcomes[outcome] = self.outcomes.get(outcome, 0) + 1
        self.latency.record(answer.latency)
        if answer.outcome == "answered":
            self.covered += answer.document["coverage"]["covered"]
            self.total += answer.document["coverage"]["total"]
            snapshot = answer.document["snapshot"]
            self.snapshots.add(f"{snapshot['layout']}@{snapshot['version']}")

    def row(self, name: str) -> tuple[str, ...]:
        """Return the row of the table."""
        outcomes = ", ".join(f"{count} {outcome}" for outcome, count in self.outcomes.items())
        return (
            name,
            outcomes,
            " ".join(sorted(self.snapshots)) or "-",
            f"{self.covered}/{self.total}",
            f"{self.latency.quantile(0.5):.1f}",
            f"{self.latency.quantile(0.99):.1f}",
        )


def run_demo(deployment: str, folder: Path) -> int:
    """Run the demo of one deployment; returns 0 when every promise held."""
    clock = Clock()
    for name in DEPLOYMENTS:
        configuration = derive_configuration(load_questionnaire(EXAMPLES / f"{name}.yml"))
        print(f"generated the configuration of {name}: {len(configuration.services)} services")
    questionnaire = load_questionnaire(EXAMPLES / f"{deployment}.yml")
    fleet = Fleet(folder, FleetPlan(questionnaire))
    started_at = clock.now()
    try:
        print(f"starting {len(fleet.processes)} processes ...", flush=True)
        fleet.start()
        print(f"ready after {(clock.now() - started_at) / SECOND:.1f} s")
        print(f"callers are told to use {', '.join(fleet.instances(fleet.entry_endpoints[0]))}")
        problems = _ask_everything(fleet)
        problems.extend(find_duplicate_effects(fleet.effects()))
        print("stopping gracefully ...", flush=True)
        problems.extend(f"{name} did not stop with 0" for name in fleet.stop())
    finally:
        fleet.kill()
    for problem in problems:
        print(f"BROKEN: {problem}")
    print("every promise held" if not problems else f"{len(problems)} promises were broken")
    return 1 if problems else 0


def _ask_everything(fleet: Fleet) -> list[str]:
    problems: list[str] = []
    tallies: dict[str, Tally] = {}
    centres = fleet.plan.questionnaire.data_centres
    tasks = []
    for number in range(CALLERS):
        caller = Caller(fleet.entry_endpoints, centres[number % len(centres)], Random(number))
        tasks.append(gevent.spawn(_run_caller, caller, fleet, tallies, problems))
    gevent.joinall(tasks, raise_error=True)
    rows = [tally.row(name) for name, tally in tallies.items()]
    header = ("request", "outcomes", "snapshot", "coverage", "p50 ms", "p99 ms")
    print(format_table(header, rows))
    return problems


def _run_caller(
    caller: Caller, fleet: Fleet, tallies: dict[str, Tally], problems: list[str]
) -> None:
    for service in fleet.configuration.services.values():
        for request_type in service.requests.values():
            name = f"{service.name}/{request_type.name}"
            tally = tallies.setdefault(name, Tally())
            for number in range(QUERIES_PER_TYPE // CALLERS):
                answer = _ask(caller, service, request_type, number)
                tally.add(answer)
                problems.extend(
                    f"{name}: {problem}"
                    for problem in find_violations(service.name, answer.document)
                )
    caller.close()


def _ask(
    caller: Caller, service: ServiceConfiguration, request_type: RequestType, number: int
) -> CallerAnswer:
    if request_type.idempotent:
        return caller.send(service.name, request_type.name, deadline=service.deadline_ms)
    key = new_identifier()
    deadline = 5 * service.deadline_ms
    answer = caller.send(service.name, request_type.name, deadline=deadline, key=key)
    if number % RESENT_SHARE == 0:
        # A caller that lost the answer sends the same key again, to whichever entry.
        again = caller.send(service.name, request_type.name, deadline=deadline, key=key)
        if answer.outcome == "answered" and again.outcome == "not_run":
            raise FulmarholdError(f"a request that ran was said not to have run: {key}")
    return answer
