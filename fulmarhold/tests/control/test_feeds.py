"""Sharing of statements: departures are durable, and undelivered statements are resent."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock

import gevent
import pytest

from fulmarhold.clock import ManualClock
from fulmarhold.control import feeds as feeds_module
from fulmarhold.control.feeds import (
    FEED_PERIOD,
    INSTANCE_BATCH_TIME,
    REPORT_PERIOD,
    REPORT_TIMEOUT,
    FeedService,
)
from fulmarhold.control.machine import ControlMachine, encode_command
from fulmarhold.control.statement_file import StatementFile
from fulmarhold.errors import PeerUnavailable
from fulmarhold.membership.evacuation import Evacuations, SetEvacuation
from fulmarhold.membership.feed import (
    AllStatements,
    AskStatements,
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
    STARTING,
    InstanceStatement,
    UpstreamStatement,
)
from fulmarhold.observe.counters import Counters
from fulmarhold.wire.frames import encode_frame
from fulmarhold.wire.messages import Failure, from_values, to_values

HEARTBEAT = UpstreamStatement("u", 100, 1, READY, "parts", "10.0.0.1:80", "a", 2)
ENTRY = InstanceStatement("e", 5, 1, STARTING, "entry", "a", "10.0.1.1:80")


class FakeNode:
    """A cluster member that leads and commits commands at once, or that knows no leader."""

    is_formed = True

    def __init__(self, machine, leads):
        self._machine, self._leads = machine, leads
        all_members = {"own": "own:1", "other": "other:1"}
        members = SimpleNamespace(all_members=all_members, voters=all_members)
        self.core = SimpleNamespace(is_leader=leads, leader_since=0.0, members=members)
        self.leader_endpoint = "own:1" if leads else None

    def propose(self, data):
        return self._machine.apply(data)

    def confirmed_age(self):
        return 0.0


class FakePeer:
    """The links to the other control instance, which record the messages sent to it."""

    def __init__(self):
        self.is_up, self.received = True, []

    def to(self, endpoint):
        return self

    def call(self, request, timeout):
        if not self.is_up:
            raise PeerUnavailable("down")
        if isinstance(request, AskStatements):
            return AllStatements(True, (), ())
        self.received.append(request)
        return True

    def send(self, message):
        self.received.append(message)

    def received_upstreams(self):
        return [item for shared in self.received for item in getattr(shared, "upstreams", ())]


class Handlers(dict):
    """A fake message server: the registered handlers by message type."""

    def handle(self, message_type, handler):
        self[message_type] = handler

    def dispatch(self, message):
        return self[type(message)](message)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def make_feeds(tmp_path, clock):
    def build(leads=True, catches_up=True):
        machine, counters = ControlMachine(), Counters()
        own = InstanceStatement("c", 5, 1, READY, "control", "a", "own:1")
        statement_file = StatementFile(tmp_path, counters)
        node: Any = FakeNode(machine, leads)
        peer: Any = FakePeer()
        feeds = FeedService(
            own, node, machine, lambda: (), 1_200.0, statement_file, peer, clock, counters
        )
        if catches_up:
            feeds.catch_up()
            run_pending_greenlets()
            peer.received.clear()
        return feeds, peer, machine

    return build


def handlers(feeds):
    registered: Any = Handlers()
    feeds.register(registered)
    return registered


def run_pending_greenlets():
    gevent.sleep(0)
    gevent.sleep(0)


def test_a_departure_is_logged_and_shared_before_it_is_acknowledged(make_feeds):
    feeds, peer, machine = make_feeds()
    feeds.record_upstream(HEARTBEAT)
    assert feeds.record_upstream(replace(HEARTBEAT, sequence=2, state=DRAINING))
    assert machine.state.retired == {"u parts": 100}
    assert peer.received_upstreams()[-1].state == DRAINING


def test_a_departure_that_neither_the_log_nor_a_peer_has_is_not_acknowledged(make_feeds):
    feeds, peer, _ = make_feeds(leads=False)
    peer.is_up = False
    assert feeds.record_upstream(HEARTBEAT)
    assert not feeds.record_upstream(replace(HEARTBEAT, sequence=2, state=DRAINING))


def test_a_deregistration_without_a_drain_before_retires_the_upstream(make_feeds):
    feeds, _, machine = make_feeds()
    feeds.record_upstream(HEARTBEAT)
    assert feeds.deregister_upstream("u")
    assert feeds.upstreams.find("u").state == LEFT and machine.state.retired == {"u parts": 100}
    assert feeds.deregister_upstream("never-heard-of")


def test_a_late_heartbeat_after_a_restart_does_not_revive_a_retired_upstream(make_feeds):
    feeds, _, machine = make_feeds()
    machine.apply(encode_command(RetireUpstream("u", 100, 0.0)))
    feeds.record_upstream(replace(HEARTBEAT, sequence=9))
    assert feeds.upstreams.find("u").state == DRAINING
    feeds.record_upstream(replace(HEARTBEAT, born=200))
    assert feeds.upstreams.find("u").state == READY


def test_a_peer_that_was_unreachable_gets_the_current_statement_once_it_is_back(make_feeds, clock):
    feeds, peer, _ = make_feeds()
    peer.is_up = False
    feeds.record_upstream(HEARTBEAT)
    feeds.record_upstream(replace(HEARTBEAT, sequence=2, state=DRAINING))
    run_pending_greenlets()
    peer.is_up = True
    clock.advance(REPORT_PERIOD)
    feeds.maintain()
    run_pending_greenlets()
    assert [item.state for item in peer.received_upstreams()] == [DRAINING]


def test_an_outdated_report_of_silence_is_answered_with_the_newer_statement(make_feeds):
    feeds, peer, _ = make_feeds()
    feeds.record_upstream(replace(HEARTBEAT, sequence=20))
    run_pending_greenlets()
    peer.received.clear()
    handlers(feeds).dispatch(ShareStatements((replace(HEARTBEAT, sequence=3, state=SILENT),), ()))
    run_pending_greenlets()
    assert [(item.state, item.sequence) for item in peer.received_upstreams()] == [(READY, 20)]


def test_a_watcher_gets_only_what_changed(make_feeds):
    feeds, _, _ = make_feeds()
    feeds.record_upstream(HEARTBEAT)
    whole = feeds.watch(WatchFeed(ENTRY, "", 0, 0, 0))
    assert isinstance(whole, FeedReply) and whole.is_whole and whole.upstreams == (HEARTBEAT,)
    asked = WatchFeed(
        ENTRY, whole.source, whole.upstream_position, whole.instance_position, whole.version
    )
    answer = gevent.spawn(feeds.watch, asked)
    run_pending_greenlets()
    assert not answer.ready()
    feeds.record_upstream(replace(HEARTBEAT, name="v"))
    assert [item.name for item in answer.get(timeout=5).upstreams] == ["v"]


def test_entries_that_start_together_are_told_to_each_other_in_one_reply(make_feeds, clock):
    # Load pattern: 190 entries start within a second, and each follows this feed.
    feeds, _, _ = make_feeds()
    whole = feeds.watch(WatchFeed(ENTRY, "", 0, 0, 0))
    asked = WatchFeed(
        ENTRY, whole.source, whole.upstream_position, whole.instance_position, whole.version
    )
    answer = gevent.spawn(feeds.watch, asked)
    for number in range(190):
        feeds.watch(WatchFeed(replace(ENTRY, name=f"e{number}"), "", 0, 0, 0))
        run_pending_greenlets()
    assert not answer.ready()
    clock.advance(INSTANCE_BATCH_TIME)
    feeds.watch(WatchFeed(replace(ENTRY, name="last"), "", 0, 0, 0))
    assert len(answer.get(timeout=5).statements()[1]) == 191


def test_a_change_of_upstreams_does_not_wait_for_more_changes_of_instances(make_feeds):
    feeds, _, _ = make_feeds()
    whole = feeds.watch(WatchFeed(ENTRY, "", 0, 0, 0))
    asked = WatchFeed(
        ENTRY, whole.source, whole.upstream_position, whole.instance_position, whole.version
    )
    answer = gevent.spawn(feeds.watch, asked)
    feeds.watch(WatchFeed(replace(ENTRY, name="f"), "", 0, 0, 0))
    run_pending_greenlets()
    assert not answer.ready()
    feeds.record_upstream(HEARTBEAT)
    reply = answer.get(timeout=5)
    assert (len(reply.upstreams), len(reply.instances)) == (1, 1)


def test_an_instance_that_is_catching_up_feeds_no_entry_but_records_statements(make_feeds):
    feeds, _, _ = make_feeds(catches_up=False)
    assert isinstance(feeds.watch(WatchFeed(ENTRY, "", 0, 0, 0)), Failure)
    assert feeds.instances.find("e") == ENTRY


def test_upstreams_are_referred_to_a_control_instance_only_while_it_reports(make_feeds, clock):
    feeds, _, _ = make_feeds()
    other = InstanceStatement("o", 5, 1, READY, "control", "b", "other:1")
    handlers(feeds).dispatch(ShareStatements((), (other,)))
    assert feeds.control_endpoint_in("a") == "own:1"
    assert feeds.control_endpoint_in("b") is None
    handlers(feeds).dispatch(ReportHeard("other:1", ()))
    assert feeds.control_endpoint_in("b") == "other:1"
    assert feeds.control_endpoint_in("c") is None
    clock.advance(REPORT_TIMEOUT)
    assert feeds.control_endpoint_in("b") is None


def test_a_retirement_in_the_log_is_applied_though_no_instance_reports_it(make_feeds, clock):
    feeds, _, machine = make_feeds()
    feeds.record_upstream(HEARTBEAT)
    machine.apply(encode_command(RetireUpstream("u", 100, 0.0)))
    clock.advance(REPORT_PERIOD)
    feeds.maintain()
    assert feeds.upstreams.find("u").state == DRAINING


def test_a_drain_is_not_acknowledged_when_it_is_on_too_few_instances(make_feeds):
    feeds, peer, _ = make_feeds(leads=False)
    feeds.record_upstream(HEARTBEAT)
    assert feeds.record_upstream(replace(HEARTBEAT, sequence=2, state=DRAINING))
    peer.is_up = False
    assert not feeds.record_upstream(replace(HEARTBEAT, sequence=3, state=DRAINING))


def whole_feed(feeds, name, *, accepts_packed=True):
    return feeds.watch(WatchFeed(replace(ENTRY, name=name), "", 0, 0, 0, accepts_packed))


def test_entries_that_fetch_all_statements_at_once_share_one_packing(make_feeds, monkeypatch):
    """Load: 191 entries lose their source and fetch the statements of 126 upstreams."""
    feeds, _, _ = make_feeds()
    for number in range(126):
        feeds.record_upstream(replace(HEARTBEAT, name=f"u{number}", address=f"10.0.0.{number}:80"))
    for number in range(191):
        feeds.watch(WatchFeed(replace(ENTRY, name=f"e{number}"), "", 0, 0, 0))
    pack = Mock(side_effect=feeds_module.pack_statements)
    monkeypatch.setattr(feeds_module, "pack_statements", pack)
    replies = [whole_feed(feeds, f"e{number}") for number in range(191)]
    assert pack.call_count == 1
    upstreams, instances = replies[-1].statements()
    assert len(upstreams) == 126 and len(instances) == 192
    assert len(encode_frame(1, replies[-1])) < 12_000


def test_an_entry_of_an_earlier_release_gets_its_statements_unpacked(make_feeds):
    feeds, _, _ = make_feeds()
    for number in range(40):
        feeds.record_upstream(replace(HEARTBEAT, name=f"u{number}", address=f"10.0.0.{number}:80"))
    reply = whole_feed(feeds, "e", accepts_packed=False)
    assert not reply.packed and len(reply.upstreams) == 40
    assert whole_feed(feeds, "e").statements()[0] == reply.upstreams


def test_packed_statements_are_renewed_when_one_changes(make_feeds):
    feeds, _, _ = make_feeds()
    for number in range(40):
        feeds.record_upstream(replace(HEARTBEAT, name=f"u{number}", address=f"10.0.0.{number}:80"))
    assert len(whole_feed(feeds, "e").statements()[0]) == 40
    feeds.deregister_upstream("u7")
    states = [item.state for item in whole_feed(feeds, "e").statements()[0]]
    assert states.count(LEFT) == 1 and len(states) == 40


# Guards against entries that wait out their feed, or its timeout, while their source stops.
def test_open_feeds_end_at_once_when_their_instance_stops(make_feeds):
    feeds, _, _ = make_feeds()
    whole = feeds.watch(WatchFeed(ENTRY, "", 0, 0, 0))
    asked = WatchFeed(
        ENTRY, whole.source, whole.upstream_position, whole.instance_position, whole.version
    )
    answer = gevent.spawn(feeds.watch, asked)
    run_pending_greenlets()
    feeds.stop()
    run_pending_greenlets()
    assert answer.ready() and answer.value == Failure("stopping")
    assert feeds.watch(asked) == Failure("stopping")


# Statements that an earlier release may have kept or passed on, and that can't be used.
ODD_STATEMENTS = {
    "interface_name": {"address": "::1%lo:9"},
    "host_name": {"address": "host.example:9"},
    "port": {"address": "10.0.0.2:99999"},
    "no_port": {"address": "10.0.0.2"},
    "long_address": {"address": "1" * 100_000},
    "surrogate": {"data_centre": "\ud800"},
    "long_service": {"service": "s" * 100_000},
    "born": {"born": 2**64},
    "sequence": {"sequence": 2**200},
    "negative": {"born": -1},
    "slots": {"slots": 10**30},
    "no_slots": {"slots": 0},
    "infinity": {"warm_up": float("inf")},
    "not_a_number": {"warm_up": float("nan")},
    "header": {"name": "u\r\nMore: 1"},
    "surrogate_name": {"name": "\udfff"},
}


# Guards against control that ends when it saves or feeds a statement of an earlier release.
@pytest.mark.parametrize("changes", ODD_STATEMENTS.values(), ids=ODD_STATEMENTS)
def test_a_shared_statement_that_cannot_be_used_is_skipped_and_the_others_hold(
    make_feeds, clock, changes
):
    feeds, peer, _ = make_feeds()
    odd = replace(HEARTBEAT, **{"name": "odd", **changes})
    handlers(feeds).dispatch(ShareStatements((odd, HEARTBEAT), ()))
    assert feeds.upstreams.all() == [HEARTBEAT]
    for number in range(10):
        feeds.record_upstream(replace(HEARTBEAT, name=f"v{number}"))
    clock.advance(REPORT_PERIOD)
    feeds.maintain()
    for message in (whole_feed(feeds, "e"), whole_feed(feeds, "f", accepts_packed=False)):
        assert len(message.statements()[0]) == 11
        assert encode_frame(1, message)
    assert all(encode_frame(1, message) for message in peer.received)


@pytest.mark.parametrize("changes", ODD_STATEMENTS.values(), ids=ODD_STATEMENTS)
def test_a_kept_statement_that_cannot_be_used_is_skipped_and_the_others_hold(
    make_feeds, monkeypatch, changes
):
    odd = replace(HEARTBEAT, **{"name": "odd", **changes})
    monkeypatch.setattr(StatementFile, "load", lambda _: [odd, HEARTBEAT])
    feeds, _, _ = make_feeds()
    assert feeds.upstreams.all() == [HEARTBEAT]


# Guards against one entry's statement that keeps control from answering any other entry.
@pytest.mark.parametrize(
    "changes",
    [
        {"born": 2**64},
        {"born": 2**63, "name": "c"},
        {"sequence": -1},
        {"data_centre": "\ud800"},
        {"name": "n" * 1_000},
        {"endpoint": "e" * 1_000},
    ],
    ids=str,
)
def test_an_instance_whose_statement_cannot_be_used_is_not_fed_to_others(make_feeds, changes):
    feeds, peer, _ = make_feeds()
    odd = replace(ENTRY, **{"name": "odd", **changes})
    feeds.watch(WatchFeed(odd, "", 0, 0, 0))
    handlers(feeds).dispatch(ShareStatements((), (odd,)))
    reply = whole_feed(feeds, "e")
    assert {item.name for item in reply.statements()[1]} == {"c", "e"}
    assert encode_frame(1, reply)
    run_pending_greenlets()
    assert all(encode_frame(1, message) for message in peer.received[1:])


@pytest.mark.parametrize(
    "command", [RetireUpstream("u\n", 1, 0.0), RetireUpstream("u" * 9_999, 1, 0.0)], ids=ascii
)
def test_a_departure_that_cannot_be_used_is_not_logged(make_feeds, command):
    feeds, _, machine = make_feeds()
    assert isinstance(handlers(feeds).dispatch(command), Failure)
    assert machine.state.retired == {}


def evacuate(feeds, machine, data_centre):
    base = machine.state.evacuation_orders
    machine.apply(encode_command(SetEvacuation(data_centre, True, base, 0.0)))
    feeds.on_command_applied()


def next_request(reply, **changes):
    return replace(
        WatchFeed(ENTRY, reply.source, reply.upstream_position, reply.instance_position, 0),
        **changes,
    )


def ask(feeds, request):
    answer = gevent.spawn(feeds.watch, request)
    run_pending_greenlets()
    return answer


def test_an_evacuation_is_fed_at_once_and_only_to_those_that_lack_it(make_feeds, clock):
    feeds, _, machine = make_feeds()
    whole = feeds.watch(WatchFeed(ENTRY, "", 0, 0, 0))
    answer = ask(feeds, next_request(whole))
    assert not answer.ready()
    evacuate(feeds, machine, "a")
    reply = answer.get(timeout=5)
    assert reply.evacuations == Evacuations(1, ("a",))
    assert from_values(to_values(reply)) == reply
    has_it = ask(feeds, next_request(reply, evacuations_version=1))
    assert not has_it.ready()
    clock.advance(FEED_PERIOD)
    feeds._notify()
    assert "evacuations" not in to_values(has_it.get(timeout=5))[1]
    assert feeds.watch(WatchFeed(replace(ENTRY, name="f"), "", 0, 0, 0)).evacuations == (
        Evacuations(1, ("a",))
    )


# Guards against feeds that are answered without pause, since an earlier release has no set; and
# against an entry that never gets it because one reply was lost.
def test_an_entry_that_does_not_take_the_set_over_gets_it_once_a_period(make_feeds, clock):
    feeds, _, machine = make_feeds()
    evacuate(feeds, machine, "a")
    whole = feeds.watch(WatchFeed(ENTRY, "", 0, 0, 0))
    for _ in range(3):
        answer = ask(feeds, next_request(whole))
        assert not answer.ready()
        clock.advance(FEED_PERIOD)
        feeds._notify()
        assert answer.get(timeout=5).evacuations == Evacuations(1, ("a",))
    evacuate(feeds, machine, "b")
    assert ask(feeds, next_request(whole)).get(timeout=5).evacuations.version == 2


# Guards against feeds that grow in deployments that evacuate nothing.
def test_feeds_without_an_evacuation_are_encoded_as_in_an_earlier_release(make_feeds):
    feeds, _, _ = make_feeds()
    request = WatchFeed(ENTRY, "", 0, 0, 0)
    assert list(to_values(request)[1]) == [
        "watcher", "source", "upstream_position", "instance_position", "version",
        "accepts_packed",
    ]  # fmt: skip
    assert list(to_values(feeds.watch(request))[1]) == [
        "source", "is_whole", "confirmed_age", "upstream_position", "instance_position",
        "upstreams", "instances", "version", "configuration", "packed",
    ]  # fmt: skip
