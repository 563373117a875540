"""When a freshly started entry has asked the others what they know."""

from __future__ import annotations

from typing import TYPE_CHECKING, cast

import gevent
import pytest
from gevent.event import Event

from fulmarhold.clock import Clock
from fulmarhold.configuration import configuration_to_document
from fulmarhold.conftest import small_questionnaire
from fulmarhold.control.messages import RosterEntry, SyncReply
from fulmarhold.fleet.ports import PortSupply
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
EVENT_BOUND_S = 5.0


class Control:
    """Control as far as an entry's sync goes."""

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


class Started:
    """An exchange of entry `a` that was just started; its peer `b` answers when let."""

    def __init__(self):
        ports = PortSupply()
        clock, counters = Clock(), Counters()
        own, peer = (
            RosterEntry(name, "x", ports.take_endpoint(), ports.take_endpoint()) for name in "ab"
        )
        self.answers = Event()
        self.server = MessageServer(peer.peer_endpoint, counters)
        self.server.handle(PeerPoll, self._answer)
        self.running = RunningState("a", clock)
        announced = AnnouncedSet(clock, counters)
        self.directory = Directory(announced, clock)
        self.control = Control((own, peer))
        control = cast("ControlClient", self.control)
        self.exchange = MembershipExchange(
            own, self.running, announced, self.directory, control, clock, counters
        )

    def _answer(self, _):
        self.answers.wait()
        return PeerReply("source", 1, (RECORD,), "serving", 1)

    def await_asked(self):
        with gevent.Timeout(EVENT_BOUND_S):
            while not self.exchange.has_polled_peers:
                gevent.sleep(0.01)


@pytest.fixture
def started():
    started = Started()
    yield started
    started.answers.set()
    started.exchange.stop()
    started.server.stop()


def test_it_is_confirmed_by_control_before_its_peer_answered_and_waits(started):
    started.server.start()
    assert not started.exchange.has_polled_peers
    started.exchange.start()
    assert started.control.synced.wait(EVENT_BOUND_S)
    assert started.running.is_confirmed
    assert not started.exchange.has_polled_peers
    assert started.directory.known() == []
    started.answers.set()
    started.await_asked()
    assert [item.record for item in started.directory.known()] == [RECORD]


def test_a_peer_that_can_not_be_reached_holds_nothing_up(started):
    started.exchange.start()
    started.await_asked()
    assert started.running.is_confirmed


def test_a_new_roster_without_a_configuration_keeps_the_configuration(started):
    started.exchange.start()
    started.await_asked()
    configuration = started.running.configuration
    assert started.running.apply(2, 1, None, started.control.roster[:1])
    assert (started.running.version, started.running.configuration) == (2, configuration)
    assert started.exchange.answer_configuration(ConfigurationRequest(1)).document is None
    assert started.exchange.answer_configuration(ConfigurationRequest(0)).document == DOCUMENT
