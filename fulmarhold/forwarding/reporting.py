"""Counters, histograms and log lines of the outcomes of requests."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from fulmarhold.clock import SECOND
from fulmarhold.forwarding.request import (
    Failed,
    Gathered,
    NoRoute,
    Refused,
    Relayed,
    Unauthorized,
)
from fulmarhold.observe.latency import LatencyHistogram
from fulmarhold.observe.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.forwarding.request import ForwardRequest, Outcome
    from fulmarhold.limits.sharing import Flow
    from fulmarhold.observe.counters import Counters, Histogram
    from fulmarhold.observe.events import EventLog
    from fulmarhold.routes.configuration import Route

log = get_logger("accounts")

# Accounts with counters of their own; each has up to a dozen results.
MAX_COUNTED_ACCOUNTS = 100
OTHER_ACCOUNTS = "_other"
# An account no longer gives way once none of its requests did for this long.
RELIEF_TIME: Milliseconds = 5 * SECOND


class RequestReports:
    """Reports each outcome, and which accounts give way to others."""

    def __init__(self, clock: Clock, counters: Counters, events: EventLog) -> None:
        self._clock = clock
        self._counters = counters
        self._events = events
        # A histogram takes 9 KB: one is made for each outcome, not for each request.
        self._histograms: defaultdict[tuple[str, str], LatencyHistogram] = defaultdict(
            LatencyHistogram
        )
        self._counted_accounts: set[str] = set()
        # When a request of an account last gave way.
        self._excess_at: dict[str, Milliseconds] = {}

    def histograms(self) -> Iterable[Histogram]:
        """Yield the histograms of request latency by outcome and reason."""
        for (outcome, reason), histogram in self._histograms.items():
            yield "request_latency_ms", {"outcome": outcome, "reason": reason}, histogram

    def report(
        self, request: ForwardRequest, route: Route | None, version: int, name: str, reason: str
    ) -> None:
        """Count and log the outcome of a request."""
        elapsed = self._clock.now() - request.received_at
        self._counters.add("requests", outcome=name, reason=reason)
        if request.account:
            result = f"{name}_{reason}" if name in ("refused", "failed") else name
            self.count_for_account(request.account, result)
        self._histograms[name, reason].record(elapsed)
        # Complete answers within the target are dropped first; operators ask about late ones too.
        is_ordinary = name == "answered" and (route is None or elapsed <= route.target_latency)
        note_event = self._events.record_low_priority if is_ordinary else self._events.record
        note_event(
            "request",
            request=request.request_id,
            **({"account": request.account} if request.account else {}),
            route=route.name if route else "",
            version=version,
            outcome=name,
            reason=reason,
            elapsed_ms=elapsed,
            target_ms=route.target_latency if route else 0.0,
            left_ms=request.deadline_at - self._clock.now(),
            round_trip_ms=request.round_trip,
        )

    def count_for_account(self, account: str, result: str) -> None:
        """Count a result of an account; those beyond a number of accounts share one label."""
        if account not in self._counted_accounts:
            if len(self._counted_accounts) >= MAX_COUNTED_ACCOUNTS:
                account = OTHER_ACCOUNTS
            else:
                self._counted_accounts.add(account)
        self._counters.add("account_requests", account=account, result=result)

    def note_excess(self, flow: Flow, now: Milliseconds) -> None:
        """Record that a request of an account gave way; logged when it is the first."""
        if flow.account not in self._excess_at:
            log.warning(
                "account {!r} gives way to others: it asks for {:.1f} requests/s, usually {:.1f}",
                flow.account,
                flow.demand(now),
                flow.weight,
            )
        self._excess_at[flow.account] = now

    def check_relief(self, now: Milliseconds) -> None:
        """Log which accounts give way no longer; called periodically."""
        ended = [name for name, at in self._excess_at.items() if now > at + RELIEF_TIME]
        for name in ended:
            del self._excess_at[name]
            log.info("account {!r} no longer gives way to others", name)


def outcome_labels(outcome: Outcome) -> tuple[str, str]:
    """Return the name of an outcome and its reason, as counters and events have them."""
    match outcome:
        case Relayed(reply):
            return ("answered" if reply.status < 400 else "passed_failure"), str(reply.status)
        case Gathered(missing=missing):
            return ("partial", "late_parts") if missing else ("answered", "whole")
        case Refused(reason=refused):
            return "refused", refused.value
        case Failed(reason=failed):
            return "failed", failed.value
        case NoRoute():
            return "no_route", "no_route"
        case Unauthorized(reason=unauthorized):
            return "unauthorized", unauthorized.value
