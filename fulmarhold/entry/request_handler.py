"""Validates, admits and runs the requests of callers."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarhold.gather.outcome import (
    Answered,
    MissingReason,
    NotRun,
    NotRunReason,
    Outcome,
    Refused,
    Unknown,
)
from fulmarhold.observe.latency import LatencyHistogram

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.configuration import Configuration, RequestType, ServiceConfiguration
    from fulmarhold.effects.dispatch import EffectRunner
    from fulmarhold.gather.query import QueryRunner
    from fulmarhold.gather.services import ServicePolicies
    from fulmarhold.limits.admission import Admission, ServiceGate
    from fulmarhold.membership.running import RunningState
    from fulmarhold.observe.counters import Counters, Gauge

QUANTILES = (0.5, 0.99, 0.999)


@dataclass(frozen=True)
class CallerRequest:
    """A parsed request; `deadline_at` is in the time of this entry's clock."""

    request_id: str
    service: str
    request_type: str
    deadline_at: Milliseconds
    key: str
    shard_key: str
    body: bytes


class RequestHandler:
    """Runs requests and counts their outcomes by reason."""

    def __init__(
        self,
        running: RunningState,
        admission: Admission,
        policies: ServicePolicies,
        queries: QueryRunner,
        effects: EffectRunner,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._running = running
        self._admission = admission
        self._policies = policies
        self._queries = queries
        self._effects = effects
        self._clock = clock
        self._counters = counters
        self._latencies: defaultdict[str, LatencyHistogram] = defaultdict(LatencyHistogram)

    def handle(self, request: CallerRequest) -> Outcome:
        """Run a request, count its outcome and return it."""
        try:
            outcome = self._run(request)
        except Refused as refusal:
            outcome = NotRun(refusal.reason, refusal.message)
        self.count_outcome(request.service, outcome)
        return outcome

    def latency(self, service: str) -> LatencyHistogram:
        """Return the latency histogram of a service's complete answers."""
        return self._latencies[service]

    def gauges(self) -> Iterable[Gauge]:
        """Yield the latency quantiles of complete answers."""
        for service, histogram in self._latencies.items():
            for quantile in QUANTILES:
                labels = {"service": service, "quantile": f"{quantile}"}
                yield "query_latency_ms", labels, histogram.quantile(quantile)

    def count_outcome(self, service: str, outcome: Outcome) -> None:
        """Count an outcome; all services that don't exist share one label."""
        configuration = self._running.configuration
        is_known = configuration is not None and service in configuration.services
        label = service if is_known else "unknown"
        match outcome:
            case Answered():
                reason = "whole" if not outcome.coverage.missing else "partial"
                self._counters.add("answered", service=label, reason=reason)
            case NotRun(reason):
                self._counters.add("not_run", service=label, reason=reason.value)
            case Unknown(unknown_reason):
                self._counters.add("unknown", service=label, reason=unknown_reason.value)

    def _run(self, request: CallerRequest) -> Outcome:
        configuration = self._confirmed_configuration()
        service, request_type = _find_request_type(configuration, request)
        remaining = request.deadline_at - self._clock.now()
        if remaining <= 0:
            raise Refused(NotRunReason.DEADLINE_PAST, "the deadline has passed")
        deadline_at = min(request.deadline_at, self._clock.now() + service.longest_deadline_ms)
        if not request_type.idempotent and not request.key:
            raise Refused(
                NotRunReason.KEY_MISSING, "Idempotency-Key is required for this request type"
            )
        gate = self._admission.configure(service.name, service.urgency, service.admission_limit)
        with self._admission.admitted(gate, deadline_at):
            # The confirmation may have expired during the wait for admission.
            configuration = self._confirmed_configuration()
            if request_type.idempotent:
                return self._run_query(request, service, gate, deadline_at)
            return self._effects.run(
                request_type.name,
                request.key,
                request.shard_key,
                request.body,
                self._policies.find(service),
                deadline_at,
                configuration.timings.claim_timeout_ms,
            )

    def _run_query(
        self,
        request: CallerRequest,
        service: ServiceConfiguration,
        gate: ServiceGate,
        deadline_at: Milliseconds,
    ) -> Outcome:
        started_at = self._clock.now()
        policy = self._policies.find(service)
        answer = self._queries.run(
            request.request_id, request.request_type, request.body, policy, deadline_at
        )
        duration = self._clock.now() - started_at
        if not answer.coverage.missing:
            gate.note_complete(duration, service.deadline_ms)
            self.latency(service.name).record(duration)
        elif MissingReason.DEADLINE in answer.coverage.missing.values():
            gate.note_partial()
        return answer

    def _confirmed_configuration(self) -> Configuration:
        configuration = self._running.configuration
        if configuration is None:
            raise Refused(NotRunReason.CONFIGURATION_UNKNOWN, "no accepted configuration is known")
        if not self._running.is_confirmed:
            raise Refused(
                NotRunReason.CONFIGURATION_UNCONFIRMED,
                "neither control nor a majority of entries confirmed the configuration recently",
            )
        return configuration


def _find_request_type(
    configuration: Configuration, request: CallerRequest
) -> tuple[ServiceConfiguration, RequestType]:
    service = configuration.services.get(request.service)
    if service is None:
        raise Refused(NotRunReason.UNKNOWN_SERVICE, f"unknown service {request.service!r:.70}")
    request_type = service.requests.get(request.request_type)
    if request_type is None:
        raise Refused(
            NotRunReason.UNKNOWN_REQUEST_TYPE,
            f"service {service.name} has no request type {request.request_type!r:.70}",
        )
    return service, request_type
