"""Finds the route of a caller's request, forwards it and reports its outcome."""

from __future__ import annotations

from collections import defaultdict
from random import Random
from typing import TYPE_CHECKING

from fulmarhold.accounts.keys import KeyTable
from fulmarhold.forwarding.call import CallOwner, ServiceCall
from fulmarhold.forwarding.context import CallContext
from fulmarhold.forwarding.request import (
    Failed,
    ForwardRequest,
    Gathered,
    NoRoute,
    Outcome,
    Refused,
    RefusedReason,
    Relayed,
    Unauthorized,
    UnauthorizedReason,
)
from fulmarhold.forwarding.scatter import ShardQuery
from fulmarhold.forwarding.shard_timing import partial_answer_at
from fulmarhold.forwarding.single import SingleForward
from fulmarhold.forwarding.stopping import expected_duration
from fulmarhold.limits.budget import SlackBudget
from fulmarhold.limits.memory import Holder
from fulmarhold.limits.retry_after import retry_delay_after_refusal, retry_delay_while_starting
from fulmarhold.observe.estimates import RecentLatencies, ReplyEstimates
from fulmarhold.observe.latency import LatencyHistogram
from fulmarhold.routing.choice import choosers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.collecting.remote import Collector
    from fulmarhold.forwarding.codec import UpstreamCodec
    from fulmarhold.forwarding.stopping import StopSchedule
    from fulmarhold.forwarding.upstreams import UpstreamTable
    from fulmarhold.limits.budget import ExtraLoadBound
    from fulmarhold.limits.memory import FixedHolding, MemoryBudget
    from fulmarhold.observe.counters import Counters, Histogram
    from fulmarhold.observe.events import EventLog
    from fulmarhold.routes.configuration import ClientAccount, Route, RouteConfiguration
    from fulmarhold.routes.table import RouteTable

# Requests are hedged once they take longer than this share of replies; the budget of extra
# attempts bounds the cost.
HEDGE_QUANTILE = 0.93
INITIAL_HEDGE_DELAY: Milliseconds = 40.0
# A request to a single upstream is hedged after this multiple of the hedge quantile: it has more
# time than a query over shards, and running it twice costs more.
SINGLE_HEDGE_FACTOR = 2.0
# The outcome is decided this long before the deadline, to leave time for its way to the caller.
DEADLINE_RESERVE: Milliseconds = 5.0


