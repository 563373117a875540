"""Finds the route of a caller's request, forwards it and reports its outcome."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import replace
from random import Random
from typing import TYPE_CHECKING

from fulmarhold.accounts.account_state import ADMITTED, Admitted
from fulmarhold.forwarding.call import CallOwner, ServiceCall
from fulmarhold.forwarding.context import CallContext
from fulmarhold.forwarding.identification import Identification, Identified, possible_ranks
from fulmarhold.forwarding.reporting import RequestReports, outcome_labels
from fulmarhold.forwarding.request import (
    ForwardRequest,
    NoRoute,
    Outcome,
    Refused,
    RefusedReason,
    refusal_beyond_quota,
)
from fulmarhold.forwarding.scatter import ShardQuery
from fulmarhold.forwarding.shard_timing import partial_answer_at
from fulmarhold.forwarding.single import SingleForward
from fulmarhold.forwarding.stopping import expected_duration
from fulmarhold.limits.budget import SlackBudget
from fulmarhold.limits.memory import Holder
from fulmarhold.limits.retry_after import (
    ReturnSchedule,
    retry_delay_after_refusal,
    retry_delay_while_starting,
)
from fulmarhold.limits.sharing import FairShares
from fulmarhold.observe.estimates import RecentLatencies, ReplyEstimates
from fulmarhold.routing.choice import choosers

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Mapping

    from fulmarhold.accounts.gate import AccountGate
    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.collecting.remote import Collector
    from fulmarhold.forwarding.codec import UpstreamCodec
    from fulmarhold.forwarding.stopping import StopSchedule
    from fulmarhold.forwarding.upstreams import UpstreamTable
    from fulmarhold.limits.budget import ExtraLoadBound
    from fulmarhold.limits.holdings import FixedHolding
    from fulmarhold.limits.memory import MemoryBudget
    from fulmarhold.limits.sharing import Flow
    from fulmarhold.observe.counters import Counters, Histogram
    from fulmarhold.observe.events import EventLog
    from fulmarhold.routes.configuration import Route
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
# Refusals after which callers return as fast as work drains.
SHORTAGES = frozenset(
    (
        RefusedReason.ACCOUNT_EXCESS,
        RefusedReason.OVERLOADED,
        RefusedReason.UPSTREAMS_FULL,
        RefusedReason.NO_TIME,
        RefusedReason.NO_MEMORY,
    )
)


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
        confirmed_age: Callable[[], Milliseconds] = lambda: 0.0,
        max_key_age: Callable[[], Milliseconds] = lambda: float("inf"),
        shares: FairShares | None = None,
        is_overloaded: Callable[[], bool] = lambda: False,
        gate: AccountGate | None = None,
    ) -> None:
        self._gate = gate
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
        self._shares = shares or FairShares()
        self._is_overloaded = is_overloaded
        self._returns = ReturnSchedule()
        self._identification = Identification(codec, self._random, confirmed_age, max_key_age)
        self._most_urgent = 0
        self._stop_schedule: StopSchedule | None = None
        self._is_refusing = False
        # Zero until it is known how many entries share it; budgets then hold earned tokens only.
        self._slack = 0.0
        self._refilled_at = clock.now()
        self._budgets: dict[str, SlackBudget] = {}
        self._replies: dict[str, ReplyEstimates] = {}
        self._durations: defaultdict[str, RecentLatencies] = defaultdict(RecentLatencies)
        self._reports = RequestReports(clock, counters, events)
        self._open: dict[ShardQuery | SingleForward, tuple[ForwardRequest, Route]] = {}

    @property
    def routes(self) -> RouteTable | None:
        return self._routes

    @property
    def _version(self) -> int:
        return self._routes.configuration.version if self._routes else 0

    def use(self, routes: RouteTable) -> None:
        """Switch to a newer configuration; requests in progress keep the previous one."""
        self._routes = routes
        self._identification.use(routes.configuration)
        accounts = routes.configuration.accounts
        self._shares.use(
            None if accounts is None else ((item.name, item.rate) for item in accounts)
        )
        self._most_urgent = min(possible_ranks(routes.configuration), default=0)

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
        self._shares.share(entries)
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
        self._reports.check_relief(now)

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
        identified = self._identification.identify(request, route)
        if not isinstance(identified, Identified):
            return self._finish(request, route, identified)
        request = identified.request
        is_urgent = identified.rank <= self._most_urgent
        deadline_at = (
            min(request.deadline_at, request.received_at + route.timeout) - DEADLINE_RESERVE
        )
        if not self._can_complete(route, deadline_at):
            return self._finish(request, route, self._refuse_stopping())
        flow = self._shares.flow(request.account, identified.rank, self._clock.now())
        reason = self._shortage(request, flow, is_urgent=is_urgent)
        if reason is not None:
            refusal = self._schedule_return(request, flow, Refused(reason, self._retry_after()))
            return self._finish(request, route, refusal)
        account = identified.account
        admission = self._gate.admit(account.name) if self._gate and account else ADMITTED
        if not isinstance(admission, Admitted):
            return self._finish(request, route, refusal_beyond_quota(admission))
        held = self._memory.open_fixed(Holder.REPLY, request.owners) if self._memory else None
        operation = self._operation(request, route, deadline_at, held, flow, is_urgent=is_urgent)
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
        if isinstance(outcome, Refused):
            if self._gate and account:
                # Refused requests have not run and never will.
                self._gate.give_back(account.name, admission)
            outcome = self._schedule_return(request, flow, outcome)
        else:
            self._durations[route.name].note(elapsed)
        return self._finish(request, route, outcome)

    def report_cut(self) -> int:
        """Log the requests that have no outcome, last before the exit; returns their number."""
        for request, route in self._open.values():
            self._reports.report(request, route, self._version, "cut", "process_exit")
        return len(self._open)

    def histograms(self) -> Iterable[Histogram]:
        """Yield the histograms of request latency by outcome and reason."""
        return self._reports.histograms()

    def _can_complete(self, route: Route, deadline_at: Milliseconds) -> bool:
        """Whether there is time for a request before this entry exits."""
        if self._stop_schedule is None:
            return True
        recent = self._durations.get(route.name, RecentLatencies())
        expected = expected_duration(recent, is_idempotent=route.is_idempotent)
        return self._stop_schedule.can_complete(self._clock.now(), deadline_at, expected)

    def _schedule_return(
        self, request: ForwardRequest, flow: Flow | None, refusal: Refused
    ) -> Refused:
        """Return a refusal with the time at which its caller should return, if room is short."""
        if flow is None or refusal.reason not in SHORTAGES:
            return refusal
        now = self._clock.now()
        flow.note_shortage(now)
        if refusal.reason is RefusedReason.ACCOUNT_EXCESS:
            self._reports.note_excess(flow, now)
        left = request.deadline_at - now
        drained = self._shares.drained_per_second(now)
        return replace(refusal, retry_after=self._returns.assign(now, left, drained, self._random))

    def _shortage(
        self, request: ForwardRequest, flow: Flow | None, *, is_urgent: bool
    ) -> RefusedReason | None:
        """Return why this entry has no room for one more request, or `None` if it has."""
        if flow is not None and self._is_overloaded():
            now = self._clock.now()
            flow.note_shortage(now)
            if flow.is_excess(now):
                return RefusedReason.ACCOUNT_EXCESS
        if self._memory is None:
            return None
        may_admit = self._memory.may_admit(request.owners, is_urgent=is_urgent, flow=flow)
        return None if may_admit else RefusedReason.NO_MEMORY

    def _refuse_stopping(self) -> Refused:
        return Refused(RefusedReason.STOPPING, self._retry_after())

    def _operation(
        self,
        request: ForwardRequest,
        route: Route,
        deadline_at: Milliseconds,
        held: FixedHolding | None,
        flow: Flow | None,
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
            flow=flow,
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
        self._reports.report(request, route, self._version, *outcome_labels(outcome))
        return outcome
