"""What control instances know of upstreams and entries, shared among them and fed to entries.

All of it is soft state that its subjects repeat, except that an upstream leaves: it says so once,
so that this is handed to the other instances and to the replicated log before it is acknowledged.
"""

from __future__ import annotations

import uuid
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Any

import gevent
from gevent.event import Event

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.control.differences import LastingDifferences
from fulmarhold.control.retirement import Retirements
from fulmarhold.control.sharing import Sharing
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
from fulmarhold.observe.logs import part_log
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

log = part_log("feeds")

# An unchanged feed is answered this often, which tells the entry that its source is in touch.
FEED_PERIOD: Milliseconds = 400.0
HOUSEKEEPING_PERIOD: Milliseconds = 200.0
# Three unanswered feeds of an entry, each of at most FEED_PERIOD and the trip.
ENTRY_SILENCE: Milliseconds = 1_500.0
# Heartbeats that may be missed before an upstream counts as silent: entries notice a crash by
# their own connections long before, and one that merely reports late must not be dropped.
MISSED_HEARTBEATS = 8
NEVER_CONFIRMED: Milliseconds = 1e9
REPORT_PERIOD: Milliseconds = 1_000.0
# Two reports that may be late; upstreams are not sent to a control instance silent for longer.
REPORTS_LATE: Milliseconds = 2_500.0
# How long a started instance waits for one that knows the statements before it serves without.
LONGEST_CATCH_UP: Milliseconds = 1_000.0
CATCH_UP_PERIOD: Milliseconds = 50.0


@dataclass
class _Watched:
    """When an entry last asked, and what sequence it gave."""

    at: Milliseconds
    sequence: int


