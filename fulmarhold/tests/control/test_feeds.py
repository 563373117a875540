"""What control instances share: nothing that leaves is lost, and no lost message stays lost."""

from __future__ import annotations

from dataclasses import replace
from types import SimpleNamespace
from typing import Any

import gevent
import pytest

from fulmarhold.clock import ManualClock
from fulmarhold.control.feeds import REPORT_PERIOD, REPORTS_LATE, FeedService
from fulmarhold.control.machine import ControlMachine, encode_command
from fulmarhold.control.statement_file import StatementFile
from fulmarhold.errors import PeerUnavailable
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
from fulmarhold.wire.messages import Failure

BEAT = UpstreamStatement("u", 100, 1, READY, "parts", "10.0.0.1:80", "a", 2)
ENTRY = InstanceStatement("e", 5, 1, STARTING, "entry", "a", "10.0.1.1:80")


class FakeNode:
    """Leads a cluster of one that commits at once, or none at all."""

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


class Peer:
    """The other control instance, as seen through the sharing's links."""

    def __init__(self):
        self.is_up, self.taken = True, []

    def to(self, endpoint):
        return self

    def call(self, request, timeout):
        if not self.is_up:
            raise PeerUnavailable("down")
        if isinstance(request, AskStatements):
            return AllStatements(True, (), ())
        self.taken.append(request)
        return True

    def send(self, message):
        self.taken.append(message)

    def told(self):
        return [item for shared in self.taken for item in getattr(shared, "upstreams", ())]


class Handlers(dict):
    """What a message server would call, by the type of the message."""

    def handle(self, message_type, handler):
        self[message_type] = handler

    def take(self, message):
        return self[type(message)](message)


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def make(tmp_path, clock):
    def build(leads=True, catches_up=True):
        machine, counters = ControlMachine(), Counters()
        own = InstanceStatement("c", 5, 1, READY, "control", "a", "own:1")
        keep = StatementFile(tmp_path, counters)
        node: Any = FakeNode(machine, leads)
        peer: Any = Peer()
        feeds = FeedService(own, node, machine, lambda: (), 1_200.0, keep, peer, clock, counters)
        if catches_up:
            feeds.catch_up()
            settle()
            peer.taken.clear()
        return feeds, peer, machine

    return build


def handlers(feeds):
    filed: Any = Handlers()
    feeds.register(filed)
    return filed


def settle():
    gevent.sleep(0)
    gevent.sleep(0)


def test_a_leaving_upstream_is_in_the_log_and_told_before_it_is_acknowledged(make):
    feeds, peer, machine = make()
    feeds.record_upstream(BEAT)
    assert feeds.record_upstream(replace(BEAT, sequence=2, state=DRAINING))
    assert machine.state.retired == {"u": 100}
    assert peer.told()[-1].state == DRAINING


def test_without_a_log_and_without_a_peer_a_leave_is_not_acknowledged(make):
    feeds, peer, _ = make(leads=False)
    peer.is_up = False
    assert feeds.record_upstream(BEAT)
    assert not feeds.record_upstream(replace(BEAT, sequence=2, state=DRAINING))


def test_a_delete_without_a_drain_before_ends_the_upstream(make):
    feeds, _, machine = make()
    feeds.record_upstream(BEAT)
    assert feeds.deregister_upstream("u")
    assert feeds.upstreams.find("u").state == LEFT and machine.state.retired == {"u": 100}
    assert feeds.deregister_upstream("never-heard-of")


def test_after_a_restart_the_log_keeps_a_late_heartbeat_from_reviving_it(make):
    feeds, _, machine = make()
    machine.apply(encode_command(RetireUpstream("u", 100, 0.0)))
    feeds.record_upstream(replace(BEAT, sequence=9))
    assert feeds.upstreams.find("u").state == DRAINING
    feeds.record_upstream(replace(BEAT, born=200))
    assert feeds.upstreams.find("u").state == READY


def test_what_a_peer_could_not_be_told_is_told_as_it_is_once_it_can_be(make, clock):
    feeds, peer, _ = make()
    peer.is_up = False
    feeds.record_upstream(BEAT)
    feeds.record_upstream(replace(BEAT, sequence=2, state=DRAINING))
    settle()
    peer.is_up = True
    clock.advance(REPORT_PERIOD)
    feeds.maintain()
    settle()
    assert [item.state for item in peer.told()] == [DRAINING]


def test_silence_that_another_instance_claims_is_refuted_by_whoever_heard_more(make):
    feeds, peer, _ = make()
    feeds.record_upstream(replace(BEAT, sequence=20))
    settle()
    peer.taken.clear()
    handlers(feeds).take(ShareStatements((replace(BEAT, sequence=3, state=SILENT),), ()))
    settle()
    assert [(item.state, item.sequence) for item in peer.told()] == [(READY, 20)]


def test_a_watcher_is_answered_with_what_changed_and_nothing_else(make):
    feeds, _, _ = make()
    feeds.record_upstream(BEAT)
    whole = feeds.watch(WatchFeed(ENTRY, "", 0, 0, 0))
    assert isinstance(whole, FeedReply) and whole.is_whole and whole.upstreams == (BEAT,)
    asked = WatchFeed(
        ENTRY, whole.source, whole.upstream_position, whole.instance_position, whole.version
    )
    answer = gevent.spawn(feeds.watch, asked)
    settle()
    assert not answer.ready()
    feeds.record_upstream(replace(BEAT, name="v"))
    assert [item.name for item in answer.get(timeout=5).upstreams] == ["v"]


def test_an_instance_that_is_catching_up_feeds_nobody_but_takes_what_it_is_told(make):
    feeds, _, _ = make(catches_up=False)
    assert isinstance(feeds.watch(WatchFeed(ENTRY, "", 0, 0, 0)), Failure)
    assert feeds.instances.find("e") == ENTRY


def test_upstreams_are_sent_to_a_control_instance_at_home_only_while_it_reports(make, clock):
    feeds, _, _ = make()
    other = InstanceStatement("o", 5, 1, READY, "control", "b", "other:1")
    handlers(feeds).take(ShareStatements((), (other,)))
    assert feeds.control_endpoint_in("a") == "own:1"
    assert feeds.control_endpoint_in("b") is None
    handlers(feeds).take(ReportHeard("other:1", ()))
    assert feeds.control_endpoint_in("b") == "other:1"
    assert feeds.control_endpoint_in("c") is None
    clock.advance(REPORTS_LATE)
    assert feeds.control_endpoint_in("b") is None


def test_what_the_log_says_has_left_ends_though_no_instance_is_left_to_tell_so(make, clock):
    feeds, _, machine = make()
    feeds.record_upstream(BEAT)
    machine.apply(encode_command(RetireUpstream("u", 100, 0.0)))
    clock.advance(REPORT_PERIOD)
    feeds.maintain()
    assert feeds.upstreams.find("u").state == DRAINING


def test_a_drain_is_not_acknowledged_when_fewer_know_it_than_may_be_lost(make):
    feeds, peer, _ = make(leads=False)
    feeds.record_upstream(BEAT)
    assert feeds.record_upstream(replace(BEAT, sequence=2, state=DRAINING))
    peer.is_up = False
    assert not feeds.record_upstream(replace(BEAT, sequence=3, state=DRAINING))
