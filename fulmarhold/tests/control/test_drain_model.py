"""Departures of upstreams under random schedules of loss, late messages, restarts and lost disks.

The control instances run the real code on a simulated network and a simulated log, both driven by
the schedule. The log has a model of its own (`tests/consensus/test_core.py`); here it is a list of
commands that each instance eventually applies.
"""

from __future__ import annotations

from dataclasses import replace
from random import Random
from types import SimpleNamespace
from typing import Any

import gevent
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import seed as pinned_seed
from hypothesis import strategies as st

from fulmarhold.clock import ManualClock
from fulmarhold.consensus.core import NotLeader
from fulmarhold.control import feeds as feeds_module
from fulmarhold.control.feeds import MISSED_HEARTBEATS, REPORT_PERIOD, FeedService
from fulmarhold.control.machine import ControlMachine
from fulmarhold.control.sharing import SHARE_TIMEOUT
from fulmarhold.errors import PeerUnavailable
from fulmarhold.membership.feed import WatchFeed
from fulmarhold.membership.statements import (
    DRAINING,
    LEFT,
    READY,
    InstanceStatement,
    StatementStore,
    UpstreamStatement,
)
from fulmarhold.observe.counters import Counters
from fulmarhold.wire.messages import Failure

# A one-off run covered 10,000 schedules.
SCHEDULES = 500
EVENTS = 40
# Pinned, because derandomize derives the seed from the source of the test function, and a rename
# would change the schedules.
SCHEDULE_SEED = int(
    "58831c6afdd4347ada8a2f40ba1b29b27c0ad85127dae357"
    "2d1749dd852bec26d25b3ffc80aa22549e6e631e9d50551f",
    16,
)
EVENT_WEIGHTS = {
    "beat": 20,
    "watch": 20,
    "leave": 10,
    "delete": 2,
    "late delete": 3,
    "odd": 4,
    "return": 8,
    "stop": 12,
    "start": 12,
    "cut": 8,
    "join": 4,
    "lose leader": 6,
    "elect": 6,
    "late": 8,
    "apply": 8,
    "maintain": 5,
    "heal": 4,
}
CONTROL = ("c0:1", "c1:1", "c2:1")
HEARTBEAT_PERIOD = 1_200.0
BORN = 100
# Between two starts of an upstream. An incarnation that goes on after a departure which named no
# start is numbered one higher each time.
START_INTERVAL = 1_000
# How many heartbeats may pass until an upstream that goes on is used again: they have to be heard
# for as long as they may be late, by one instance, and the departure may have come anew.
DOUBTED_HEARTBEATS = 2 * MISSED_HEARTBEATS


class InMemoryStatementFile:
    """In-memory statement file of one instance that saves immediately."""

    def __init__(self):
        self.statements = []

    def load(self):
        return list(self.statements)

    def save(self, statements):
        self.statements = list(statements)


class Node:
    """A simulated cluster member: the first running instance leads while a majority runs."""

    is_formed = True

    def __init__(self, simulation, endpoint):
        self._simulation, self._endpoint = simulation, endpoint

    @property
    def core(self):
        all_members = {name: name for name in CONTROL}
        return SimpleNamespace(
            is_leader=self.leader_endpoint == self._endpoint,
            leader_since=0.0,
            members=SimpleNamespace(all_members=all_members, voters=all_members),
        )

    @property
    def leader_endpoint(self):
        return self._simulation.leader()

    def propose(self, data):
        if not self.core.is_leader:
            raise NotLeader(self.leader_endpoint)
        self._simulation.log.append(data)
        return self._simulation.apply(self._endpoint, len(self._simulation.log))

    def confirmed_age(self):
        return 0.0


class Links:
    """The simulated connections of one instance to the others."""

    def __init__(self, simulation, sender):
        self._simulation, self._sender = simulation, sender

    def to(self, endpoint):
        return SimpleNamespace(
            call=lambda request, _: self._simulation.deliver(self._sender, endpoint, request),
            send=lambda message: self._simulation.deliver(self._sender, endpoint, message),
        )


class Handlers(dict):
    """The registered handlers of one instance by message type."""

    def handle(self, message_type, handler):
        self[message_type] = handler


