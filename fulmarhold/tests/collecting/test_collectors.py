"""Which collectors an entry uses, and when it does without."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import gevent
import gevent.event
import pytest

from fulmarhold.clock import Clock
from fulmarhold.collecting.collectors import Collectors, rank_collectors
from fulmarhold.collecting.messages import CollectedParts, CollectParts
from fulmarhold.fleet.ports import PortAllocator
from fulmarhold.membership.statements import READY, InstanceStatement
from fulmarhold.observe.counters import Counters
from fulmarhold.routing.replica import PROBE_PERIOD, UNRESPONSIVE_AFTER
from fulmarhold.wire.server import MessageServer

REQUEST = CollectParts("id", "GET", "/", (), b"", ("i-1",), 5, 400.0, 80.0, True)
REPLY = CollectedParts(((0, "stamp", 4),), b"r" * 16, (), True)
WAIT_SECONDS = 5.0


def entry(name, data_centre, address="127.0.0.1", **fields):
    return InstanceStatement(name, 1, 1, READY, "entry", data_centre, f"{address}:80", **fields)


OWN = entry("own", "a")


def test_only_entries_of_other_data_centres_collect():
    entries = [OWN, entry("a2", "a"), entry("b1", "b"), entry("c1", "c")]
    assert {item.name for item in rank_collectors(entries, OWN)} == {"b1", "c1"}


def test_work_spreads_over_a_data_centre_and_moves_little_when_an_entry_leaves():
    entries = [entry(f"b{n}", "b") for n in range(5)]
    askers = [entry(f"a{n}", "a") for n in range(200)]
    first = {asker.name: rank_collectors(entries, asker)[0].name for asker in askers}
    loads = Counter(first.values())
    assert len(loads) == 5 and max(loads.values()) < 2 * 200 / 5
    left = [item for item in entries if item.name != "b0"]
    moved = [asker for asker in askers if rank_collectors(left, asker)[0].name != first[asker.name]]
    assert len(moved) == loads["b0"]


class Receiver:
    def __init__(self):
        self.values, self.reasons = [], []
        self.ended = gevent.event.Event()

    def replied(self, value):
        self.values.append(value)
        self.ended.set()
        return False

    def lost(self, reason):
        self.reasons.append(reason)
        self.ended.set()


class ServedCollection:
    def cancel(self, *, keep_work):
        pass


class ManualClock(Clock):
    """A clock that the test moves on."""

    def __init__(self):
        super().__init__()
        self.offset = 0.0

    def now(self):
        return super().now() + self.offset


class Fixture:
    """Two collectors in `b`, of which each replies or keeps silent."""

    def __init__(self):
        self.port = int(PortAllocator().allocate_endpoint().rpartition(":")[2])
        self.clock, self.counters = ManualClock(), Counters()
        self.silent, self.asked, self.servers = set(), [], {}
        self.entries = [entry(f"b{n}", "b", f"127.0.35.{n}") for n in (1, 2)]
        for item in self.entries:
            self.serve(item)
        self.collectors = Collectors(OWN, self.port, self.clock, self.counters)
        self.collectors.update(self.entries)

    def serve(self, item):
        address = item.endpoint.partition(":")[0]
        server = MessageServer(f"{address}:{self.port}", self.counters)

        def open_stream(request, replies):
            self.asked.append(item.name)
            if item.name not in self.silent:
                replies.send(REPLY, is_last=True)
            return ServedCollection()

        server.handle_stream(CollectParts, open_stream)
        server.start()
        self.servers[item.name] = server

    def connected(self):
        """Return the collector to use in `b`, once it is connected."""
        with gevent.Timeout(WAIT_SECONDS):
            while not (usable := self.collectors.usable()):
                gevent.sleep(0.005)
        return usable["b"]

    def ask(self, collector):
        receiver = Receiver()
        asked = collector.ask(REQUEST, receiver)
        return asked, receiver

    def stop(self):
        self.collectors.close()
        for server in self.servers.values():
            server.stop()


@pytest.fixture
def fixture():
    made = Fixture()
    yield made
    made.stop()


def test_the_first_query_goes_without_and_connects_the_preferred_collector(fixture):
    assert fixture.collectors.usable() == {}
    preferred = rank_collectors(fixture.entries, OWN)[0].name
    assert fixture.connected().name == preferred
    _, receiver = fixture.ask(fixture.connected())
    assert receiver.ended.wait(WAIT_SECONDS)
    assert receiver.values == [REPLY]
    fixture.collectors.maintain()
    assert fixture.counters.value("peer_bytes", purpose="collect", data_centre="other") > 0


def test_a_silent_collector_is_replaced_and_tried_again(fixture):
    preferred = fixture.connected()
    fixture.silent.add(preferred.name)
    asked, receiver = fixture.ask(preferred)
    fixture.clock.offset += UNRESPONSIVE_AFTER + 1
    other = fixture.connected()
    assert other.name != preferred.name
    asked.cancel(keep_work=True)
    assert fixture.connected() is other
    fixture.clock.offset += PROBE_PERIOD
    assert fixture.connected() is preferred
    fixture.silent.clear()
    _, receiver = fixture.ask(preferred)
    assert receiver.ended.wait(WAIT_SECONDS)
    fixture.clock.offset += UNRESPONSIVE_AFTER + 1
    assert fixture.connected() is preferred


def test_a_collector_whose_requests_are_all_cancelled_early_is_not_taken_for_silent(fixture):
    preferred = fixture.connected()
    fixture.silent.add(preferred.name)
    fixture.ask(preferred)[0].cancel(keep_work=True)
    fixture.clock.offset += UNRESPONSIVE_AFTER + 1
    assert fixture.connected() is preferred


def test_a_collector_that_is_lost_fails_its_requests_and_is_connected_again(fixture):
    preferred = fixture.connected()
    fixture.silent.add(preferred.name)
    _, receiver = fixture.ask(preferred)
    with gevent.Timeout(WAIT_SECONDS):
        while preferred.name not in fixture.asked:
            gevent.sleep(0.005)
    fixture.servers[preferred.name].stop()
    preferred.close()
    assert receiver.ended.wait(WAIT_SECONDS)
    assert len(receiver.reasons) == 1 and not receiver.values
    assert fixture.connected().name != preferred.name


def test_busy_collectors_are_left_to_their_own_callers(fixture):
    preferred = fixture.connected()
    busy = [replace(item, is_busy=item.name == preferred.name) for item in fixture.entries]
    fixture.collectors.update(busy)
    assert fixture.connected().name != preferred.name
    fixture.collectors.update([replace(item, is_busy=True) for item in fixture.entries])
    assert fixture.collectors.usable() == {}


def test_a_collector_that_leaves_completes_what_it_was_asked_for(fixture):
    preferred = fixture.connected()
    _, receiver = fixture.ask(preferred)
    fixture.collectors.update([])
    assert fixture.collectors.usable() == {}
    assert receiver.ended.wait(WAIT_SECONDS)
    assert receiver.values == [REPLY]
    with gevent.Timeout(WAIT_SECONDS):
        while preferred.is_connected:
            gevent.sleep(0.005)