class Forwarder:
    """Forwards requests according to the current route table."""

    def __init__(
        self,
        table: UpstreamTable,
        codec: UpstreamCodec,
        bound: ExtraLoadBound,
        clock: Clock,
        counters: Counters,
        events: EventLog,
        find_collectors: Callable[[], Mapping[str, Collector]] = dict,
        memory: MemoryBudget | None = None,
    ) -> None:
        self._find_collectors = find_collectors
        self._memory = memory
        self._table = table
        self._codec = codec
        self._bound = bound
        self._clock = clock
        self._counters = counters
        self._events = events
        self._random = Random()
        self._started_at = clock.now()
        self._choose = choosers.find("least_expected")
        self._routes: RouteTable | None = None
        # Set if the configuration has accounts.
        self._keys: KeyTable[ClientAccount] | None = None
        self._most_urgent = 0
        self._stop_schedule: StopSchedule | None = None
        self._is_refusing = False
        # Zero until it is known how many entries share it; budgets then hold earned tokens only.
        self._slack = 0.0
        self._refilled_at = clock.now()
        self._budgets: dict[str, SlackBudget] = {}
        self._replies: dict[str, ReplyEstimates] = {}
        self._durations: defaultdict[str, RecentLatencies] = defaultdict(RecentLatencies)
        self._histograms: defaultdict[tuple[str, str], LatencyHistogram] = defaultdict(
            LatencyHistogram
        )
        self._open: dict[ShardQuery | SingleForward, tuple[ForwardRequest, Route]] = {}

    @property
    def routes(self) -> RouteTable | None:
        return self._routes

    def use(self, routes: RouteTable) -> None:
        """Switch to a newer configuration; requests in progress keep the previous one."""
        self._routes = routes
        accounts = routes.configuration.accounts
        self._keys = None if accounts is None else KeyTable(accounts)
        self._most_urgent = min(_ranks(routes.configuration), default=0)

    def start_stop(self, schedule: StopSchedule) -> None:
        """Accept only requests that can be expected to end before this entry exits."""
        self._stop_schedule = schedule

    def refuse_all(self) -> None:
        """Refuse all further requests, because this entry is about to exit."""
        self._is_refusing = True

    def end_all(self) -> None:
        """Give every open request the outcome that is known now, because this entry exits."""
        for operation in self._open:
            operation.end()

    def share_slack(self, entries: int) -> None:
        """Set how many entries share the slack of extra attempts of each service."""
        self._slack = self._bound.slack / max(1, entries)
        for budget in self._budgets.values():
            budget.resize(self._slack)

    def refill_budgets(self) -> None:
        """Refill the slack of all budgets for the elapsed time; called periodically."""
        now = self._clock.now()
        windows = (now - self._refilled_at) / self._bound.window
        self._refilled_at = now
        for budget in self._budgets.values():
            budget.refill(windows)

    def forward(
        self, request: ForwardRequest, on_disconnect: Callable[[Callable[[], None]], None]
    ) -> Outcome:
        """Return the outcome of a request.

        `on_disconnect` is given the function to call when the caller disconnects.
        """
        if self._is_refusing:
            return self._finish(request, None, self._refuse_stopping())
        if self._routes is None:
            pause = retry_delay_while_starting(self._clock.now() - self._started_at, self._random)
            return self._finish(request, None, Refused(RefusedReason.NO_CONFIGURATION, pause))
        route = self._routes.find(request.host, request.path)
        if route is None:
            return self._finish(request, None, NoRoute(self._routes.configuration.version))
        account = None
        if self._keys is not None:
            if not route.is_public:
                account = self._keys.find(request.key)
                if account is None:
                    return self._finish(request, route, _unauthorized(request))
            request = self._codec.for_account(request, account.name if account else "")
        rank = route.rank if account is None or account.rank is None else account.rank
        is_urgent = rank <= self._most_urgent
        deadline_at = (
            min(request.deadline_at, request.received_at + route.timeout) - DEADLINE_RESERVE
        )
        if not self._can_complete(route, deadline_at):
            return self._finish(request, route, self._refuse_stopping())
        if not self._has_memory(request, is_urgent=is_urgent):
            refusal = Refused(RefusedReason.NO_MEMORY, self._retry_after())
            return self._finish(request, route, refusal)
        held = self._memory.open_fixed(Holder.REPLY, request.owners) if self._memory else None
        operation = self._operation(request, route, deadline_at, held, is_urgent=is_urgent)
        on_disconnect(operation.caller_gone)
        self._open[operation] = request, route
        try:
            outcome = operation.run()
        finally:
            del self._open[operation]
            operation.release()
            if held is not None:
                held.release()
        elapsed = self._clock.now() - request.received_at
        if not isinstance(outcome, Refused):
            self._durations[route.name].note(elapsed)
        return self._finish(request, route, outcome)

    def report_cut(self) -> int:
        """Log the requests that have no outcome, last before the exit; returns their number."""
        for request, route in self._open.values():
            self._report(request, route, "cut", "process_exit")
        return len(self._open)

    def histograms(self) -> Iterable[Histogram]:
        """Yield the histograms of request latency by outcome and reason."""
        for (outcome, reason), histogram in self._histograms.items():
            yield "request_latency_ms", {"outcome": outcome, "reason": reason}, histogram

    def _can_complete(self, route: Route, deadline_at: Milliseconds) -> bool:
        """Whether there is time for a request before this entry exits."""
        if self._stop_schedule is None:
            return True
        recent = self._durations.get(route.name, RecentLatencies())
        expected = expected_duration(recent, is_idempotent=route.is_idempotent)
        return self._stop_schedule.can_complete(self._clock.now(), deadline_at, expected)

    def _has_memory(self, request: ForwardRequest, *, is_urgent: bool) -> bool:
        """Whether there is memory for the replies to one more request."""
        if self._memory is None:
            return True
        return self._memory.may_admit(request.owners, is_urgent=is_urgent)

    def _refuse_stopping(self) -> Refused:
        return Refused(RefusedReason.STOPPING, self._retry_after())

    def _operation(
        self,
        request: ForwardRequest,
        route: Route,
        deadline_at: Milliseconds,
        held: FixedHolding | None,
        *,
        is_urgent: bool,
    ) -> ShardQuery | SingleForward:
        replies = self._replies.setdefault(
            route.name, ReplyEstimates(HEDGE_QUANTILE, INITIAL_HEDGE_DELAY)
        )
        context = CallContext(
            request,
            self._codec,
            deadline_at,
            route.is_idempotent,
            route.most_attempts,
            self._choose,
            replies,
            self._clock,
            self._random,
            self._counters,
            self._events,
            useful_until=partial_answer_at(
                request.received_at, route.target_latency, request.round_trip, request.is_first
            ),
            is_urgent=is_urgent,
            top_records=route.top_records if route.shards else 0,
            held=held,
            find_upstream=self._table.find,
        )
        if route.shards:
            return ShardQuery(
                context,
                route,
                lambda service, owner: self._call(service, context, owner),
                replies.high.value,
                self._retry_after,
                self._find_collectors,
            )
        service = self._choose_service(route)
        return SingleForward(
            context,
            lambda owner: self._call(service, context, owner),
            SINGLE_HEDGE_FACTOR * replies.high.value,
            self._retry_after,
        )

    def _call(self, service: str, context: CallContext, owner: CallOwner) -> ServiceCall:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = SlackBudget(self._bound.share, self._slack)
        return ServiceCall(service, self._table.of_service(service), budget, context, owner)

    def _choose_service(self, route: Route) -> str:
        if len(route.services) == 1:
            return route.services[0].service
        weights = [item.weight for item in route.services]
        return self._random.choices(route.services, weights)[0].service

    def _retry_after(self) -> Milliseconds:
        return retry_delay_after_refusal(self._random)

    def _finish(self, request: ForwardRequest, route: Route | None, outcome: Outcome) -> Outcome:
        self._report(request, route, *_outcome_labels(outcome))
        return outcome

    def _report(self, request: ForwardRequest, route: Route | None, name: str, reason: str) -> None:
        elapsed = self._clock.now() - request.received_at
        self._counters.add("requests", outcome=name, reason=reason)
        self._histograms[name, reason].record(elapsed)
        # Complete answers within the target are dropped first; operators ask about late ones too.
        is_ordinary = name == "answered" and (route is None or elapsed <= route.target_latency)
        note_event = self._events.record_low_priority if is_ordinary else self._events.record
        note_event(
            "request",
            request=request.request_id,
            **({"account": request.account} if request.account else {}),
            route=route.name if route else "",
            version=self._routes.configuration.version if self._routes else 0,
            outcome=name,
            reason=reason,
            elapsed_ms=elapsed,
            target_ms=route.target_latency if route else 0.0,
            left_ms=request.deadline_at - self._clock.now(),
            round_trip_ms=request.round_trip,
        )


def _outcome_labels(outcome: Outcome) -> tuple[str, str]:
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


def _unauthorized(request: ForwardRequest) -> Unauthorized:
    is_unknown = bool(request.key)
    return Unauthorized(
        UnauthorizedReason.KEY_UNKNOWN if is_unknown else UnauthorizedReason.KEY_MISSING
    )


def _ranks(configuration: RouteConfiguration) -> Iterable[int]:
    """Yield the priorities that requests can have."""
    accounts = configuration.accounts
    for route in configuration.routes:
        if accounts is None or route.is_public or any(item.rank is None for item in accounts):
            yield route.rank
    for account in accounts or ():
        if account.rank is not None:
            yield account.rank
