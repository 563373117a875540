"""Tests of when a newly started entry has polled the other entries."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import gevent
import pytest
from gevent.event import Event

from fulmarhold.clock import Clock
from fulmarhold.configuration import configuration_to_document
from fulmarhold.conftest import small_questionnaire
from fulmarhold.control.messages import RosterEntry, SyncReply
from fulmarhold.fleet.ports import PortAllocator
from fulmarhold.membership.announced import AnnouncedSet
from fulmarhold.membership.directory import Directory
from fulmarhold.membership.exchange import MembershipExchange
from fulmarhold.membership.records import ConfigurationRequest, PeerPoll, PeerReply, UpstreamRecord
from fulmarhold.membership.running import RunningState
from fulmarhold.observe.counters import Counters
from fulmarhold.questionnaire.derive import derive_configuration
from fulmarhold.wire.server import MessageServer

if TYPE_CHECKING:
    from fulmarhold.control.client import ControlClient

DOCUMENT = configuration_to_document(derive_configuration(small_questionnaire()))
RECORD = UpstreamRecord("s", 0, "l", 4, (1,), "127.0.0.1:9", 5, 1, 4, 10, "serving")
EVENT_TIMEOUT_S = 5.0


class FakeControl:
    """A control client that only answers the syncs of an entry."""

    def __init__(self, roster):
        self.roster = roster
        self.synced = Event()

    def call(self, request, _):
        if request.version == 1:
            self.synced.set()
            return SyncReply(1, 1, None, None)
        return SyncReply(1, 1, DOCUMENT, self.roster)

    def close(self):
        pass


class StartedExchange:
    """The exchange of a new entry `a`; its peer `b` replies once `may_reply` is set."""

    def __init__(self):
        ports = PortAllocator()
        clock, counters = Clock(), Counters()
        own, peer = (
            RosterEntry(name, "x", ports.allocate_endpoint(), ports.allocate_endpoint())
            for name in "ab"
        )
        self.may_reply = Event()
        self.server = MessageServer(peer.peer_endpoint, counters)
        self.server.handle(PeerPoll, self._answer_poll)
        self.running = RunningState("a", clock)
        announced = AnnouncedSet(clock, counters)
        self.directory = Directory(announced, clock)
        self.control = FakeControl((own, peer))
        control = cast("ControlClient", self.control)
        self.exchange = MembershipExchange(
            own, self.running, announced, self.directory, control, clock, counters
        )

    def _answer_poll(self, _):
        self.may_reply.wait()
        return PeerReply("source", 1, (RECORD,), "serving", 1)

    def await_polled(self):
        with gevent.Timeout(EVENT_TIMEOUT_S):
            while not self.exchange.has_polled_peers:
                gevent.sleep(0.01)


@pytest.fixture
def started():
    started = StartedExchange()
    yield started
    started.may_reply.set()
    started.exchange.stop()
    started.server.stop()


def test_confirmation_by_control_does_not_end_the_wait_for_a_peer(started):
    started.server.start()
    assert not started.exchange.has_polled_peers
    started.exchange.start()
    assert started.control.synced.wait(EVENT_TIMEOUT_S)
    assert started.running.is_confirmed
    assert not started.exchange.has_polled_peers
    assert started.directory.known() == []
    started.may_reply.set()
    started.await_polled()
    assert [item.record for item in started.directory.known()] == [RECORD]


def test_an_unreachable_peer_does_not_delay_the_start(started):
    started.exchange.start()
    started.await_polled()
    assert started.running.is_confirmed


def test_a_new_roster_without_a_configuration_keeps_the_configuration(started):
    started.exchange.start()
    started.await_polled()
    configuration = started.running.configuration
    assert started.running.apply(2, 1, None, started.control.roster[:1])
    assert (started.running.version, started.running.configuration) == (2, configuration)
    assert started.exchange.answer_configuration(ConfigurationRequest(1)).document is None
    assert started.exchange.answer_configuration(ConfigurationRequest(0)).document == DOCUMENT
