"""Collects the statements of upstreams and instances, and feeds them to entries.

Statements are soft state that their subjects repeat, with one exception: an upstream announces its
departure only once. A departure is therefore passed to the other control instances and to the
replicated log before it is acknowledged.
"""

from __future__ import annotations

import uuid
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event
from msgspec import UNSET

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.control.differences import DigestMismatches
from fulmarhold.control.retirement import Retirements
from fulmarhold.control.sharing import StatementSharing
from fulmarhold.membership.feed import (
    AllStatements,
    AskConfirmation,
    AskStatements,
    Confirmation,
    FeedReply,
    ReportHeard,
    RetireUpstream,
    ShareStatements,
    WatchFeed,
)
from fulmarhold.membership.filtering import StatementFilter
from fulmarhold.membership.packing import MIN_PACKED_STATEMENTS, pack_statements
from fulmarhold.membership.statements import (
    DRAINING,
    LEFT,
    READY,
    SILENT,
    InstanceStatement,
    Statement,
    StatementStore,
    UpstreamStatement,
)
from fulmarhold.observe.logs import get_logger
from fulmarhold.wire.messages import Done, Failure

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.clock import Clock
    from fulmarhold.consensus.node import Node
    from fulmarhold.control.machine import ControlMachine
    from fulmarhold.control.statement_file import StatementFile
    from fulmarhold.observe.counters import Counters
    from fulmarhold.wire.links import Links
    from fulmarhold.wire.server import MessageServer

log = get_logger("feeds")

# An unchanged feed is answered after this time, so that the entry knows that its source is alive.
FEED_PERIOD: Milliseconds = 400.0
# Changes of instances are collected for this long before they are sent to an entry. When all
# entries start, each would otherwise be told of each other one in a reply of its own.
INSTANCE_BATCH_TIME: Milliseconds = 150.0
HOUSEKEEPING_PERIOD: Milliseconds = 200.0
# Three feed requests of an entry, each of which takes at most FEED_PERIOD and the round trip.
ENTRY_TIMEOUT: Milliseconds = 1_500.0
# Heartbeats that may be missed before an upstream counts as silent. Entries detect a crash much
# earlier on their own connections, and an upstream that merely reports late must not be dropped.
MISSED_HEARTBEATS = 8
NEVER_CONFIRMED_AGE: Milliseconds = 1e9
REPORT_PERIOD: Milliseconds = 1_000.0
# Allows for two late reports; upstreams are not referred to a control instance silent for longer.
REPORT_TIMEOUT: Milliseconds = 2_500.0
# How long a started instance waits for a peer that knows the statements, before it serves anyway.
CATCH_UP_TIMEOUT: Milliseconds = 1_000.0
CATCH_UP_PERIOD: Milliseconds = 50.0


@dataclass
class _Watch:
    """The time of an entry's last feed request, and the sequence of the statement in it.

    `evacuations_version` is that of the last set of evacuated data centres that it was sent.
    """

    at: Milliseconds
    sequence: int
    evacuations_version: int = 0