class Simulation:
    """Simulates three control instances, two entries that watch them, and one upstream."""

    def __init__(self, seed, loss):
        self.random = Random(seed)
        self.loss = loss
        self.clock = ManualClock()
        self.log: list[bytes] = []
        self.machines: dict[str, ControlMachine] = {}
        self.applied: dict[str, int] = {}
        self.files = {name: InMemoryStatementFile() for name in CONTROL}
        self.feeds: dict[str, FeedService] = {}
        self.handlers: dict[str, Handlers] = {}
        self.cut: set[frozenset[str]] = set()
        self.late: list[tuple[str, Any]] = []
        self.entries: list[StatementStore[UpstreamStatement]] = [StatementStore(), StatementStore()]
        self.upstream = UpstreamStatement("u", BORN, 1, READY, "parts", "10.0.0.1:80", "a", 2)
        self.acknowledged = 0
        # Whether a departure of an earlier start may have ended the running one.
        self.is_doubted = False
        self.has_leader = True
        for name in CONTROL:
            self.start(name)

    def leader(self):
        running = [name for name in CONTROL if name in self.feeds]
        return running[0] if self.has_leader and len(running) > len(CONTROL) // 2 else None

    def apply(self, name, until):
        outcome = None
        while self.applied[name] < until:
            outcome = self.machines[name].apply(self.log[self.applied[name]])
            self.applied[name] += 1
        return outcome

    def start(self, name):
        self.machines[name], self.applied[name] = ControlMachine(), 0
        # A member has its synced part of the log at once, and gets the rest from the leader later.
        self.apply(name, self.random.randint(0, len(self.log)))
        own = InstanceStatement(name, 5, 1, READY, "control", "a", name)
        node: Any = Node(self, name)
        links: Any = Links(self, name)
        statement_file: Any = self.files[name]
        counters = Counters()
        self.handlers[name] = Handlers()
        feeds = FeedService(
            own,
            node,
            self.machines[name],
            lambda: CONTROL,
            HEARTBEAT_PERIOD,
            statement_file,
            links,
            self.clock,
            counters,
        )
        server: Any = self.handlers[name]
        feeds.register(server)
        self.handlers[name].handle(UpstreamStatement, feeds.record_upstream)
        self.feeds[name] = feeds
        feeds.catch_up()

    def stop(self, name, *, loses_disk):
        self.feeds.pop(name, None)
        self.handlers.pop(name, None)
        if loses_disk:
            self.files[name] = InMemoryStatementFile()

    def deliver(self, sender, recipient, message):
        is_cut = frozenset((sender, recipient)) in self.cut
        if recipient not in self.handlers or is_cut or self.random.random() < self.loss:
            if self.random.random() < 0.1:
                self.late.append((recipient, message))
            self.clock.advance(SHARE_TIMEOUT)
            raise PeerUnavailable("no reply", peer=recipient)
        if self.random.random() < self.loss:
            self.late.append((recipient, message))
        reply = self.handlers[recipient][type(message)](message)
        if isinstance(reply, Failure):
            raise PeerUnavailable(reply.reason, peer=recipient)
        if self.random.random() < self.loss:
            raise PeerUnavailable("the reply was lost", peer=recipient)
        return reply

    def deliver_late(self):
        self.random.shuffle(self.late)
        late, self.late = self.late, []
        for recipient, message in late:
            if recipient in self.handlers:
                self.handlers[recipient][type(message)](message)

    def watch(self, number):
        """Update an entry from the feed of a random instance; a departure must not be undone."""
        if not self.feeds:
            return
        feeds = self.feeds[self.random.choice(list(self.feeds))]
        watcher = InstanceStatement(f"e{number}", 5, 1, READY, "entry", "a", f"e{number}:1")
        reply = feeds.watch(WatchFeed(watcher, "", 0, 0, 0))
        if isinstance(reply, Failure):
            return
        store = self.entries[number]
        for statement in reply.upstreams:
            before = store.find_same(self.upstream)
            store.apply(statement, self.clock.now())
            after = store.find_same(self.upstream)
            if before is not None and before.state in (DRAINING, LEFT):
                assert after.state in (DRAINING, LEFT) or after.born > before.born

    def send_statement(self):
        """Send the upstream's state to a random instance; returns whether it was acknowledged."""
        self.upstream = replace(self.upstream, sequence=self.upstream.sequence + 1)
        if not self.feeds:
            return False
        name = self.random.choice(list(self.feeds))
        if self.random.random() < self.loss:
            self.late.append((name, self.upstream))
            return False
        return self.feeds[name].record_upstream(self.upstream)

    def send_heartbeat(self):
        """Send a heartbeat of the upstream, unless it is leaving."""
        if self.upstream.state == READY:
            self.send_statement()

    def deregister(self):
        """Deregister the upstream by an operator's call; it announces nothing itself."""
        if not self.feeds:
            return
        feeds = self.feeds[self.random.choice(list(self.feeds))]
        known = feeds.upstreams.find_same(self.upstream)
        if known is None:
            return
        is_current = known.born >= self.upstream.born
        if feeds.deregister_upstream("u"):
            ended = self.last_number if is_current else known.born
            self.acknowledged = max(self.acknowledged, ended)
        if is_current:
            self.upstream = replace(self.upstream, state=LEFT)

    @property
    def last_number(self):
        """The highest number that the present incarnation of the upstream can have."""
        return self.upstream.born + START_INTERVAL - 1

    def deliver_departure_of_earlier_start(self):
        """Deliver a departure that names no start while the upstream runs, and goes on."""
        if self.feeds and self.upstream.state == READY and self.upstream.born > BORN:
            self.feeds[self.random.choice(list(self.feeds))].deregister_upstream("u")
            self.is_doubted = True

    def send_odd_statement(self):
        """Send what another writer states under the upstream's name, for a service of its own."""
        if self.feeds:
            odd = replace(
                self.upstream,
                service="nowhere",
                born=self.upstream.born + self.random.choice([-50, 0, 50, 5 * START_INTERVAL]),
                sequence=self.random.randint(0, 50),
                state=self.random.choice([READY, DRAINING]),
            )
            self.feeds[self.random.choice(list(self.feeds))].record_upstream(odd)

    def announce_departure(self):
        """Announce the upstream's departure until it is acknowledged, in four attempts at most."""
        self.upstream = replace(self.upstream, state=self.random.choice([DRAINING, LEFT]))
        for _ in range(4):
            if self.send_statement():
                self.acknowledged = max(self.acknowledged, self.last_number)
                return

    def heal(self):
        """Restore all instances and connections, and wait for a few reports."""
        self.cut.clear()
        self.has_leader = True
        for name in CONTROL:
            if name not in self.feeds:
                self.start(name)
        for name in CONTROL:
            self.apply(name, len(self.log))
        self.deliver_late()
        for _ in range(3):
            self.clock.advance(REPORT_PERIOD)
            for feeds in self.feeds.values():
                feeds.maintain()
            run_pending_greenlets()

    def check_serving(self):
        """Check that all instances know a serving upstream soon after its next heartbeat."""
        if self.upstream.state != READY:
            return
        if self.is_doubted:
            self.send_doubted_heartbeats()
        self.send_statement()
        run_pending_greenlets()
        held = [feeds.upstreams.find_same(self.upstream) for feeds in self.feeds.values()]
        assert {item.state for item in held if item is not None} == {READY}, held
        assert None not in held

    def send_doubted_heartbeats(self):
        """Send heartbeats to one instance, as upstreams do while they are acknowledged."""
        heard_by = self.feeds[self.random.choice(list(self.feeds))]
        for _ in range(DOUBTED_HEARTBEATS):
            self.upstream = replace(self.upstream, sequence=self.upstream.sequence + 1)
            assert heard_by.record_upstream(self.upstream)
            self.clock.advance(HEARTBEAT_PERIOD)
            for name, feeds in self.feeds.items():
                self.apply(name, len(self.log))
                feeds.maintain()
            run_pending_greenlets()

    def check_departures(self):
        for name, feeds in self.feeds.items():
            known = feeds.upstreams.find_same(self.upstream)
            assert (
                known is None or known.state != READY or known.born > self.acknowledged
            ), f"{name} still feeds {known}, whose departure was acknowledged"


