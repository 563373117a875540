"""Grants tokens of accounts to entries, while this instance leads with a valid lease."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.accounts.leases import QuotaLeases
from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.control.messages import NotLeading
from fulmarhold.control.quota_messages import ReportIgnored, ReportQuotas, encode_grant
from fulmarhold.errors import FulmarholdError
from fulmarhold.observe.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from fulmarhold.accounts.bucket import QuotaBound, QuotaLimit
    from fulmarhold.clock import Clock
    from fulmarhold.consensus.node import Node
    from fulmarhold.control.machine import ControlMachine
    from fulmarhold.observe.counters import Counters, Gauge
    from fulmarhold.wire.server import MessageServer

log = get_logger("quotas")

# How soon a new leader notices that it leads; it grants tokens some time after that.
LEADERSHIP_PERIOD: Milliseconds = 100.0


class QuotaService:
    """Answers the reports of entries; `decode_limits` returns the limits of a stored document."""

    def __init__(
        self,
        node: Node,
        machine: ControlMachine,
        decode_limits: Callable[[bytes], Mapping[str, QuotaLimit]],
        bound: QuotaBound,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._node = node
        self._machine = machine
        self._decode_limits = decode_limits
        self._bound = bound
        self._clock = clock
        self._counters = counters
        self._leases: QuotaLeases | None = None
        self._version = -1
        self._limits: Mapping[str, QuotaLimit] = {}

    def register(self, server: MessageServer) -> None:
        """Register the handler of reports."""
        server.handle(ReportQuotas, self.answer)

    def run(self) -> None:
        """Notice when this instance starts or stops leading, until killed."""
        while True:
            gevent.sleep(LEADERSHIP_PERIOD / SECOND)
            self._follow_leadership()

    def answer(self, message: ReportQuotas) -> Any:
        """Return what an entry is granted, or the leader that it has to ask."""
        leases = self._follow_leadership()
        if leases is None or not self._node.can_serve_reads():
            self._counters.add("quota_reports", result="not_leading")
            return NotLeading(self._node.leader_endpoint)
        self._follow_limits(leases)
        grant = leases.answer(message.report(), self._clock.now())
        if grant is None:
            self._counters.add("quota_reports", result="late")
            return ReportIgnored()
        self._counters.add("quota_reports", result="answered")
        self._counters.add("quota_tokens_granted", sum(item.granted for item in grant.items))
        return encode_grant(grant)

    def gauges(self) -> Iterable[Gauge]:
        """Yield what this instance has granted; nothing unless it leads."""
        if self._leases is not None:
            yield "quota_sessions", {}, float(self._leases.sessions)
            yield "quota_buckets", {}, float(self._leases.accounts)
            yield "quota_tokens_outstanding", {}, float(self._leases.outstanding)

    def _follow_leadership(self) -> QuotaLeases | None:
        """Return the leases of this term, or `None` if this instance does not lead."""
        if not self._node.is_formed or not self._node.core.is_leader:
            self._leases = None
            return None
        term = self._node.core.term
        if self._leases is None or self._leases.epoch != term:
            # The term has a leader by now, so that no earlier one grants tokens after this moment.
            self._leases = QuotaLeases(term, self._limits, self._bound, self._clock.now())
            log.info("grants tokens of accounts in term {}", term)
        return self._leases

    def _follow_limits(self, leases: QuotaLeases) -> None:
        """Decode the limits if the accepted configuration has changed."""
        state = self._machine.state
        if state.routes_version == self._version:
            return
        limits: Mapping[str, QuotaLimit] = {}
        try:
            if state.routes_version:
                limits = self._decode_limits(state.routes_document)
        except FulmarholdError as error:
            log.error("limits of version {} can't be decoded: {}", state.routes_version, error)
        self._version, self._limits = state.routes_version, limits
        leases.use_limits(limits, self._clock.now())
        log.info("version {} limits {} accounts", self._version, len(limits))