class FeedService:
    """Holds the statements known to this control instance and answers the feeds of entries."""

    def __init__(
        self,
        own: InstanceStatement,
        node: Node,
        machine: ControlMachine,
        seeds: Callable[[], tuple[str, ...]],
        heartbeat_period: Milliseconds,
        statement_file: StatementFile,
        links: Links,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self.upstreams: StatementStore[UpstreamStatement] = StatementStore()
        self.instances: StatementStore[InstanceStatement] = StatementStore()
        self._own = own
        self._sharing = StatementSharing(
            node, own.endpoint, seeds, self.upstreams, self.instances, links, counters
        )
        self._upstream_timeout = MISSED_HEARTBEATS * heartbeat_period
        self._retirements = Retirements(
            node, machine, self._sharing, self._upstream_timeout, clock, counters
        )
        self._node = node
        self._machine = machine
        self._statement_file = statement_file
        self._saved_position = 0
        self._clock = clock
        self._counters = counters
        self._filter = StatementFilter(log, clock, counters)
        self._source = uuid.uuid4().hex[:12]
        self._changed = Event()
        # The last packed statements, with the positions that they lead from and to.
        self._packed: tuple[tuple[float, ...] | None, bytes] = (None, b"")
        # By name and service.
        self._heard_at: dict[tuple[str, str], Milliseconds] = {}
        self._unreported: dict[tuple[str, str], tuple[int, int]] = {}
        self._watches: dict[str, _Watch] = {}
        self._peer_reported_at: dict[str, Milliseconds] = {}
        self._digest_mismatches = DigestMismatches()
        self._is_ready = False
        self._is_stopping = False
        self._first_feed_at: Milliseconds | None = None
        self._version = 0
        self._evacuations_version = 0
        self._last_report_at = clock.now()
        self.instances.apply(own, clock.now())

    @property
    def time_since_first_feed(self) -> Milliseconds:
        """How long ago an entry first got a newer configuration with recent majority confirmation.

        0 if none has got one yet.
        """
        return self._clock.now() - self._first_feed_at if self._first_feed_at is not None else 0.0

    def register(self, server: MessageServer) -> None:
        """Register the handlers of feeds and of messages from other control instances."""
        server.handle(WatchFeed, self.watch)
        server.handle(AskConfirmation, self._handle_confirmation)
        server.handle(ShareStatements, self._handle_shared)
        server.handle(AskStatements, self._handle_ask_statements)
        server.handle(ReportHeard, self._handle_report)
        server.handle(RetireUpstream, self._retirements.log_for_peer)

    # Upstreams

    def record_upstream(self, statement: UpstreamStatement) -> bool:
        """Record an upstream's statement about itself; returns whether it may be acknowledged.

        A departure may be acknowledged once it is stored where no single failure can undo it.
        """
        known = self.upstreams.find_same(statement)
        is_departure = statement.state != READY
        statement = self._retirements.apply_to_heartbeat(statement, known)
        is_change = self._merge_upstreams((statement,), "own statement")
        if is_departure:
            return self._retirements.record_departure(statement)
        if is_change:
            self._sharing.share((statement,))
        return True

    def deregister_upstream(self, name: str, born: int | None = None) -> bool:
        """Record that an upstream has left, whether or not it announced its departure before.

        `born` is the start that its departure names, if it names one. Without it, the newest known
        incarnation ends, but goes on if it is heard for longer than heartbeats may be late.
        """
        known = self.upstreams.named(name)
        if not known:
            self._counters.add("departures", result="unknown")
        # There is one, unless its name is stated in several services.
        return all([self._deregister(item, born) for item in known])

    def _deregister(self, known: UpstreamStatement, born: int | None) -> bool:
        named = known if born is None else replace(known, born=born)
        ended = self._retirements.incarnation_of(named)
        if ended < known.born:
            self._counters.add("departures", result="earlier_start")
            log.info(
                "departure of {} of {} names the start {}, {} runs now",
                known.name,
                known.service,
                born,
                known.born,
            )
            return True
        # One that drains has named its start before.
        names_start = born is not None or known.state == DRAINING
        left = replace(known, born=ended, state=DRAINING if names_start else LEFT)
        self._merge_upstreams((left,), "own statement")
        return self._retirements.record_departure(left, names_start=names_start)

    def control_endpoint_in(self, data_centre: str) -> str | None:
        """Return the endpoint of a control instance that runs in a data centre, if there is one."""
        if data_centre == self._own.data_centre:
            return self._own.endpoint
        earliest = self._clock.now() - REPORT_TIMEOUT
        for item in self.instances.all():
            is_match = item.role == "control" and item.data_centre == data_centre
            if is_match and self._peer_reported_at.get(item.endpoint, earliest) > earliest:
                return item.endpoint
        return None

    def data_centre_of(self, endpoint: str) -> str:
        """Return the data centre of the instance at an endpoint, empty if it is unknown."""
        known = (item for item in self.instances.all() if item.endpoint == endpoint)
        return next((item.data_centre for item in known), "")

    def _merge_upstreams(
        self, statements: tuple[UpstreamStatement, ...], origin: str, *, log_changes: bool = True
    ) -> bool:
        now = self._clock.now()
        is_change = False
        for statement in self._filter.usable_upstreams(statements, origin):
            before = self.upstreams.find_same(statement)
            if self.upstreams.apply(statement, now):
                is_change = True
                if log_changes:
                    _log_upstream_change(statement, before, origin)
            if self.upstreams.find_same(statement) == statement and statement.state != SILENT:
                key = statement.name, statement.service
                self._heard_at[key] = now
                self._unreported[key] = (statement.born, statement.sequence)
        if is_change:
            self._notify()
        return is_change

    # Entries

    def watch(self, request: WatchFeed) -> Any:
        """Answer a feed request as soon as something changed, after `FEED_PERIOD` at the latest."""
        now = self._clock.now()
        name = request.watcher.name
        before = self._watches.get(name)
        if self._merge_instances((request.watcher,), "own statement") or before is None:
            self._sharing.share(instances=(request.watcher,))
        watched = _Watch(now, request.watcher.sequence)
        is_whole = request.source != self._source
        if before is not None and not is_whole:
            watched.evacuations_version = before.evacuations_version
        self._watches[name] = watched
        if not self._is_ready:
            return Failure("catching_up")
        if not is_whole:
            self._await_change(request, now + FEED_PERIOD)
        if self._is_stopping:
            return Failure("stopping")
        upstream_position = 0 if is_whole else request.upstream_position
        instance_position = 0 if is_whole else request.instance_position
        state = self._machine.state
        self._watches[name] = _Watch(
            self._clock.now(), request.watcher.sequence, state.evacuations.version
        )
        has_evacuations = state.evacuations.version > _evacuations_version(request)
        is_newer = state.routes_version > request.version
        confirmed_age = min(self._node.confirmed_age(), NEVER_CONFIRMED_AGE)
        if self._first_feed_at is None and is_newer and confirmed_age < FEED_PERIOD:
            self._first_feed_at = self._clock.now()
        self.upstreams.run_down(self._clock.now())
        upstreams = self.upstreams.since(upstream_position)
        instances = self.instances.since(instance_position)
        packed = b""
        if request.accepts_packed and len(upstreams) + len(instances) >= MIN_PACKED_STATEMENTS:
            packed = self._pack(upstreams, instances, upstream_position, instance_position)
        return FeedReply(
            self._source,
            is_whole,
            confirmed_age,
            self.upstreams.position,
            self.instances.position,
            () if packed else tuple(upstreams),
            () if packed else tuple(instances),
            state.routes_version,
            state.routes_document if is_newer else None,
            packed,
            state.evacuations if has_evacuations else UNSET,
        )

    def _pack(
        self,
        upstreams: list[UpstreamStatement],
        instances: list[InstanceStatement],
        upstream_position: int,
        instance_position: int,
    ) -> bytes:
        """Return packed statements; entries that ask for the same ones share one packing."""
        key = (
            upstream_position,
            instance_position,
            self.upstreams.position,
            self.instances.position,
            # Warm-ups run down while the positions stay the same.
            self._clock.now() // SECOND if self.upstreams.has_cold else 0.0,
        )
        if self._packed[0] != key:
            self._packed = (key, pack_statements(upstreams, instances))
        return self._packed[1]

    def _handle_confirmation(self, request: AskConfirmation) -> Confirmation:
        return Confirmation(
            self._is_ready,
            min(self._node.confirmed_age(), NEVER_CONFIRMED_AGE),
            self.control_endpoint_in(request.data_centre) or "",
        )

    def _await_change(self, request: WatchFeed, until: Milliseconds) -> None:
        """Wait for a change; one of instances only is held back for `INSTANCE_BATCH_TIME`."""
        is_collecting = False
        while not (self._is_stopping or self._has_urgent_changes(request)):
            now = self._clock.now()
            if not is_collecting and self.instances.position > request.instance_position:
                is_collecting = True
                until = min(until, now + INSTANCE_BATCH_TIME)
            if now >= until:
                return
            self._changed.wait((until - now) / SECOND)

    def _has_urgent_changes(self, request: WatchFeed) -> bool:
        return (
            self.upstreams.position > request.upstream_position
            or self._machine.state.routes_version > request.version
            or self._has_new_evacuations(request)
        )

    def _has_new_evacuations(self, request: WatchFeed) -> bool:
        """Whether there is a set of evacuated data centres that the watcher was not sent yet.

        An entry of an earlier release ignores the set and never has it. It is sent the set with
        each reply, but must not be answered at once each time.
        """
        watched = self._watches.get(request.watcher.name)
        sent = watched.evacuations_version if watched is not None else 0
        known = max(sent, _evacuations_version(request))
        return self._machine.state.evacuations.version > known

    def _merge_instances(self, statements: tuple[InstanceStatement, ...], origin: str) -> bool:
        now = self._clock.now()
        is_change = False
        for statement in self._filter.usable_instances(statements, origin):
            if statement.name == self._own.name and statement.born > self._own.born:
                # The wall clock went back between two runs of this instance.
                self._own = replace(self._own, born=statement.born + 1)
                self.instances.apply(self._own, now)
                self._sharing.share(instances=(self._own,))
                continue
            if self.instances.apply(statement, now):
                is_change = True
                log.info("{} {} is {}", statement.role, statement.name, statement.state)
        if is_change:
            self._notify()
        return is_change

    # Other control instances

    def _handle_shared(self, shared: ShareStatements) -> Done:
        self._merge_upstreams(shared.upstreams, "shared")
        self._merge_instances(shared.instances, "shared")
        self._share_newer(shared)
        return Done()

    def _share_newer(self, shared: ShareStatements) -> None:
        """Share the statements held here that supersede those just received."""
        upstreams = _conflicting(self.upstreams, shared.upstreams)
        instances = _conflicting(self.instances, shared.instances)
        if upstreams or instances:
            self._sharing.share(upstreams, instances)

    def _handle_ask_statements(self, _: AskStatements) -> AllStatements:
        self.upstreams.run_down(self._clock.now())
        return AllStatements(
            self._is_ready, tuple(self.upstreams.all()), tuple(self.instances.all())
        )

    def _handle_report(self, report: ReportHeard) -> None:
        now = self._clock.now()
        self._peer_reported_at[report.sender] = now
        for name, born, sequence in report.heard:
            starts = [item for item in self.upstreams.named(name) if item.born <= born]
            known = max(starts, key=lambda item: item.born, default=None)
            if known is not None and (born, sequence) >= (known.born, known.sequence):
                self._heard_at[known.name, known.service] = now
        own = self.upstreams.serving_digest()
        if self._digest_mismatches.record_report(report.sender, report.serving, own):
            gevent.spawn(self._sync_from, report.sender)

    def _sync_from(self, peer: str) -> None:
        """Merge the statements of a peer; the peer fetches what it lacks in the same way."""
        answer = self._sharing.call(peer, AskStatements(self._own.endpoint))
        if isinstance(answer, AllStatements):
            log.info("compares its upstreams with those of {}", peer)
            changed = (item for item in answer.upstreams if self.upstreams.find_same(item) != item)
            self._merge_upstreams(
                tuple(map(self._retirements.apply_retirement, changed)), "compared"
            )

    def _notify(self) -> None:
        # Wakes every waiting watcher; later waits use a new event.
        changed, self._changed = self._changed, Event()
        changed.set()

    # Housekeeping

    def catch_up(self) -> None:
        """Fetch the statements of the other control instances, before feeding any entry."""
        self._merge_upstreams(
            tuple(self._retirements.apply_retirement(item) for item in self._statement_file.load()),
            "kept from before",
            log_changes=False,
        )
        # How long ago the warm-ups were stated is not known; heartbeats state those that go on.
        self.upstreams.run_down(float("inf"))
        until = self._clock.now() + CATCH_UP_TIMEOUT
        while not self._is_ready and self._clock.now() < until:
            answers = [
                gevent.spawn(self._sharing.call, peer, AskStatements(""))
                for peer in self._sharing.peers()
            ]
            replies_merged = 0
            for answer in gevent.iwait(answers):
                if isinstance(answer.value, AllStatements):
                    replies_merged += 1
                    self._merge_upstreams(
                        answer.value.upstreams, "told at start", log_changes=False
                    )
                    self._merge_instances(answer.value.instances, "told at start")
                    if answer.value.is_ready:
                        # A ready peer knows what the others know, one of which may never answer.
                        self._is_ready = True
                        break
            # If all started at the same time, none of them knows more than what is merged now.
            self._is_ready = self._is_ready or replies_merged == len(answers)
            if not self._is_ready:
                gevent.sleep(CATCH_UP_PERIOD / SECOND)
        self._is_ready = True
        self._sharing.share(instances=(self._own,))
        log.info("ready to feed entries, {} upstreams known", len(self.upstreams))

    def run(self) -> None:
        """Catch up with the other instances, then run the housekeeping until killed."""
        self.catch_up()
        while True:
            gevent.sleep(HOUSEKEEPING_PERIOD / SECOND)
            self.maintain()

    def maintain(self) -> None:
        """Expire silent subjects, save the statements and report to peers; called regularly."""
        now = self._clock.now()
        self._expire_entries(now)
        if self.upstreams.position != self._saved_position:
            self._saved_position = self.upstreams.position
            self._statement_file.save(self.upstreams.all())
        if now >= self._last_report_at + REPORT_PERIOD:
            self._last_report_at = now
            self._sharing.resend_undelivered()
            self._apply_retirements()
            self._send_reports()
            self.upstreams.forget_ended(now)
            self.instances.forget_ended(now)
            self._retirements.forget_ended(now)
        if self._node.is_formed and self._node.core.is_leader:
            self._expire_upstreams(now)

    def stop(self) -> None:
        """End the feeds, so that entries follow another instance at once."""
        self._is_stopping = True
        self._notify()

    def on_command_applied(self) -> None:
        """Wake the watchers for newer configurations and evacuations; called after each change."""
        state = self._machine.state
        newest = state.routes_version, state.evacuations.version
        if newest != (self._version, self._evacuations_version):
            self._version, self._evacuations_version = newest
            self._notify()

    def _expire_entries(self, now: Milliseconds) -> None:
        overdue = [
            (name, watched.sequence)
            for name, watched in self._watches.items()
            if now > watched.at + ENTRY_TIMEOUT
        ]
        for name, sequence in overdue:
            del self._watches[name]
            known = self.instances.find(name)
            # A higher sequence means that the entry watches another control instance by now.
            is_latest = known is not None and known.sequence == sequence
            if known is not None and is_latest and known.state not in (LEFT, SILENT):
                silent = replace(known, state=SILENT)
                if self._merge_instances((silent,), "silent"):
                    self._sharing.share(instances=(silent,))

    def _apply_retirements(self) -> None:
        """Apply departures from the log that no other instance was left to report."""
        known = self.upstreams.all()
        updated = ((item, self._retirements.apply_retirement(item)) for item in known)
        self._merge_upstreams(tuple(new for old, new in updated if new != old), "the log")

    def _send_reports(self) -> None:
        leader = self._node.leader_endpoint
        heard = tuple((key[0], *heard) for key, heard in self._unreported.items())
        self._unreported.clear()
        for peer in self._sharing.peers():
            reported = heard if peer == leader else ()
            report = ReportHeard(self._own.endpoint, reported, self.upstreams.serving_digest())
            gevent.spawn(self._sharing.send, peer, report)

    def _expire_upstreams(self, now: Milliseconds) -> None:
        earliest = self._node.core.leader_since
        if self._node.confirmed_age() > HOUSEKEEPING_PERIOD * 2:
            return
        for known in self.upstreams.all():
            key = known.name, known.service
            heard_at = max(self._heard_at.get(key, earliest), earliest)
            if known.state == READY and now > heard_at + self._upstream_timeout:
                silent = replace(known, state=SILENT)
                if self._merge_upstreams((silent,), f"silent for {now - heard_at:.0f} ms"):
                    self._sharing.share((silent,))


def _evacuations_version(request: WatchFeed) -> int:
    version = request.evacuations_version
    return 0 if version is UNSET else version


def _conflicting(
    store: StatementStore[Statement], received: tuple[Statement, ...]
) -> tuple[Statement, ...]:
    """Return the store's statements on subjects whose state differs from the received one."""
    held = ((store.find_same(item), item.state) for item in received)
    return tuple(known for known, state in held if known is not None and known.state != state)


def _log_upstream_change(
    statement: UpstreamStatement, before: UpstreamStatement | None, origin: str
) -> None:
    log.info(
        "upstream {} of {} at {} is {} (born {}, sequence {}), was {}: {}",
        statement.name,
        statement.service,
        statement.address,
        statement.state,
        statement.born,
        statement.sequence,
        before.state if before else "unknown",
        origin,
    )
