"""Synchronises an entry with control and with the other entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event
from msgspec import UNSET

from fulmarhold.clock import SECOND
from fulmarhold.control.messages import EntrySync, NotLeading, RosterEntry, SyncReply
from fulmarhold.errors import FulmarholdError, PeerUnavailable
from fulmarhold.membership.records import (
    ConfigurationReply,
    ConfigurationRequest,
    PeerPoll,
    PeerReply,
    located_reply,
)
from fulmarhold.observe.logs import get_logger
from fulmarhold.settings.loading import InvalidSettings
from fulmarhold.wire.client import Link

if TYPE_CHECKING:
    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.control.client import ControlClient
    from fulmarhold.control.messages import EntryState
    from fulmarhold.membership.announced import AnnouncedSet
    from fulmarhold.membership.directory import Directory
    from fulmarhold.membership.evacuation import Evacuations
    from fulmarhold.membership.running import RunningState
    from fulmarhold.observe.counters import Counters
    from fulmarhold.wire.server import MessageServer

log = get_logger("membership")

DEFAULT_POLL_PERIOD: Milliseconds = 300.0
DEFAULT_POLL_LEASE: Milliseconds = 1_100.0
EXPIRY_PERIOD: Milliseconds = 50.0


class MembershipExchange:
    """Syncs with control, polls peers, answers their polls and expires leases."""

    def __init__(
        self,
        own: RosterEntry,
        running: RunningState,
        announced: AnnouncedSet,
        directory: Directory,
        control: ControlClient,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self._own = own
        self._running = running
        self._announced = announced
        self._directory = directory
        self._control = control
        self._clock = clock
        self._counters = counters
        self._incarnation = clock.wall()
        self._links: dict[str, Link] = {}
        self._pollers: dict[str, gevent.Greenlet] = {}
        self._polled: set[str] = set()
        self._greenlets: list[gevent.Greenlet] = []
        self._sync_now = Event()
        self.state: EntryState = "starting"

    @property
    def poll_period(self) -> Milliseconds:
        configuration = self._running.configuration
        return configuration.timings.poll_period_ms if configuration else DEFAULT_POLL_PERIOD

    @property
    def poll_lease(self) -> Milliseconds:
        configuration = self._running.configuration
        return configuration.timings.poll_lease_ms if configuration else DEFAULT_POLL_LEASE

    @property
    def has_polled_peers(self) -> bool:
        """Whether every other entry was polled at least once, with or without success."""
        return self._running.version > 0 and self._pollers.keys() <= self._polled

    def register(self, server: MessageServer) -> None:
        """Register the handlers of the requests of other entries."""
        server.handle(PeerPoll, self.answer_poll)
        server.handle(ConfigurationRequest, self.answer_configuration)

    def start(self) -> None:
        """Start syncing with control and expiring leases; polling starts with the first roster."""
        self._greenlets = [
            gevent.spawn(self._run_sync),
            gevent.spawn(self._run_expiry),
        ]

    def stop(self) -> None:
        """Stop, and tell control that this entry has left if control can be reached."""
        gevent.killall([*self._greenlets, *self._pollers.values()])
        self.state = "left"
        try:
            self._control.call(self._sync_request(), self.poll_lease)
        except FulmarholdError as error:
            log.info("could not tell control that this entry has left: {}", error)
        self._control.close()
        for link in self._links.values():
            link.close()

    def announce_state(self, state: EntryState) -> None:
        """Change this entry's state and sync it with control at once."""
        self.state = state
        self._sync_now.set()

    def answer_poll(self, poll: PeerPoll) -> PeerReply:
        """Return the records that hold a lease from this entry now."""
        self._announced.expire()
        is_unchanged = (poll.source, poll.set_version) == (
            self._announced.source,
            self._announced.version,
        )
        reply = PeerReply(
            self._announced.source,
            self._announced.version,
            None if is_unchanged else self._announced.records(),
            self.state,
            self._running.version,
        )
        data_centres = {} if is_unchanged else self._announced.data_centres()
        return located_reply(reply, data_centres) if data_centres else reply

    def answer_configuration(self, request: ConfigurationRequest) -> ConfigurationReply:
        """Return the roster that this entry runs, and the configuration if the peer lacks it."""
        running = self._running
        roster = tuple(running.roster.values())
        document = None if request.revision == running.revision else running.document
        return ConfigurationReply(running.version, running.revision, document, roster)

    def _run_sync(self) -> None:
        while True:
            self._sync_now.clear()
            asked_at = self._clock.now()
            changed = False
            try:
                reply = self._control.call(self._sync_request(), self.poll_lease)
                changed = self._apply_sync_reply(reply, asked_at)
            except (PeerUnavailable, InvalidSettings) as error:
                self._counters.add("sync_failures", reason=type(error).__name__)
                log.debug("sync with control failed: {}", error)
            if not changed:
                self._sync_now.wait(self.poll_period / SECOND)

    def _sync_request(self) -> EntrySync:
        running = self._running
        return EntrySync(
            self._own,
            self._incarnation,
            running.version,
            running.revision,
            self.state,
            running.evacuations.version or UNSET,
        )

    def _apply_sync_reply(self, reply: SyncReply | NotLeading, asked_at: Milliseconds) -> bool:
        """Apply a reply and return whether this entry moved to a newer version."""
        if not isinstance(reply, SyncReply):
            return False
        # Before a first version, with which this entry starts to serve.
        if reply.evacuations is not UNSET:
            self._apply_evacuations(reply.evacuations)
        if reply.roster is not None and self._apply_version(
            reply.version, reply.revision, reply.document, reply.roster
        ):
            self._running.confirm_by_control(reply.version, asked_at)
            return True
        if reply.version < self._running.version:
            self._counters.add("sync_failures", reason="older_version")
            return False
        self._running.confirm_by_control(reply.version, asked_at)
        return False

    def _apply_evacuations(self, evacuations: Evacuations) -> None:
        before = self._running.evacuations
        if self._running.apply_evacuations(evacuations):
            self._counters.add("evacuations_applied")
            log.info("evacuated data centres are {}, were {}", evacuations, before)

    def _apply_version(
        self,
        version: int,
        revision: int,
        document: dict[str, Any] | None,
        roster: tuple[RosterEntry, ...],
    ) -> bool:
        previous_revision = self._running.revision
        if not self._running.apply(version, revision, document, roster):
            return False
        if revision != previous_revision:
            log.info("running revision {} of the configuration", revision)
        self._update_pollers()
        return True

    def _update_pollers(self) -> None:
        peers = {
            name: item for name, item in self._running.roster.items() if name != self._own.name
        }
        self._directory.retain_peers(peers)
        for name, poller in list(self._pollers.items()):
            if name not in peers or self._links[name].endpoint != peers[name].peer_endpoint:
                poller.kill(block=False)
                self._links.pop(name).close()
                del self._pollers[name]
        for name, entry in peers.items():
            if name not in self._pollers:
                self._links[name] = Link(entry.peer_endpoint)
                self._pollers[name] = gevent.spawn(self._run_poll, name, self._links[name])

    def _run_poll(self, name: str, link: Link) -> None:
        while True:
            try:
                self._poll(name, link)
            except FulmarholdError as error:
                self._counters.add("poll_failures", reason=type(error).__name__)
                log.debug("poll of {} failed: {}", name, error)
            self._polled.add(name)
            gevent.sleep(self.poll_period / SECOND)

    def _poll(self, name: str, link: Link) -> None:
        relayed = self._directory.relayed(name)
        asked_at = self._clock.now()
        request = PeerPoll(self._own.name, relayed.source, relayed.set_version)
        reply = link.call(request, self.poll_lease)
        self._directory.apply_reply(name, reply, asked_at, self.poll_lease)
        self._running.confirm_by_peer(name, reply.version, asked_at)
        if reply.version > self._running.version and self._running.learned_from_control:
            answer = link.call(ConfigurationRequest(self._running.revision), self.poll_lease)
            self._apply_version(answer.version, answer.revision, answer.document, answer.roster)

    def _run_expiry(self) -> None:
        while True:
            self._announced.expire()
            gevent.sleep(EXPIRY_PERIOD / SECOND)
