"""The msgpack streams: typed messages, size limits, malformed input and lost peers."""

from __future__ import annotations

import gevent
import gevent.socket
import msgpack
import pytest
from gevent.event import Event
from gevent.queue import Queue
from gevent.server import StreamServer
from hypothesis import given
from hypothesis import strategies as st

from fulmarhold.consensus.messages import AppendReply
from fulmarhold.control.messages import EntrySync, RosterEntry
from fulmarhold.errors import FulmarholdError, MalformedInput, PeerUnavailable
from fulmarhold.fleet.ports import PortAllocator
from fulmarhold.membership.records import PeerPoll, PeerReply
from fulmarhold.observe.counters import Counters
from fulmarhold.wire.client import CallFailed, Link
from fulmarhold.wire.frames import ONE_WAY, FrameDecoder, encode_frame
from fulmarhold.wire.messages import CancelStream, Done, Failure
from fulmarhold.wire.server import MessageServer

POLL = PeerPoll("entry-1", "source", 3)


@pytest.mark.parametrize(
    "message",
    [
        POLL,
        PeerReply("source", 3, None, "serving", 4),
        EntrySync(RosterEntry("e", "a", "127.0.0.1:1", "127.0.0.1:2"), 1.0, 2, 1, "leaving"),
        AppendReply("c", "a", "b", 1, True, 2, 3.0),
    ],
)
def test_messages_are_decoded_unchanged_when_split_into_bytes(message):
    data = encode_frame(5, message)
    decoder = FrameDecoder()
    decoded = [item for byte in data for item in decoder.feed(bytes([byte]))]
    assert decoded == [(5, message)]


@pytest.mark.parametrize(
    "frame",
    [
        b"\xc1",
        msgpack.packb("text"),
        msgpack.packb([1, 2]),
        msgpack.packb([-1, "PeerPoll", {}]),
        msgpack.packb([True, "PeerPoll", {}]),
        msgpack.packb([1, 7, {}]),
        msgpack.packb([1, "NoSuchMessage", {}]),
        msgpack.packb([1, "PeerPoll", {"sender": "a"}]),
        msgpack.packb([1, "PeerPoll", {"sender": "a", "source": "b", "set_version": "many"}]),
        msgpack.packb([1, "PeerPoll", ["a", "b", 3]]),
        b"\x91" * 5_000,
    ],
    ids=lambda frame: frame[:24].hex(),
)
def test_malformed_frame_is_refused(frame):
    with pytest.raises(MalformedInput):
        list(FrameDecoder().feed(frame))


def test_frame_above_the_size_limit_is_refused():
    with pytest.raises(MalformedInput, match="larger"):
        list(FrameDecoder(max_frame_bytes=100).feed(msgpack.packb([1, "x", "y" * 200])))


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_refused_or_treated_as_incomplete(data):
    try:
        for _, message in FrameDecoder().feed(data):
            assert message is not None
    except MalformedInput:
        pass


@pytest.fixture
def server():
    """A server that replies to polls and fails on syncs, with its counters."""
    counters = Counters()
    server = MessageServer(PortAllocator().allocate_endpoint(), counters)
    server.handle(PeerPoll, lambda poll: PeerReply(poll.source, poll.set_version, None, "left", 0))

    def fail(_):
        raise FulmarholdError("it went wrong", step="testing")

    server.handle(EntrySync, fail)
    server.start()
    yield server, counters
    server.stop()


def test_call_returns_its_reply(server):
    link = Link(server[0]._endpoint)
    assert link.call(POLL, 1_000).set_version == 3
    link.close()


def test_a_link_counts_the_bytes_that_it_sent_and_received(server):
    link = Link(server[0]._endpoint)
    link.call(POLL, 1_000)
    reply = PeerReply(POLL.source, POLL.set_version, None, "left", 0)
    assert link.take_bytes() == len(encode_frame(1, POLL)) + len(encode_frame(1, reply))
    assert link.take_bytes() == 0
    link.close()


def test_failed_handler_is_reported_and_the_server_keeps_serving(server):
    link = Link(server[0]._endpoint)
    with pytest.raises(CallFailed, match="it went wrong"):
        link.call(EntrySync(RosterEntry("e", "a", "x", "y"), 1.0, 2, 1, "left"), 1_000)
    with pytest.raises(CallFailed, match="unexpected_message"):
        link.call(Done(), 1_000)
    assert link.call(POLL, 1_000).set_version == 3
    link.close()


def test_malformed_frame_closes_its_connection_is_counted_and_the_server_keeps_serving(server):
    endpoint = server[0]._endpoint
    address, _, port = endpoint.rpartition(":")
    with gevent.socket.create_connection((address, int(port))) as garbage:
        garbage.sendall(b"\xc1 garbage")
        assert garbage.recv(10) == b""
    assert server[1].value("wire_refusals", reason="malformed_frame") == 1
    link = Link(endpoint)
    assert link.call(POLL, 1_000).set_version == 3
    link.close()


def test_error_of_a_missing_peer_names_step_and_peer():
    link = Link(PortAllocator().allocate_endpoint())
    with pytest.raises(PeerUnavailable) as caught:
        link.call(POLL, 500)
    assert (caught.value.step, caught.value.peer) == ("PeerPoll", link.endpoint)


def test_call_to_a_silent_peer_times_out():
    endpoint = PortAllocator().allocate_endpoint()
    address, _, port = endpoint.rpartition(":")
    with gevent.socket.create_server((address, int(port))):
        link = Link(endpoint)
        with pytest.raises(PeerUnavailable, match="no reply in time"):
            link.call(POLL, 100)
        link.close()


