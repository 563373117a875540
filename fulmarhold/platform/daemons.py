"""The entry and control daemons on the users' platform."""

from __future__ import annotations

import random
from pathlib import Path
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import AsyncResult

from fulmarhold.clock import SECOND, Clock, Milliseconds
from fulmarhold.consensus.messages import MemberMessage
from fulmarhold.consensus.node import Node, receive_member_message
from fulmarhold.consensus.storage import Storage
from fulmarhold.consensus.transport import Transport
from fulmarhold.control.feeds import Feeds
from fulmarhold.control.formation import Formation
from fulmarhold.control.machine import ControlMachine
from fulmarhold.control.versions import VersionService
from fulmarhold.errors import FulmarholdError
from fulmarhold.forwarding.forwarder import Forwarder
from fulmarhold.forwarding.upstreams import UpstreamTable
from fulmarhold.membership.statements import DRAINING, READY, STARTING, InstanceStatement
from fulmarhold.membership.watcher import FleetWatcher
from fulmarhold.observe.counters import Counters
from fulmarhold.observe.events import EventLog
from fulmarhold.observe.logs import part_log
from fulmarhold.platform.documents import decode_configuration, unpack_document
from fulmarhold.platform.headers import PlatformDialect, read_request, write_outcome
from fulmarhold.platform.interfaces import (
    ANSWER_KEPT,
    control_application,
    directory_application,
    readiness_application,
)
from fulmarhold.platform.settings import PlatformSettings, load_settings
from fulmarhold.routes.configuration import CallerLimits
from fulmarhold.routes.table import RouteTable
from fulmarhold.web.front import FrontServer, RawRequest, RawResponse
from fulmarhold.web.serving import start_server
from fulmarhold.wire.server import MessageServer

if TYPE_CHECKING:
    import falcon

log = part_log("daemon")

MAINTENANCE_PERIOD: Milliseconds = 100.0
SETTINGS_PERIOD: Milliseconds = 500.0
# Callers that keep an answer longest use it for three times what they are told.
LONGEST_KEPT_FACTOR = 3.0
# The end of the time to stop that remains for exiting.
STOP_RESERVE: Milliseconds = 500.0
# The part of the slack for extra attempts that entries may have saved up all together.
BURST_SHARE = 0.5


class SettingsWatch:
    """Re-reads the settings file, which may change with or without a signal."""

    def __init__(self, path: Path, settings: PlatformSettings) -> None:
        self._path = path
        self.settings = settings

    def seeds(self) -> tuple[str, ...]:
        """Return the seeds that the file names now."""
        return self.settings.seeds

    def reload(self) -> None:
        """Read the file again; a file that can't be read leaves the settings as they are."""
        try:
            settings = load_settings(self._path)
        except FulmarholdError as error:
            log.warning("keeps the settings: {}", error)
            return
        if settings != self.settings:
            log.info("settings have changed; seeds are {}", ", ".join(settings.seeds))
            self.settings = settings

    def run(self) -> None:
        """Look for changes until killed."""
        while True:
            gevent.sleep(SETTINGS_PERIOD / SECOND)
            self.reload()


class PlatformControl:
    """A control instance."""

    def __init__(self, watch: SettingsWatch, clock: Clock, counters: Counters) -> None:
        settings = self._settings = watch.settings
        self._watch = watch
        machine = ControlMachine()
        self.node = Node(
            Storage(Path(settings.data_folder)), Transport(settings.peer_endpoint), machine, clock
        )
        self.failure = self.node.failure
        own = InstanceStatement(
            settings.name,
            int(clock.wall()),
            1,
            READY,
            "control",
            settings.data_centre,
            settings.peer_endpoint,
        )
        self._feeds = Feeds(
            own, self.node, machine, watch.seeds, settings.heartbeat_period, clock, counters
        )
        self.node.on_applied = self._feeds.note_applied
        self._formation = Formation(
            self.node,
            settings.peer_endpoint,
            watch.seeds,
            settings.is_first_start,
            settings.voters,
            clock,
        )
        versions = VersionService(self.node, machine, clock, counters)
        self._messages = MessageServer(settings.peer_endpoint, counters)
        self._messages.handle(MemberMessage, receive_member_message(self.node))
        for part in (self._feeds, self._formation, versions):
            part.register(self._messages)
        self._application = control_application(versions, self._feeds, counters)

    def start(self) -> None:
        """Load the synced state, listen and take part."""
        self.node.start()
        self._messages.start()
        self._http = _serve(self._application, self._settings.control_endpoint)
        self._greenlets = [
            gevent.spawn(part.run) for part in (self._formation, self._feeds, self._watch)
        ]

    def stop(self) -> None:
        """Hand leadership over and stop."""
        self.node.hand_over()
        self._http.stop(timeout=1)
        gevent.killall(self._greenlets)
        self.node.stop()
        self._messages.stop()