class FeedService:
    """The statements that this control instance holds."""

    def __init__(
        self,
        own: InstanceStatement,
        node: Node,
        machine: ControlMachine,
        seeds: Callable[[], tuple[str, ...]],
        heartbeat_period: Milliseconds,
        keep: StatementFile,
        links: Links,
        clock: Clock,
        counters: Counters,
    ) -> None:
        self.upstreams: StatementStore[UpstreamStatement] = StatementStore()
        self.instances: StatementStore[InstanceStatement] = StatementStore()
        self._own = own
        self._sharing = Sharing(
            node, own.endpoint, seeds, self.upstreams, self.instances, links, counters
        )
        self._retirements = Retirements(node, machine, self._sharing, clock)
        self._node = node
        self._machine = machine
        self._upstream_silence = MISSED_HEARTBEATS * heartbeat_period
        self._keep = keep
        self._kept_position = 0
        self._clock = clock
        self._counters = counters
        self._source = uuid.uuid4().hex[:12]
        self._changed = Event()
        self._heard: dict[str, Milliseconds] = {}
        self._fresh: dict[str, tuple[int, int]] = {}
        self._watched: dict[str, _Watched] = {}
        self._reported: dict[str, Milliseconds] = {}
        self._differences = LastingDifferences()
        self._is_ready = False
        self._fed_at: Milliseconds | None = None
        self._version = 0
        self._reported_at = clock.now()
        self.instances.apply(own, clock.now())

    @property
    def time_since_first_feed(self) -> Milliseconds:
        """How long ago an entry was first given a configuration that a majority stands behind."""
        return self._clock.now() - self._fed_at if self._fed_at is not None else 0.0

    def register(self, server: MessageServer) -> None:
        """File the handlers of feeds and of what other control instances share."""
        server.handle(WatchFeed, self.watch)
        server.handle(AskConfirmation, self._confirm)
        server.handle(ShareStatements, self._take_shared)
        server.handle(AskStatements, self._tell_all)
        server.handle(ReportHeard, self._take_heard)
        server.handle(RetireUpstream, self._retirements.log_for_peer)

    # Upstreams

    def record_upstream(self, statement: UpstreamStatement) -> bool:
        """Take in what an upstream says of itself; returns whether it may be acknowledged.

        A statement that it leaves is acknowledged once it is where no single loss can undo it.
        """
        statement = self._retirements.correct(statement)
        is_change = self._take_upstreams((statement,), "own word")
        if statement.state not in (DRAINING, LEFT):
            if is_change:
                self._sharing.share((statement,))
            return True
        return self._retirements.hand_over(statement)

    def deregister_upstream(self, name: str) -> bool:
        """Take in that an upstream goes without having said so before."""
        known = self.upstreams.find(name)
        if known is None:
            return True
        return self.record_upstream(replace(known, state=LEFT))

    def control_endpoint_in(self, data_centre: str) -> str | None:
        """Return the endpoint of a control instance that runs in a data centre, if any does."""
        if data_centre == self._own.data_centre:
            return self._own.endpoint
        earliest = self._clock.now() - REPORTS_LATE
        for item in self.instances.all():
            is_there = item.role == "control" and item.data_centre == data_centre
            if is_there and self._reported.get(item.endpoint, earliest) > earliest:
                return item.endpoint
        return None

    def _take_upstreams(
        self, statements: tuple[UpstreamStatement, ...], by: str, *, tell: bool = True
    ) -> bool:
        now = self._clock.now()
        is_change = False
        for statement in statements:
            before = self.upstreams.find(statement.name)
            if self.upstreams.apply(statement, now):
                is_change = True
                if tell:
                    _tell_upstream(statement, before, by)
            if self.upstreams.find(statement.name) == statement and statement.state != SILENT:
                self._heard[statement.name] = now
                self._fresh[statement.name] = (statement.born, statement.sequence)
        if is_change:
            self._notify()
        return is_change

    # Entries

    def watch(self, request: WatchFeed) -> Any:
        """Answer an entry as soon as something changed, or after a period at the latest."""
        now = self._clock.now()
        is_new = request.watcher.name not in self._watched
        if self._take_instances((request.watcher,)) or is_new:
            self._sharing.share(instances=(request.watcher,))
        self._watched[request.watcher.name] = _Watched(now, request.watcher.sequence)
        if not self._is_ready:
            return Failure("catching_up")
        is_whole = request.source != self._source
        if not is_whole:
            self._await_change(request, now + FEED_PERIOD)
        upstream_position = 0 if is_whole else request.upstream_position
        instance_position = 0 if is_whole else request.instance_position
        self._watched[request.watcher.name] = _Watched(self._clock.now(), request.watcher.sequence)
        state = self._machine.state
        is_newer = state.routes_version > request.version
        confirmed_age = min(self._node.confirmed_age(), NEVER_CONFIRMED)
        if self._fed_at is None and is_newer and confirmed_age < FEED_PERIOD:
            self._fed_at = self._clock.now()
        return FeedReply(
            self._source,
            is_whole,
            confirmed_age,
            self.upstreams.position,
            self.instances.position,
            tuple(self.upstreams.since(upstream_position)),
            tuple(self.instances.since(instance_position)),
            state.routes_version,
            state.routes_document if is_newer else None,
        )

    def _confirm(self, _: AskConfirmation) -> Confirmation:
        return Confirmation(self._is_ready, min(self._node.confirmed_age(), NEVER_CONFIRMED))

    def _await_change(self, request: WatchFeed, until: Milliseconds) -> None:
        while not self._has_news(request):
            left = until - self._clock.now()
            if left <= 0:
                return
            self._changed.wait(left / SECOND)

    def _has_news(self, request: WatchFeed) -> bool:
        return (
            self.upstreams.position > request.upstream_position
            or self.instances.position > request.instance_position
            or self._machine.state.routes_version > request.version
        )

    def _take_instances(self, statements: tuple[InstanceStatement, ...]) -> bool:
        now = self._clock.now()
        is_change = False
        for statement in statements:
            if statement.name == self._own.name and statement.born > self._own.born:
                # The time of day went back between two lives of this instance.
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

    def _take_shared(self, shared: ShareStatements) -> Done:
        self._take_upstreams(shared.upstreams, "shared")
        self._take_instances(shared.instances)
        self._refute(shared)
        return Done()

    def _refute(self, shared: ShareStatements) -> None:
        """Share what is known here to be newer than what another instance has just told."""
        upstreams = _differing(self.upstreams, shared.upstreams)
        instances = _differing(self.instances, shared.instances)
        if upstreams or instances:
            self._sharing.share(upstreams, instances)

    def _tell_all(self, _: AskStatements) -> AllStatements:
        return AllStatements(
            self._is_ready, tuple(self.upstreams.all()), tuple(self.instances.all())
        )

    def _take_heard(self, report: ReportHeard) -> None:
        now = self._clock.now()
        self._reported[report.sender] = now
        for name, born, sequence in report.heard:
            known = self.upstreams.find(name)
            if known is not None and (born, sequence) >= (known.born, known.sequence):
                self._heard[name] = now
        own = self.upstreams.serving_digest()
        if self._differences.is_lasting(report.sender, report.serving, own):
            gevent.spawn(self._compare_with, report.sender)

    def _compare_with(self, peer: str) -> None:
        """Take over what another instance knows; it does the same where it knows less."""
        answer = self._sharing.call(peer, AskStatements(self._own.endpoint))
        if isinstance(answer, AllStatements):
            log.info("compares its upstreams with those of {}", peer)
            news = (item for item in answer.upstreams if self.upstreams.find(item.name) != item)
            self._take_upstreams(tuple(map(self._retirements.correct, news)), "compared")

    def _notify(self) -> None:
        # Every waiting watcher looks again; a new event serves those that wait later.
        changed, self._changed = self._changed, Event()
        changed.set()

    # Housekeeping

    def catch_up(self) -> None:
        """Ask the others for what they hold, before this instance feeds any entry."""
        self._take_upstreams(
            tuple(self._retirements.correct(item) for item in self._keep.load()),
            "kept from before",
            tell=False,
        )
        until = self._clock.now() + LONGEST_CATCH_UP
        while not self._is_ready and self._clock.now() < until:
            answers = [
                gevent.spawn(self._sharing.call, peer, AskStatements(""))
                for peer in self._sharing.peers()
            ]
            told = 0
            for answer in gevent.iwait(answers):
                if isinstance(answer.value, AllStatements):
                    told += 1
                    self._take_upstreams(answer.value.upstreams, "told at start", tell=False)
                    self._take_instances(answer.value.instances)
                    if answer.value.is_ready:
                        # It knows what the others know; one of them may never answer.
                        self._is_ready = True
                        break
            # When all have started at once nobody knows more than what is merged now.
            self._is_ready = self._is_ready or told == len(answers)
            if not self._is_ready:
                gevent.sleep(CATCH_UP_PERIOD / SECOND)
        self._is_ready = True
        self._sharing.share(instances=(self._own,))
        log.info("feeds entries with {} upstreams known", len(self.upstreams))

    def run(self) -> None:
        """Notice silence and new configurations, until killed."""
        self.catch_up()
        while True:
            gevent.sleep(HOUSEKEEPING_PERIOD / SECOND)
            self.maintain()

    def maintain(self) -> None:
        """End what is silent, keep the statements and report to the others; called regularly."""
        now = self._clock.now()
        self._end_silent_entries(now)
        if self.upstreams.position != self._kept_position:
            self._kept_position = self.upstreams.position
            self._keep.save(self.upstreams.all())
        if now >= self._reported_at + REPORT_PERIOD:
            self._reported_at = now
            self._sharing.pay_owed()
            self._end_retired()
            self._report_heard()
            self.upstreams.forget_ended(now)
            self.instances.forget_ended(now)
        if self._node.is_formed and self._node.core.is_leader:
            self._end_silent_upstreams(now)

    def on_command_applied(self) -> None:
        """Wake the watchers when the applied configuration is newer; called at each change."""
        if self._machine.state.routes_version > self._version:
            self._version = self._machine.state.routes_version
            self._notify()

    def _end_silent_entries(self, now: Milliseconds) -> None:
        overdue = [
            (name, watched.sequence)
            for name, watched in self._watched.items()
            if now > watched.at + ENTRY_SILENCE
        ]
        for name, sequence in overdue:
            del self._watched[name]
            known = self.instances.find(name)
            # A higher sequence means that it watches another control instance by now.
            is_last_word = known is not None and known.sequence == sequence
            if known is not None and is_last_word and known.state not in (LEFT, SILENT):
                silent = replace(known, state=SILENT)
                if self._take_instances((silent,)):
                    self._sharing.share(instances=(silent,))

    def _end_retired(self) -> None:
        """End what the log says has left, where no other instance was left to tell so."""
        known = self.upstreams.all()
        corrected = ((item, self._retirements.correct(item)) for item in known)
        self._take_upstreams(tuple(new for old, new in corrected if new != old), "the log")

    def _report_heard(self) -> None:
        leader = self._node.leader_endpoint
        heard = tuple((name, born, sequence) for name, (born, sequence) in self._fresh.items())
        self._fresh.clear()
        for peer in self._sharing.peers():
            told = heard if peer == leader else ()
            report = ReportHeard(self._own.endpoint, told, self.upstreams.serving_digest())
            gevent.spawn(self._sharing.send, peer, report)

    def _end_silent_upstreams(self, now: Milliseconds) -> None:
        earliest = self._node.core.leader_since
        if self._node.confirmed_age() > HOUSEKEEPING_PERIOD * 2:
            return
        for known in self.upstreams.all():
            heard_at = max(self._heard.get(known.name, earliest), earliest)
            if known.state == READY and now > heard_at + self._upstream_silence:
                silent = replace(known, state=SILENT)
                if self._take_upstreams((silent,), f"unheard for {now - heard_at:.0f} ms"):
                    self._sharing.share((silent,))


def _differing(
    ledger: StatementStore[Statement], told: tuple[Statement, ...]
) -> tuple[Statement, ...]:
    """Return what the ledger holds of the subjects that are in another state there."""
    held = ((ledger.find(item.name), item.state) for item in told)
    return tuple(known for known, state in held if known is not None and known.state != state)


def _tell_upstream(statement: UpstreamStatement, before: UpstreamStatement | None, by: str) -> None:
    log.info(
        "upstream {} of {} at {} is {} (born {}, sequence {}), was {}: {}",
        statement.name,
        statement.service,
        statement.address,
        statement.state,
        statement.born,
        statement.sequence,
        before.state if before else "unknown",
        by,
    )