def run_pending_greenlets():
    for _ in range(6):
        gevent.sleep(0)


def run_random_event(simulation):
    """Simulate one random event."""
    random = simulation.random
    name = random.choice(CONTROL)
    running = len(simulation.feeds)
    simple_events = {
        "beat": simulation.send_heartbeat,
        "leave": simulation.announce_departure,
        "delete": simulation.deregister,
        "late delete": simulation.deliver_departure_of_earlier_start,
        "odd": simulation.send_odd_statement,
        "late": simulation.deliver_late,
    }
    match random.choices(list(EVENT_WEIGHTS), list(EVENT_WEIGHTS.values()))[0]:
        case event if event in simple_events:
            simple_events[event]()
        case "watch":
            simulation.watch(random.randrange(len(simulation.entries)))
        case "return":
            if simulation.upstream.state != READY:
                born = simulation.upstream.born + START_INTERVAL
                simulation.upstream = replace(
                    simulation.upstream, born=born, sequence=1, state=READY
                )
                simulation.is_doubted = False
        case "stop":
            # The platform specifies that one instance, with its disk, may be lost at a time.
            if running == len(CONTROL):
                simulation.stop(name, loses_disk=random.random() < 0.5)
        case "start":
            if name not in simulation.feeds:
                simulation.start(name)
        case "cut":
            simulation.cut.add(frozenset(random.sample(CONTROL, 2)))
        case "join":
            simulation.cut.clear()
        case "lose leader":
            simulation.has_leader = False
        case "elect":
            simulation.has_leader = True
        case "maintain":
            for feeds in simulation.feeds.values():
                feeds.maintain()
        case "heal":
            loss, simulation.loss = simulation.loss, 0.0
            simulation.heal()
            simulation.check_departures()
            simulation.check_serving()
            simulation.loss = loss
        case "apply":
            if name in simulation.feeds:
                simulation.apply(
                    name, random.randint(simulation.applied[name], len(simulation.log))
                )
    run_pending_greenlets()
    simulation.clock.advance(random.choice([0.0, 10.0, 200.0, 1_000.0]))


@pinned_seed(SCHEDULE_SEED)
@settings(
    max_examples=SCHEDULES,
    deadline=None,
    derandomize=True,
    suppress_health_check=[HealthCheck.too_slow],
)
@given(seed=st.integers(0, 2**32), loss=st.sampled_from([0.0, 0.1, 0.3, 0.5]))
def test_an_acknowledged_departure_is_never_undone(seed, loss):
    real_sleep = gevent.sleep
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(feeds_module.gevent, "sleep", lambda _: real_sleep(0))
        simulation = Simulation(seed, loss)
        for _ in range(EVENTS):
            run_random_event(simulation)
        simulation.loss = 0.0
        simulation.heal()
        simulation.check_departures()
        simulation.check_serving()
