"""The stop of a message server: what is answered is sent, and open requests get a reply."""

from __future__ import annotations

import time

import gevent
import pytest
from gevent.event import Event

from fulmarhold.fleet.ports import PortAllocator
from fulmarhold.membership.records import PeerPoll, PeerReply
from fulmarhold.observe.counters import Counters
from fulmarhold.wire.client import CallFailed, Link
from fulmarhold.wire.messages import Done
from fulmarhold.wire.server import MessageServer

POLL = PeerPoll("entry-1", "source", 3)
TIMEOUT_SECONDS = 5.0
# Far more than the buffers of a loopback connection hold.
LARGE_SOURCE = "x" * 12_000_000


class Served:
    """A server whose handler and streams wait for the test."""

    def __init__(self):
        self.may_reply, self.started = Event(), Event()
        self.source = "s"
        self.replies = None
        self.server = MessageServer(PortAllocator().allocate_endpoint(), Counters())
        self.server.handle(PeerPoll, self._poll)
        self.server.handle_stream(Done, self._open)
        self.server.start()
        self.link = Link(self.server._endpoint)

    def _poll(self, poll):
        self.started.set()
        self.may_reply.wait()
        return PeerReply(self.source, poll.set_version, None, "left", 0)

    def _open(self, _, replies):
        self.replies = replies
        self.started.set()
        return self

    def cancel(self, *, keep_work):
        """Do nothing: the test replies."""


class Receiver:
    """Records the replies of a stream and its loss."""

    def __init__(self):
        self.values, self.reasons, self.changed = [], [], Event()

    def replied(self, value):
        self.values.append(value)
        self.changed.set()
        return False

    def lost(self, reason):
        self.reasons.append(reason)
        self.changed.set()


@pytest.fixture
def served():
    running = Served()
    yield running
    running.may_reply.set()
    running.link.close()
    running.server.stop(0)


# Guards against calls of other instances that are cut although their reply was about to be sent.
def test_a_call_that_ends_during_the_stop_gets_its_reply(served):
    call = gevent.spawn(served.link.call, POLL, 5_000)
    served.started.wait(TIMEOUT_SECONDS)
    stop = gevent.spawn(served.server.stop, 2_000)
    gevent.sleep(0.02)
    served.may_reply.set()
    assert call.get(timeout=TIMEOUT_SECONDS).set_version == 3
    stop.get(timeout=TIMEOUT_SECONDS)


def test_a_call_that_outlasts_the_stop_gets_a_failure_that_names_it(served):
    call = gevent.spawn(served.link.call, POLL, 5_000)
    served.started.wait(TIMEOUT_SECONDS)
    started_at = time.monotonic()
    served.server.stop(50)
    with pytest.raises(CallFailed, match="stopping"):
        call.get(timeout=TIMEOUT_SECONDS)
    assert time.monotonic() - started_at < TIMEOUT_SECONDS / 2


def test_a_call_that_arrives_during_the_stop_is_refused_at_once(served):
    call = gevent.spawn(served.link.call, POLL, 5_000)
    served.started.wait(TIMEOUT_SECONDS)
    stop = gevent.spawn(served.server.stop, 2_000)
    gevent.sleep(0.02)
    with pytest.raises(CallFailed, match="stopping"):
        served.link.call(POLL, 5_000)
    served.may_reply.set()
    assert call.get(timeout=TIMEOUT_SECONDS).set_version == 3
    stop.get(timeout=TIMEOUT_SECONDS)


# Guards against a reply that counts as sent while it is still being written.
@pytest.mark.parametrize("is_stream", [True, False])
def test_a_reply_that_is_being_written_is_sent_in_full(served, is_stream):
    served.source = LARGE_SOURCE
    served.may_reply.set()
    receiver = Receiver()
    if is_stream:
        served.link.open_stream(Done(), receiver)
        served.started.wait(TIMEOUT_SECONDS)
        served.replies.send(PeerReply(LARGE_SOURCE, 3, None, "left", 0), is_last=True)
        served.server.stop(2_000)
        assert receiver.changed.wait(TIMEOUT_SECONDS)
        assert [item.set_version for item in receiver.values] == [3]
    else:
        call = gevent.spawn(served.link.call, POLL, 5_000)
        served.started.wait(TIMEOUT_SECONDS)
        served.server.stop(2_000)
        assert call.get(timeout=TIMEOUT_SECONDS).set_version == 3
