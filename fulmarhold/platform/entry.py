"""The entry daemon on the users' platform."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import AsyncResult

from fulmarhold.accounts.gate import AccountGate
from fulmarhold.accounts.keys import max_confirmed_age
from fulmarhold.accounts.quota import EntryQuota
from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.collecting.collector import CollectorService
from fulmarhold.collecting.collectors import Collectors
from fulmarhold.control.quota_client import QuotaClient
from fulmarhold.daemons import spawn_essential
from fulmarhold.forwarding.forwarder import Forwarder
from fulmarhold.forwarding.stopping import SEND_RESERVE, StopSchedule
from fulmarhold.forwarding.upstreams import UpstreamTable
from fulmarhold.limits.connections import ConnectionBudget, connection_limit
from fulmarhold.limits.memory import MemoryBudget, held_bytes_limit
from fulmarhold.limits.sharing import FairShares
from fulmarhold.membership.coalescing import CoalescedUpdate
from fulmarhold.membership.preference import (
    active_entries,
    hosting_data_centres,
    preferred_entries,
)
from fulmarhold.membership.settling import Settling
from fulmarhold.membership.statements import DRAINING, READY, STARTING, InstanceStatement
from fulmarhold.membership.watcher import FleetWatcher
from fulmarhold.observe.lag import LoopLag
from fulmarhold.observe.logs import get_logger
from fulmarhold.observe.traffic import TrafficCounter
from fulmarhold.platform.documents import decode_configuration, unpack_document
from fulmarhold.platform.headers import PlatformCodec, read_request, write_outcome
from fulmarhold.platform.settings import DIRECTORY_ANSWER_TTL
from fulmarhold.platform.settings_watch import serve_application, serve_metrics
from fulmarhold.routes.configuration import CallerLimits
from fulmarhold.routes.table import RouteTable
from fulmarhold.routing.availability import Reason
from fulmarhold.web.front import FrontServer, RawRequest, RawResponse
from fulmarhold.wire.server import MessageServer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarhold.clock import Clock
    from fulmarhold.membership.statements import UpstreamStatement
    from fulmarhold.observe.counters import Counters, Gauge
    from fulmarhold.observe.events import EventLog
    from fulmarhold.platform.settings_watch import SettingsWatch

log = get_logger("entry")

# The maximum number of addresses that a caller uses from a directory answer.
MAX_ADDRESSES = 64
MAINTENANCE_PERIOD: Milliseconds = 100.0
# Changes of the fleet that follow each other faster are applied at the next maintenance.
MIN_UPDATE_INTERVAL: Milliseconds = 50.0
# How long an entry may still be called after the last directory answer that lists it expires: the
# answer may have been in transit, and callers may be opening a connection at that moment.
LATE_CALLER_MARGIN: Milliseconds = 600.0
# How long the interfaces beside that for callers may take to send their last responses.
CLOSING_TIME: Milliseconds = 200.0
# How often a stopping entry looks whether it has answered all requests.
COMPLETION_PERIOD: Milliseconds = 10.0
# The average event loop lag above which an entry counts as busy, and below which it no longer does:
# a fraction of the shortest latency target (64 ms), and far above the lag of an idle entry.
BUSY_LAG: Milliseconds = 12.0
IDLE_LAG: Milliseconds = 4.0
# Above this lag, accounts that ask for more than usual are refused: about half of the shortest
# latency target is lost before a request is read.
OVERLOADED_LAG: Milliseconds = 30.0


class PlatformEntry:
    """An entry instance: forwards callers' requests and serves the directory and readiness."""

    def __init__(
        self, watch: SettingsWatch, clock: Clock, counters: Counters, events: EventLog
    ) -> None:
        settings = self._settings = watch.settings
        self._watch = watch
        self._clock = clock
        self._counters = counters
        self._events = events
        self._random = Random()
        self._lag = LoopLag(clock)
        self.failure: AsyncResult = AsyncResult()
        self._memory = MemoryBudget(held_bytes_limit(settings.memory_bytes), clock, counters)
        self._callers = ConnectionBudget(clock, counters, connection_limit(settings.memory_bytes))
        self._memory.relieve = self._callers.relieve
        self._table = UpstreamTable(
            settings.data_centre, clock, counters, self._memory, events, settings.name
        )
        self._active: list[InstanceStatement] = []
        # The upstreams that would serve, but are in evacuated data centres.
        self._evacuated: list[UpstreamStatement] = []
        self._settling = Settling(clock.now())
        self._fleet_update = CoalescedUpdate(self._update_fleet, MIN_UPDATE_INTERVAL, clock)
        own = InstanceStatement(
            settings.name,
            int(clock.wall()),
            1,
            STARTING,
            "entry",
            settings.data_centre,
            settings.caller_endpoint,
        )
        self._quota = EntryQuota(
            own.name, own.born, settings.quota_bound, self._random, clock.now()
        )
        codec, shares = PlatformCodec(), FairShares()
        collector_port = int(settings.collector_endpoint.rpartition(":")[2])
        self._collectors = Collectors(own, collector_port, clock, counters)
        self._collector_service = CollectorService(
            self._table, codec, clock, self._random, counters, events, self._memory, shares
        )
        self._messages = MessageServer(settings.collector_endpoint, counters)
        self._collector_service.register(self._messages)
        self.forwarder = Forwarder(
            self._table,
            codec,
            settings.extra_load,
            clock,
            counters,
            events,
            self._collectors.usable,
            self._memory,
            confirmed_age=lambda: self.watcher.feed_age,
            max_key_age=lambda: max_confirmed_age(watch.settings.revoke_within),
            shares=shares,
            is_overloaded=lambda: self._lag.value > OVERLOADED_LAG,
            gate=AccountGate(self._quota, clock, counters, self._refresh_quota),
        )
        self.watcher = FleetWatcher(
            own,
            watch.seeds,
            self._apply_configuration,
            self._fleet_update.request,
            clock,
            counters,
        )
        self._quota_client = QuotaClient(
            self._quota,
            self.watcher.control_endpoints,
            self.watcher.control_data_centre,
            TrafficCounter(settings.data_centre, counters),
            clock,
            counters,
            events,
        )
        self._front = FrontServer(
            settings.caller_endpoint,
            self._handle_request,
            self._limits,
            clock,
            counters,
            self._memory,
            self._callers,
        )

    def start(self) -> None:
        """Listen, subscribe to control and serve once a configuration is confirmed."""
        self._front.start()
        self._messages.start()
        self._greenlets = [
            spawn_essential(self.failure, self.watcher.run),
            spawn_essential(self.failure, self._watch.run),
            spawn_essential(self.failure, self._maintain),
            spawn_essential(self.failure, self._lag.run),
            spawn_essential(self.failure, self._quota_client.run),
        ]
        gevent.sleep(0)
        # Accept callers before this import: importing the web framework takes as long as receiving
        # the configuration from control.
        from fulmarhold.platform.interfaces import (  # noqa: PLC0415
            directory_application,
            readiness_application,
        )

        self._readiness = serve_application(
            readiness_application(self._is_ready),
            self._settings.readiness_endpoint,
            self._counters,
            self._callers,
        )
        self._directory = serve_application(
            directory_application(self._addresses),
            self._settings.directory_endpoint,
            self._counters,
            self._callers,
        )
        self._counters.register_gauges(self._gauges)
        self._counters.register_histograms(self.forwarder.histograms)
        self._metrics = serve_metrics(
            self._counters, self._settings.metrics_endpoint, self._callers
        )

    def stop(self, told_at: Milliseconds) -> None:
        """Leave the directory, serve callers with old directory answers, answer open requests."""
        # The settings may have changed since the start.
        grace = self._watch.settings.grace
        schedule = StopSchedule.plan(told_at, grace, DIRECTORY_ANSWER_TTL + LATE_CALLER_MARGIN)
        self._report_stop("leaving", grace_ms=grace, told_ms_ago=self._clock.now() - told_at)
        try:
            self._leave(schedule)
        finally:
            self.forwarder.end_all()
            self._collector_service.end_all()
            # The answers have to be written even if this process was held up until now.
            self._complete(max(schedule.exits_by, self._clock.now() + SEND_RESERVE))
        gevent.killall(self._greenlets)
        servers = [
            gevent.spawn(server.stop, timeout=0)
            for server in (self._readiness, self._directory, self._metrics, self._messages)
        ]
        gevent.joinall(servers, timeout=CLOSING_TIME / SECOND)
        self._collectors.close()
        self._quota_client.close()
        self._table.close()
        self._report_stop("exiting", cut=self.forwarder.report_cut())

    def _leave(self, schedule: StopSchedule) -> None:
        """Accept what can be completed while callers may use this entry, and complete that."""
        self.watcher.announce(DRAINING)
        self._front.is_closing = True
        self.forwarder.start_stop(schedule)
        gevent.sleep(max(0.0, schedule.accepts_until - self._clock.now()) / SECOND)
        self._report_stop("refusing")
        self.forwarder.refuse_all()
        self._collector_service.decline_all()
        self._front.stop_accepting()
        self._complete(schedule.answers_by)

    def _complete(self, until: Milliseconds) -> None:
        """Wait until all callers have their answers and have left, at most until a moment."""
        while self._clock.now() < until:
            self._front.close_idle()
            if not self._front.connections and not self._collector_service.in_flight:
                return
            gevent.sleep(COMPLETION_PERIOD / SECOND)

    def _report_stop(self, phase: str, **fields: float) -> None:
        self._events.record_always(
            "stopping",
            phase=phase,
            in_flight=self._front.in_flight,
            collections=self._collector_service.in_flight,
            connections=self._front.connections,
            **fields,
        )

    def _handle_request(self, raw: RawRequest, on_disconnect: Any) -> RawResponse:
        return write_outcome(self.forwarder.forward(read_request(raw), on_disconnect))

    def _refresh_quota(self, timeout: Milliseconds) -> bool:
        return self._quota_client.refresh(timeout)

    def _limits(self) -> CallerLimits:
        routes = self.forwarder.routes
        return routes.configuration.limits if routes else CallerLimits()

    def _is_ready(self) -> bool:
        return self.watcher.own.state == READY

    def _addresses(self, data_centre: str) -> list[str]:
        return preferred_entries(self._active, data_centre, MAX_ADDRESSES, self._random)

    def _apply_configuration(self, version: int, document: bytes) -> None:
        routes = RouteTable(decode_configuration(unpack_document(document)))
        self.forwarder.use(routes)
        self._quota.use_limits(routes.configuration.quota_limits, self._clock.now())
        # The upstreams of a new route must be in the table before requests arrive for it.
        self._fleet_update.expedite()
        log.info("configuration version {} applied, {} routes", version, len(routes))
        if self.watcher.own.state == STARTING:
            self.watcher.announce(READY)

    def _update_fleet(self) -> None:
        """Update the active entries and the upstream table from the watcher."""
        routes = self.forwarder.routes
        services = routes.configuration.services if routes else ()
        serving = self.watcher.serving_upstreams(services)
        evacuated = self.watcher.evacuations.data_centres
        upstreams = [item for item in serving if item.data_centre not in evacuated]
        self._evacuated = [item for item in serving if item.data_centre in evacuated]
        self._active = self._active_entries(upstreams)
        names, now = {item.name for item in self._active}, self._clock.now()
        self._settling.update(names, now)
        self._quota.update_active(names, now)
        self._collectors.update(self._active)
        self._update_upstreams(upstreams)

    def _update_upstreams(self, upstreams: list[UpstreamStatement]) -> None:
        routes = self.forwarder.routes
        if routes is None:
            return
        entries = max(1, len(self._active))
        if self._settling.has_settled:
            self.forwarder.share_slack(entries)
        is_active = any(item.name == self._settings.name for item in self._active)
        self._table.update(
            upstreams,
            routes.configuration,
            entries,
            keep_warm=is_active and self._settling.is_settled,
            evacuated=[item.name for item in self._evacuated],
            active=[item.name for item in self._active],
            warm_up_bound=self._watch.settings.warm_up,
        )

    def _active_entries(self, upstreams: list[UpstreamStatement]) -> list[InstanceStatement]:
        entries = self.watcher.entries()
        routes = self.forwarder.routes
        if routes is None or not routes.configuration.services:
            return entries
        configuration = routes.configuration
        shards = {name for route in configuration.routes for name in route.shards}
        limit = min(item.connection_limit for item in configuration.services.values())
        return active_entries(entries, limit, hosting_data_centres(upstreams, shards))

    def _maintain(self) -> None:
        while True:
            gevent.sleep(MAINTENANCE_PERIOD / SECOND)
            if self._settling.check(self._clock.now()):
                self._fleet_update.run()
            self._fleet_update.run_pending()
            self._table.note_contact(self.watcher.feed_age)
            self._table.maintain()
            self._collectors.maintain()
            self._quota.note_contact(self._clock.now() - self.watcher.feed_age)
            self.forwarder.refill_budgets()
            limit = held_bytes_limit(self._settings.memory_bytes, len(self._table.replicas))
            self._memory.resize(limit)
            self._memory.check_relief()
            self._announce_load()

    def _announce_load(self) -> None:
        """Announce when this entry becomes busy or stops being busy, by its event loop lag."""
        own = self.watcher.own
        if own.state != READY:
            return
        if not own.is_busy and self._lag.value > BUSY_LAG:
            self.watcher.announce(READY, is_busy=True)
        elif own.is_busy and self._lag.value < IDLE_LAG:
            self.watcher.announce(READY)

    def _gauges(self) -> Iterable[Gauge]:
        routes = self.forwarder.routes
        replicas = list(self._table.replicas)
        yield "entry_version", {}, float(routes.configuration.version if routes else 0)
        yield "entry_ready", {}, float(self._is_ready())
        yield "entry_feed_age_ms", {}, self.watcher.feed_age
        yield "entry_loop_lag_ms", {}, self._lag.value
        yield "entry_in_flight", {}, float(self._front.in_flight)
        yield "entry_collections", {}, float(self._collector_service.in_flight)
        yield "entry_caller_connections", {}, float(self._front.connections)
        yield "entry_upstreams", {}, float(len(replicas))
        for reason in (Reason.LEAVING, Reason.PAUSED):
            count = self._table.count_held_back(reason)
            yield "entry_upstreams_held_back", {"reason": reason.value}, float(count)
        evacuations = self.watcher.evacuations
        yield "entry_evacuated_data_centres", {}, float(len(evacuations.data_centres))
        yield "entry_evacuations_version", {}, float(evacuations.version)
        yield "entry_upstreams_evacuated", {}, float(len(self._evacuated))
        yield "account_tokens_held", {}, float(self._quota.held)
        yield "account_states", {}, float(self._quota.accounts)
        yield "entry_upstreams_cold", {}, float(self._table.cold)
        for cause, paced in self._table.paces():
            yield "entry_upstreams_paced", {"reason": cause.value}, float(paced)
        yield from self._memory.gauges()
        yield from self._callers.gauges()
        yield "entry_connections", {}, float(sum(item.pool.connections for item in replicas))