class PlatformEntry:
    """An entry instance."""

    def __init__(
        self, watch: SettingsWatch, clock: Clock, counters: Counters, events: EventLog
    ) -> None:
        settings = self._settings = watch.settings
        self._watch = watch
        self._clock = clock
        self.failure: AsyncResult = AsyncResult()
        self._table = UpstreamTable(clock, counters)
        self.forwarder = Forwarder(
            self._table, PlatformDialect(), settings.extra_share, clock, counters, events
        )
        own = InstanceStatement(
            settings.name,
            int(clock.wall()),
            1,
            STARTING,
            "entry",
            settings.data_centre,
            settings.caller_endpoint,
        )
        self.watcher = FleetWatcher(
            own, watch.seeds, self._take_configuration, self._update_table, clock, counters
        )
        self._front = FrontServer(
            settings.caller_endpoint, self._answer, self._limits, clock, counters
        )

    def start(self) -> None:
        """Listen, follow control and serve once a configuration is confirmed."""
        self._front.start()
        self._readiness = _serve(
            readiness_application(self._is_ready), self._settings.readiness_endpoint
        )
        self._directory = _serve(
            directory_application(self._addresses), self._settings.directory_endpoint
        )
        self._greenlets = [
            gevent.spawn(self.watcher.run),
            gevent.spawn(self._watch.run),
            gevent.spawn(self._maintain),
        ]

    def stop(self) -> None:
        """Leave the directory, serve while callers may still come, then end what is open."""
        started_at = self._clock.now()
        exit_at = started_at + self._settings.grace - STOP_RESERVE
        self.watcher.announce(DRAINING)
        self._front.is_closing = True
        kept_until = started_at + LONGEST_KEPT_FACTOR * ANSWER_KEPT
        gevent.sleep((min(kept_until, exit_at) - self._clock.now()) / SECOND)
        self._front.stop_accepting()
        while self._front.in_flight and self._clock.now() < exit_at:
            gevent.sleep(MAINTENANCE_PERIOD / 10 / SECOND)
        self._front.close_idle()
        gevent.killall(self._greenlets)
        self._readiness.stop(timeout=0)
        self._directory.stop(timeout=0)
        self._table.close()

    def _answer(self, raw: RawRequest, on_gone: Any) -> RawResponse:
        return write_outcome(self.forwarder.forward(read_request(raw), on_gone))

    def _limits(self) -> CallerLimits:
        routes = self.forwarder.routes
        return routes.configuration.limits if routes else CallerLimits()

    def _is_ready(self) -> bool:
        return self.watcher.own.state == READY

    def _addresses(self) -> list[str]:
        addresses = [item.endpoint for item in self.watcher.entries()]
        random.shuffle(addresses)
        return addresses

    def _take_configuration(self, version: int, document: bytes) -> None:
        routes = RouteTable(decode_configuration(unpack_document(document)))
        self.forwarder.use(routes)
        log.info("version {} is in force with {} routes", version, len(routes))
        if self.watcher.own.state == STARTING:
            self.watcher.announce(READY)

    def _update_table(self) -> None:
        routes = self.forwarder.routes
        if routes is None:
            return
        entries = max(1, len(self.watcher.entries()))
        self.forwarder.set_burst(BURST_SHARE * self._settings.extra_slack / entries)
        self._table.update(self.watcher.serving_upstreams(), routes.configuration, entries)

    def _maintain(self) -> None:
        while True:
            gevent.sleep(MAINTENANCE_PERIOD / SECOND)
            self._table.maintain()


def _serve(application: falcon.App, endpoint: str) -> Any:
    address, _, port = endpoint.rpartition(":")
    return start_server(application, address, int(port))
