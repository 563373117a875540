"""Open-loop load: requests are sent on schedule, regardless of whether earlier ones have ended."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING

import gevent

from fulmarhold.callers.caller import Caller
from fulmarhold.callers.checks import find_violations
from fulmarhold.clock import SECOND, Clock, Milliseconds
from fulmarhold.errors import PeerUnavailable
from fulmarhold.observe.latency import LatencyHistogram

if TYPE_CHECKING:
    from fulmarhold.configuration import ServiceConfiguration
    from fulmarhold.fleet.fleet import Fleet


@dataclass
class LoadResult:
    """Outcomes, latencies and coverage of a load, as the callers observed them.

    `whole` counts answers without missing parts, `missing` counts missing parts by reason, and
    `broken` describes the violations that were found in answers.
    """

    latency: LatencyHistogram = field(default_factory=LatencyHistogram)
    outcomes: Counter[str] = field(default_factory=Counter)
    missing: Counter[str] = field(default_factory=Counter)
    broken: list[str] = field(default_factory=list)
    asked: int = 0
    answered: int = 0
    whole: int = 0
    covered: int = 0
    total: int = 0

    @property
    def whole_share(self) -> float:
        return self.whole / self.answered if self.answered else 0.0

    @property
    def coverage(self) -> float:
        return self.covered / self.total if self.total else 0.0


def run_load(
    fleet: Fleet, service: ServiceConfiguration, rate: float, duration: Milliseconds, seed: int
) -> LoadResult:
    """Send requests with exponentially distributed gaps, `rate` per second, for `duration` ms."""
    random = Random(seed)
    clock = Clock()
    request_type = next(item.name for item in service.requests.values() if item.idempotent)
    data_centres = fleet.plan.questionnaire.data_centres
    callers = [
        Caller(fleet.entry_endpoints, data_centre, Random(seed + number))
        for number, data_centre in enumerate(data_centres)
    ]
    result = LoadResult()
    tasks = []
    due = clock.now()
    end = due + duration
    while due < end:
        gevent.sleep(max(0.0, due - clock.now()) / SECOND)
        caller = callers[result.asked % len(callers)]
        result.asked += 1
        tasks.append(gevent.spawn(_send_request, caller, service, request_type, due, clock, result))
        due += random.expovariate(rate) * SECOND
    gevent.joinall(tasks, raise_error=True)
    for caller in callers:
        caller.close()
    return result


def _send_request(
    caller: Caller,
    service: ServiceConfiguration,
    request_type: str,
    due: Milliseconds,
    clock: Clock,
    result: LoadResult,
) -> None:
    try:
        answer = caller.send(service.name, request_type, deadline=service.deadline_ms)
    except PeerUnavailable:
        result.outcomes["connection lost"] += 1
        return
    document = answer.document
    result.broken.extend(find_violations(service.name, document))
    if answer.outcome != "answered":
        result.outcomes[f"{answer.outcome}: {document['reason']}"] += 1
        return
    result.outcomes["answered"] += 1
    result.latency.record(clock.now() - due)
    coverage = document["coverage"]
    result.answered += 1
    result.whole += not coverage["missing"]
    result.missing.update(item["reason"] for item in coverage["missing"])
    result.covered += coverage["covered"]
    result.total += coverage["total"]
