"""Responses of upstreams with arbitrary content, received in pieces of any size."""

from __future__ import annotations

import itertools

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarhold.errors import MalformedInput
from fulmarhold.forwarding.records import greatest_records
from fulmarhold.forwarding.request import Verdict
from fulmarhold.platform.headers import PlatformCodec
from fulmarhold.upstreams.protocol import ResponseReader

CASES = 1_000
HEAD = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\nKeep-Alive: timeout=5\r\n\r\n"
WHOLE = HEAD + b"b" * 20
header_text = st.text(st.characters(min_codepoint=32, max_codepoint=255, exclude_characters="\x7f"))


def read(pieces):
    """Return the response that the pieces form, or `None` if they form none."""
    reader = ResponseReader()
    try:
        for piece in pieces:
            reader.feed(piece)
            if reader.is_complete:
                return reader.take()
    except MalformedInput:
        return None
    return reader.take() if reader.end_of_stream() else None


def split_at(data, cuts):
    edges = sorted({0, len(data), *(cut % (len(data) + 1) for cut in cuts)})
    return [data[start:end] for start, end in itertools.pairwise(edges)]


@settings(max_examples=CASES, deadline=None)
@given(st.binary(max_size=300), st.lists(st.integers(0, 300), max_size=4))
def test_any_bytes_make_a_response_or_none(data, cuts):
    response = read(split_at(data, cuts))
    assert response is None or isinstance(response.body, bytes)


@settings(max_examples=CASES, deadline=None)
@given(st.lists(st.integers(0, 300), max_size=8))
def test_a_response_is_the_same_however_it_is_split(cuts):
    response = read(split_at(WHOLE, cuts))
    assert (response.status, response.body, response.keep_alive) == (200, b"b" * 20, 5_000.0)


@settings(max_examples=CASES, deadline=None)
@given(st.integers(0, len(WHOLE) - 1), st.integers(0, 255), st.integers(0, len(WHOLE)))
def test_a_response_cut_short_or_changed_is_never_taken_for_a_longer_one(position, byte, end):
    changed = bytearray(WHOLE)
    changed[position] = byte
    response = read([bytes(changed[:end])])
    assert response is None or len(response.body) <= max(0, end - len(HEAD) + 64)


@settings(max_examples=CASES, deadline=None)
@given(
    st.integers(100, 599),
    st.dictionaries(
        st.sampled_from(
            ["X-Fulmarhold-Request-Id", "Connection", "Content-Encoding", "Retry-After", "A"]
        )
        | st.text("abcX-", min_size=1, max_size=6),
        header_text,
        max_size=5,
    ),
    st.binary(max_size=100),
)
def test_any_response_is_classified(status, headers, body):
    lines = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
    head = f"HTTP/1.1 {status} X\r\n{lines}Content-Length: {len(body)}\r\n\r\n".encode("latin-1")
    response = read([head + body])
    if response is not None:
        reply = PlatformCodec().read(response, "id")
        assert isinstance(reply.verdict, Verdict)
        assert len(greatest_records([reply.body], 5)) % 16 == 0


CHUNKED = (
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nKeep-Alive: timeout=5\r\n\r\n"
    b"10;a=b\r\n" + b"b" * 16 + b"\r\n4\r\nbbbb\r\n0\r\nX-Trailer: 1\r\n\r\n"
)
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
pieces_of_streams = st.lists(
    st.sampled_from([WHOLE, CHUNKED, INTERIM, HEAD, b"\r\n", b"HTTP/1.1 204 No Content\r\n\r\n"])
    | st.binary(max_size=12),
    min_size=1,
    max_size=4,
).map(b"".join)


def read_first(pieces):
    """Return status, fields and body of the first response, "malformed", or `None` without one."""
    reader = ResponseReader()
    try:
        for piece in pieces:
            reader.feed(piece)
            if reader.is_complete:
                break
    except MalformedInput:
        return "malformed"
    if not reader.is_complete:
        return None
    response = reader.take()
    return response.status, response.headers, response.body


@settings(max_examples=CASES, deadline=None)
@given(pieces_of_streams, st.lists(st.integers(0, 300), max_size=6))
def test_the_first_response_of_any_stream_does_not_depend_on_the_splits(data, cuts):
    whole, split = read_first([data]), read_first(split_at(data, cuts))
    assert whole == split
    assert whole == read_first([data[index : index + 1] for index in range(len(data))])


@settings(max_examples=CASES, deadline=None)
@given(st.lists(st.sampled_from([WHOLE, CHUNKED]), max_size=3), st.lists(st.integers(0, 300)))
def test_a_reader_keeps_nothing_of_earlier_responses(earlier, cuts):
    reader = ResponseReader()
    for response in (*earlier, WHOLE):
        for piece in split_at(response, cuts):
            reader.feed(piece)
        assert reader.is_complete
        taken = reader.take()
        assert (taken.status, taken.body, taken.keep_open) == (200, b"b" * 20, True)
        assert not reader.is_complete and not reader.end_of_stream()
