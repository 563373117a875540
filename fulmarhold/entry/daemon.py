"""The entry daemon: serves callers, receives announcements and exchanges state with its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent.event import AsyncResult, Event

from fulmarhold.clock import SECOND, Clock, Milliseconds
from fulmarhold.control.client import ControlClient
from fulmarhold.control.messages import RosterEntry
from fulmarhold.effects.dispatch import SETTLE_TIMEOUT, EffectRunner
from fulmarhold.entry.addresses import EntryAddresses
from fulmarhold.entry.http import (
    AnnounceResource,
    DrainResource,
    InstancesResource,
    QueryResource,
    caller_application,
)
from fulmarhold.entry.request_handler import RequestHandler
from fulmarhold.gather.query import QueryRunner
from fulmarhold.gather.services import ServicePolicies
from fulmarhold.limits.admission import Admission
from fulmarhold.limits.connections import ConnectionBudget, connection_limit
from fulmarhold.limits.memory import MEBIBYTE, MemoryBudget, held_bytes_limit
from fulmarhold.membership.announced import AnnouncedSet
from fulmarhold.membership.directory import Directory
from fulmarhold.membership.exchange import MembershipExchange
from fulmarhold.membership.running import RunningState
from fulmarhold.observe.counters import Counters, Gauge
from fulmarhold.observe.lag import LoopLag
from fulmarhold.observe.logs import get_logger
from fulmarhold.routing.table import RoutingTable
from fulmarhold.web.serving import start_server
from fulmarhold.wire.server import MessageServer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarhold.settings.processes import EntrySettings

log = get_logger("entry")

MAINTENANCE_PERIOD: Milliseconds = 100.0
# How long callers may take to send the rest of a request, and to read an answer, when an entry
# stops; their requests end by their deadlines.
SLOW_CALLER_TIME: Milliseconds = 2_000.0


class EntryDaemon:
    """Builds, starts and stops the components of an entry process."""

    def __init__(self, settings: EntrySettings, policies: ServicePolicies | None = None) -> None:
        self._settings = settings
        self._in_flight = 0
        self._drain_requested = Event()
        self.failure: AsyncResult = AsyncResult()
        clock = self._clock = Clock()
        counters = self.counters = Counters()
        self._lag = LoopLag(clock)
        own = RosterEntry(
            settings.name, settings.data_centre, settings.caller_endpoint, settings.peer_endpoint
        )
        self.running = RunningState(settings.name, clock)
        self._announced = AnnouncedSet(clock, counters, lambda: self.running.services)
        self.directory = Directory(self._announced, clock, lambda: self.running.services)
        control = ControlClient(settings.control, clock, counters)
        self.exchange = MembershipExchange(
            own, self.running, self._announced, self.directory, control, clock, counters
        )
        limit = held_bytes_limit(settings.memory_mebibytes * MEBIBYTE)
        self._memory = MemoryBudget(limit, clock, counters)
        self._callers = ConnectionBudget(
            clock, counters, connection_limit(settings.memory_mebibytes * MEBIBYTE)
        )
        self._memory.relieve = self._callers.relieve
        self.table = RoutingTable(self.directory, self.running, clock, counters, self._memory)
        self._addresses = EntryAddresses(own, self.running, self.directory, self.exchange)
        self._effects = EffectRunner(
            settings.name, self.table, self.directory, control, clock, counters
        )
        self.request_handler = RequestHandler(
            self.running,
            Admission(clock),
            policies or ServicePolicies(),
            QueryRunner(self.table, self.directory, clock, counters),
            self._effects,
            clock,
            counters,
        )
        self._messages = MessageServer(settings.peer_endpoint, counters)
        self.exchange.register(self._messages)
        counters.register_gauges(self._gauges)
        self._application = caller_application(
            counters,
            self._health,
            {
                "/query/{service}/{request_type}": QueryResource(
                    self.request_handler, clock, self._update_in_flight, self._memory
                ),
                "/instances": InstancesResource(self._addresses, self.running),
                "/announce": AnnounceResource(self._announced, self.running, counters),
                "/drain": DrainResource(self._drain_requested.set),
            },
        )

    def start(self) -> None:
        """Start listening and syncing; serve callers once a configuration is confirmed."""
        self._messages.start()
        self._http = start_server(
            self._application,
            self._settings.address,
            self._settings.caller_port,
            self.counters,
            self._callers,
        )
        self.exchange.start()
        self._greenlets = [
            gevent.spawn(self._run_maintenance),
            gevent.spawn(self._lag.run),
            gevent.spawn(self._serve_when_ready),
            gevent.spawn(self._leave_on_drain_request),
        ]
        log.info("{} is listening on {}", self._settings.name, self._settings.caller_endpoint)

    def stop(self, told_at: Milliseconds) -> None:
        """Stop gracefully.

        Serves until no cached address answer contains this entry, answers the requests that have
        arrived, waits until their outcomes are recorded, then stops.
        """
        log.info("{} is leaving", self._settings.name)
        self.exchange.announce_state("leaving")
        drained_at = told_at + self._addresses.drain_duration
        gevent.sleep(max(0.0, drained_at - self._clock.now()) / SECOND)
        self._http.finish(self._longest_deadline() + SLOW_CALLER_TIME)
        self._http.stop(timeout=0)
        self._effects.await_settled(SETTLE_TIMEOUT)
        gevent.killall(self._greenlets)
        self.exchange.stop()
        self.table.close()
        self._messages.stop()
        log.info("{} has stopped", self._settings.name)

    def _serve_when_ready(self) -> None:
        # An entry that lists itself before it has polled its peers would refuse requests that
        # other entries can answer.
        while not (self.running.is_confirmed and self.exchange.has_polled_peers):
            gevent.sleep(MAINTENANCE_PERIOD / SECOND)
        if self.exchange.state == "starting":
            self.exchange.announce_state("serving")
            log.info(
                "{} is serving configuration revision {}",
                self._settings.name,
                self.running.revision,
            )

    def _leave_on_drain_request(self) -> None:
        self._drain_requested.wait()
        self.exchange.announce_state("leaving")

    def _run_maintenance(self) -> None:
        while True:
            self.table.maintain()
            process_bytes = self._settings.memory_mebibytes * MEBIBYTE
            self._memory.resize(held_bytes_limit(process_bytes, len(self.table.replicas)))
            self._memory.check_relief()
            gevent.sleep(MAINTENANCE_PERIOD / SECOND)

    def _longest_deadline(self) -> Milliseconds:
        configuration = self.running.configuration
        services = configuration.services.values() if configuration else ()
        return max((service.longest_deadline_ms for service in services), default=0.0)

    def _update_in_flight(self, change: int) -> None:
        self._in_flight += change

    def _health(self) -> str:
        if self.running.configuration is None:
            return "no accepted configuration is known"
        if not self.running.is_confirmed:
            return "the configuration is not confirmed"
        if self.exchange.state != "serving":
            return self.exchange.state
        return ""

    def _gauges(self) -> Iterable[Gauge]:
        yield "entry_revision", {}, float(self.running.revision)
        yield "entry_version", {}, float(self.running.version)
        yield "entry_confirmed", {}, float(self.running.is_confirmed)
        evacuations = self.running.evacuations
        yield "entry_evacuated_data_centres", {}, float(len(evacuations.data_centres))
        yield "entry_evacuations_version", {}, float(evacuations.version)
        yield "entry_loop_lag_ms", {}, self._lag.value
        yield "entry_in_flight", {}, float(self._in_flight)
        yield from self.request_handler.gauges()
        yield from self._memory.gauges()
        replicas = list(self.table.replicas)
        yield "entry_upstreams", {}, float(len(replicas))
        yield "entry_connections", {}, float(sum(item.pool.connections for item in replicas))
