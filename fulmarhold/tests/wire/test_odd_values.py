"""Values that can't be encoded, and frames of unusual shape, concern one call or one connection."""

from __future__ import annotations

from typing import Any

import gevent
import gevent.socket
import msgpack
import pytest

from fulmarhold.errors import FulmarholdError, MalformedInput, PeerUnavailable
from fulmarhold.fleet.ports import PortAllocator
from fulmarhold.membership.feed import AskStatements, JoinCluster, ReadVersion, VersionRead
from fulmarhold.observe.counters import Counters
from fulmarhold.tests.wire.test_wire import Receiver
from fulmarhold.wire.client import CallFailed, Link
from fulmarhold.wire.frames import FrameDecoder, encode_frame
from fulmarhold.wire.messages import Done
from fulmarhold.wire.server import MessageServer

UNENCODABLE = [VersionRead(2**64, b""), JoinCluster("\ud800", "")]


def deep(levels):
    value: Any = None
    for _ in range(levels):
        value = [value]
    return value


@pytest.fixture
def endpoint(request):
    """The endpoint of a server that replies to `AskStatements` with what can't be encoded."""
    server = MessageServer(PortAllocator().allocate_endpoint(), Counters())
    server.handle(Done, lambda message: message)
    server.handle(AskStatements, lambda message: UNENCODABLE[int(message.sender)])
    server.handle_stream(ReadVersion, open_stream)
    server.start()
    yield server._endpoint
    server.stop()


def open_stream(_, replies):
    replies.send(UNENCODABLE[0], is_last=True)


@pytest.fixture
def link(endpoint):
    link = Link(endpoint)
    yield link
    link.close()


@pytest.mark.parametrize("message", UNENCODABLE, ids=ascii)
def test_a_message_that_cannot_be_encoded_is_named(message):
    with pytest.raises(MalformedInput, match=type(message).__name__):
        encode_frame(1, message)


# Guards against control that leaves all entries without a reply because of one value.
@pytest.mark.parametrize("number", range(len(UNENCODABLE)))
def test_a_reply_that_cannot_be_encoded_fails_its_call_at_once(link, number):
    with pytest.raises(CallFailed, match="failed"):
        link.call(AskStatements(str(number)), 2_000)
    assert link.call(Done(), 2_000) == Done()


@pytest.mark.parametrize("message", UNENCODABLE, ids=ascii)
def test_a_request_that_cannot_be_encoded_fails_only_its_own_call(link, message):
    for send in (lambda: link.call(message, 2_000), lambda: link.send(message)):
        with pytest.raises(FulmarholdError):
            send()
    assert link.call(Done(), 2_000) == Done()


def test_a_stream_learns_that_its_request_cannot_be_encoded(link):
    receiver = Receiver(1)
    link.open_stream(UNENCODABLE[0], receiver)
    assert receiver.changed.wait(2)
    assert receiver.reasons and not receiver.values


def test_a_stream_learns_that_a_reply_cannot_be_encoded(link):
    receiver = Receiver(1)
    link.open_stream(ReadVersion(), receiver)
    assert receiver.changed.wait(2)
    assert "failed" in str(receiver.values[0])
    assert link.call(Done(), 2_000) == Done()


# Guards against a process that ends because another instance stated an endpoint that isn't one.
@pytest.mark.parametrize(
    "address",
    ["", "nowhere", "127.0.0.1", "127.0.0.1:", "127.0.0.1:80x", "127.0.0.1:99999", "127.0.0.1:-1",
     "127.0.0.1:" + "9" * 5_000, "::1%lo:9", "\ud800:9", "a\0b:9", "h" * 70_000 + ":9"],
    ids=lambda text: ascii(text)[:24],
)  # fmt: skip
def test_a_call_to_a_bad_endpoint_fails_like_one_to_a_lost_peer(address):
    link = Link(address)
    with pytest.raises(PeerUnavailable):
        link.call(Done(), 2_000)
    with pytest.raises(PeerUnavailable):
        link.connect()
    receiver = Receiver(1)
    link.open_stream(Done(), receiver)
    assert receiver.changed.wait(2)
    assert receiver.reasons


ODD_FRAMES = {
    "deep": b"\x91" * 5_000,
    "deep_maps": b"\x81\xa1a" * 5_000,
    "deep_field": msgpack.packb([1, "AskStatements", {"sender": deep(500)}]),
    "many_items": b"\xdd\x03\xff\xff\xff",
    "many_pairs": b"\xdf\x03\xff\xff\xff",
    "large_id": msgpack.packb([2**64 - 1, "AskStatements", {"sender": 2**64 - 1}]),
    "infinite_id": msgpack.packb([float("inf"), "Done", {}]),
    "not_text": b"\x93\x01\xa4Done\xa1\xff",
    "not_text_tag": b"\x93\x01\xa2\xed\xa0\x80",
    "extension": b"\x93\x01\xa4Done\xc7\x01\x05\x00",
    "timestamp": b"\x93\x01\xa4Done\xc7\x0c\xff" + b"\xff" * 12,
    "key": b"\x93\x01\xa4Done\x81\x90\x01",
    "long_value": msgpack.packb(
        [
            1,
            "WatchFeed",
            {"watcher": {"name": "e", "born": 1, "sequence": 1, "state": "s" * 100_000}},
        ]
    ),
    "long_tag": msgpack.packb([1, "t" * 100_000, {}]),
}


@pytest.mark.parametrize("frame", ODD_FRAMES.values(), ids=ODD_FRAMES)
def test_an_odd_frame_closes_only_its_connection(endpoint, link, frame):
    address, _, port = endpoint.rpartition(":")
    assert link.call(Done(), 2_000) == Done()
    with gevent.Timeout(5):
        odd = gevent.socket.create_connection((address, int(port)))
        odd.sendall(frame)
        assert odd.recv(1) == b""
        odd.close()
    assert link.call(Done(), 2_000) == Done()


@pytest.mark.parametrize("frame", ODD_FRAMES.values(), ids=ODD_FRAMES)
def test_an_odd_frame_is_refused_in_a_short_error(frame):
    with pytest.raises(MalformedInput) as caught:
        list(FrameDecoder().feed(frame))
    assert len(str(caught.value)) < 500