def test_error_of_a_port_in_use_names_the_port(server):
    address, _, port = server[0]._endpoint.rpartition(":")
    with pytest.raises(FulmarholdError, match=f"port {port} of {address} is in use"):
        MessageServer(server[0]._endpoint, Counters()).start()


class Receiver:
    def __init__(self, expected):
        self.values, self.reasons, self.expected = [], [], expected
        self.changed = Event()

    def replied(self, value):
        self.values.append(value)
        self.changed.set()
        return len(self.values) < self.expected

    def lost(self, reason):
        self.reasons.append(reason)
        self.changed.set()


class ServedPoll:
    """The work for a stream; records how it was cancelled."""

    def __init__(self, replies):
        self.replies, self.cancelled = replies, Event()
        self.keep_work = None

    def cancel(self, *, keep_work):
        self.keep_work = keep_work
        self.cancelled.set()


@pytest.fixture
def streams():
    """A server whose streams the test replies to, as they open."""
    opened = Queue()
    server = MessageServer(PortAllocator().allocate_endpoint(), Counters())

    def open_stream(poll, replies):
        served = ServedPoll(replies)
        opened.put(served)
        return served

    server.handle_stream(PeerPoll, open_stream)
    server.start()
    yield server._endpoint, opened
    server.stop()


def test_replies_of_interleaved_streams_reach_their_receivers_in_order(streams):
    endpoint, opened = streams
    link = Link(endpoint)
    receivers = [Receiver(2), Receiver(2)]
    for receiver in receivers:
        link.open_stream(POLL, receiver)
    served = [opened.get(timeout=5), opened.get(timeout=5)]
    for number in (1, 2):
        for index, stream in enumerate(served):
            stream.replies.send(
                PeerReply(f"s{index}", number, None, "left", 0), is_last=number == 2
            )
    for index, receiver in enumerate(receivers):
        while len(receiver.values) < 2:
            receiver.changed.clear()
            assert receiver.changed.wait(5)
        assert [(v.source, v.set_version) for v in receiver.values] == [
            (f"s{index}", 1),
            (f"s{index}", 2),
        ]
    assert not link._waiting
    link.close()


@pytest.mark.parametrize("keep_work", [True, False])
def test_the_server_learns_that_a_stream_is_cancelled(streams, keep_work):
    endpoint, opened = streams
    link = Link(endpoint)
    receiver = Receiver(2)
    stream = link.open_stream(POLL, receiver)
    served = opened.get(timeout=5)
    stream.cancel(keep_work=keep_work)
    assert served.cancelled.wait(5)
    assert served.keep_work is keep_work
    served.replies.send(Done())
    with pytest.raises(CallFailed):
        link.call(Done(), 1_000)
    assert not receiver.values and not receiver.reasons
    link.close()


def test_a_lost_connection_ends_its_streams_on_both_sides(streams):
    endpoint, opened = streams
    link = Link(endpoint)
    receiver = Receiver(2)
    link.open_stream(POLL, receiver)
    served = opened.get(timeout=5)
    link.close()
    assert len(receiver.reasons) == 1
    assert served.cancelled.wait(5)
    assert served.keep_work is False


def test_a_stream_to_a_missing_peer_is_lost():
    receiver = Receiver(1)
    Link(PortAllocator().allocate_endpoint()).open_stream(POLL, receiver)
    assert receiver.changed.wait(5)
    assert len(receiver.reasons) == 1 and not receiver.values


def test_a_stream_that_fails_to_open_is_answered_with_a_failure():
    server = MessageServer(PortAllocator().allocate_endpoint(), Counters())

    def fail(poll, replies):
        raise ValueError("it went wrong")

    server.handle_stream(PeerPoll, fail)
    server.start()
    receiver = Receiver(1)
    link = Link(server._endpoint)
    link.open_stream(POLL, receiver)
    assert receiver.changed.wait(5)
    assert isinstance(receiver.values[0], Failure)
    link.close()
    server.stop()


def test_a_reply_counts_although_the_connection_is_closed_right_after_it():
    endpoint = PortAllocator().allocate_endpoint()
    address, _, port = endpoint.rpartition(":")
    reply = PeerReply(POLL.source, POLL.set_version, None, "left", 0)

    def answer_and_close(connection, _):
        decoder = FrameDecoder()
        for request_id, _ in decoder.feed(connection.recv(1_000)):
            # Both arrive before the reader of the link runs.
            connection.sendall(encode_frame(request_id, reply))
            connection.close()

    server = StreamServer((address, int(port)), answer_and_close)
    server.start()
    link = Link(endpoint)
    assert link.call(POLL, 1_000) == reply
    link.close()
    server.stop()


def test_a_request_that_was_cancelled_before_it_is_read_is_never_started(streams):
    """Guards against stale work: a process that was suspended reads both at once."""
    endpoint, opened = streams
    address, _, port = endpoint.rpartition(":")
    with gevent.socket.create_connection((address, int(port))) as connection:
        connection.sendall(
            encode_frame(1, POLL)
            + encode_frame(ONE_WAY, CancelStream(1, keep_work=True))
            + encode_frame(2, POLL)
        )
        first = opened.get(timeout=5)
        first.replies.send(Done(), is_last=True)
        assert [item[0] for item in FrameDecoder().feed(connection.recv(1_000))] == [2]
    assert opened.empty()
