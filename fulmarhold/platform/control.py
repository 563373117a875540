"""The control daemon on the users' platform."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.consensus.messages import MemberMessage
from fulmarhold.consensus.node import TRANSFER_WAIT, Node, member_message_handler
from fulmarhold.consensus.storage import Storage
from fulmarhold.consensus.transport import Transport
from fulmarhold.control.evacuations import EvacuationService
from fulmarhold.control.feeds import FeedService
from fulmarhold.control.formation import Formation
from fulmarhold.control.leader import DECISION_TIMEOUT
from fulmarhold.control.machine import ControlMachine
from fulmarhold.control.quotas import QuotaService
from fulmarhold.control.statement_file import StatementFile
from fulmarhold.control.versions import VersionService
from fulmarhold.daemons import spawn_essential
from fulmarhold.limits.connections import ConnectionBudget, connection_limit
from fulmarhold.limits.memory import MemoryBudget, held_bytes_limit
from fulmarhold.membership.statements import READY, InstanceStatement
from fulmarhold.observe.logs import get_logger
from fulmarhold.observe.traffic import TrafficCounter
from fulmarhold.platform.documents import decode_configuration, unpack_document
from fulmarhold.platform.settings_watch import serve_application, serve_metrics
from fulmarhold.wire.links import Links
from fulmarhold.wire.server import MessageServer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarhold.accounts.bucket import QuotaLimit
    from fulmarhold.clock import Clock
    from fulmarhold.observe.counters import Counters, Gauge
    from fulmarhold.platform.settings_watch import SettingsWatch

log = get_logger("control")

# How long the interface for operators and upstreams may be delayed in favour of entries. An
# election takes less once all instances have started, and operators and upstreams retry.
MAX_OPERATOR_DELAY: Milliseconds = 400.0
# Every entry retries within this time: a pause of 60 ms and the network round trips.
ENTRY_RETRY_MARGIN: Milliseconds = 100.0
POLL_PERIOD: Milliseconds = 20.0
# A call is decided within this time after it has arrived, or answered that nothing is certain.
CALL_DURATION: Milliseconds = DECISION_TIMEOUT + 100.0
# The time at the end of the grace period that is reserved for ending calls, replies to other
# instances and a write in progress; less of a short grace period.
EXIT_RESERVE: Milliseconds = 1_500.0
MAX_RESERVE_SHARE = 0.25
# How often the bytes exchanged with other control instances are added to the counters.
TRAFFIC_PERIOD: Milliseconds = 1_000.0


class PlatformControl:
    """A control instance: a consensus node with the services for entries and upstreams."""

    def __init__(self, watch: SettingsWatch, clock: Clock, counters: Counters) -> None:
        settings = self._settings = watch.settings
        self._watch = watch
        machine = ControlMachine()
        self._transport = Transport(settings.peer_endpoint)
        self._links = Links()
        self._traffic = TrafficCounter(settings.data_centre, counters)
        self.node = Node(Storage(Path(settings.data_folder)), self._transport, machine, clock)
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
        self._feeds = FeedService(
            own,
            self.node,
            machine,
            watch.seeds,
            settings.heartbeat_period,
            StatementFile(Path(settings.data_folder), counters),
            self._links,
            clock,
            counters,
        )
        self.node.on_applied = self._feeds.on_command_applied
        self._formation = Formation(
            self.node,
            settings.peer_endpoint,
            watch.seeds,
            settings.is_first_start,
            settings.voters,
            clock,
        )
        self._versions = VersionService(self.node, machine, clock, counters)
        self._evacuations = EvacuationService(self.node, machine, clock, counters)
        self._quotas = QuotaService(
            self.node, machine, _decode_limits, settings.quota_bound, clock, counters
        )
        self._memory = MemoryBudget(held_bytes_limit(settings.memory_bytes), clock, counters)
        self._callers = ConnectionBudget(clock, counters, connection_limit(settings.memory_bytes))
        self._memory.relieve = self._callers.relieve
        self._clock = clock
        self._counters = counters
        self._servers: list[Any] = []
        self._messages = MessageServer(settings.peer_endpoint, counters)
        self._messages.handle(MemberMessage, member_message_handler(self.node))
        for part in (
            self._feeds,
            self._formation,
            self._versions,
            self._evacuations,
            self._quotas,
        ):
            part.register(self._messages)

    def start(self) -> None:
        """Load the stored state, listen and join the cluster."""
        self.node.start()
        self._messages.start()
        self._greenlets = [
            spawn_essential(self.failure, part.run)
            for part in (self._formation, self._feeds, self._watch, self._quotas)
        ]
        self._counters.register_gauges(self._gauges)
        self._operators = spawn_essential(self.failure, self._serve_operators)
        self._greenlets.append(spawn_essential(self.failure, self._count_traffic))

    def _count_traffic(self) -> None:
        while True:
            gevent.sleep(TRAFFIC_PERIOD / SECOND)
            self._memory.check_relief()
            for purpose, links in (
                ("log", self._transport.links()),
                ("statements", self._links.all()),
            ):
                for link in links:
                    data_centre = self._feeds.data_centre_of(link.endpoint)
                    self._traffic.add(purpose, link.take_bytes(), data_centre)

    def _serve_operators(self) -> None:
        """Serve operators and upstreams after entries have received the configuration.

        Importing the web framework takes as long as an election, and after a failure of all
        instances no query is served until a leader is elected and has confirmed the configuration
        to entries.
        """
        until = self._clock.now() + MAX_OPERATOR_DELAY
        while self._feeds.time_since_first_feed < ENTRY_RETRY_MARGIN and self._clock.now() < until:
            gevent.sleep(POLL_PERIOD / SECOND)
        from fulmarhold.platform.interfaces import control_application  # noqa: PLC0415

        application = control_application(
            self._versions,
            self._feeds,
            self._settings.control_endpoint,
            self._clock,
            self._counters,
            self._memory,
            self._evacuations,
        )
        self._servers = [
            serve_application(
                application, self._settings.control_endpoint, self._counters, self._callers
            ),
            serve_metrics(self._counters, self._settings.metrics_endpoint, self._callers),
        ]

    def stop(self, told_at: Milliseconds) -> None:
        """Answer the calls that have arrived, transfer leadership and stop in the grace period."""
        # The settings may have changed since the start.
        grace = self._watch.settings.grace
        exit_at = told_at + grace - min(EXIT_RESERVE, MAX_RESERVE_SHARE * grace)
        log.info("stopping, killed after {:.0f} ms; leads: {}", grace, self._leads)
        # It may not have started to serve yet.
        self._operators.kill()
        for server in self._servers:
            server.finish(0.0)
        # Without leadership, the outcome of changes in progress would be unknown.
        self._finish_calls(min(exit_at, self._clock.now() + CALL_DURATION))
        self.node.transfer_leadership(min(TRANSFER_WAIT, exit_at - self._clock.now()))
        log.info("still leads: {}; waits for callers that send or read slowly", self._leads)
        self._finish_calls(exit_at)
        log.info("ends open feeds and calls")
        for server in self._servers:
            server.stop(timeout=0)
        self._feeds.stop()
        self._messages.stop()
        gevent.killall(self._greenlets)
        self.node.stop()

    @property
    def _leads(self) -> bool:
        return self.node.is_formed and self.node.core.is_leader

    def _finish_calls(self, until: Milliseconds) -> None:
        for server in self._servers:
            server.finish(until - self._clock.now())

    def _gauges(self) -> Iterable[Gauge]:
        yield "control_upstreams_known", {}, float(len(self._feeds.upstreams))
        yield "control_instances_known", {}, float(len(self._feeds.instances))
        yield "control_can_store", {}, float(self.node.can_store)
        yield from self._memory.gauges()
        yield from self._evacuations.gauges()
        yield from self._quotas.gauges()
        yield from self._callers.gauges()
        if self.node.is_formed:
            core = self.node.core
            yield "control_leads", {}, float(self._leads)
            yield "control_term", {}, float(core.term)
            yield "control_commit_index", {}, float(core.commit_index)
            yield "control_confirmed_age_ms", {}, self.node.confirmed_age()
            yield "control_voters", {}, float(len(core.members.voters))
            yield "control_votes", {}, float(core.identity in core.members.voters)


def _decode_limits(document: bytes) -> dict[str, QuotaLimit]:
    """Return the quotas in a stored configuration."""
    return decode_configuration(unpack_document(document)).quota_limits
