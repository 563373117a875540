"""Decoding of messages whose fields hold arbitrary values."""

from __future__ import annotations

import dataclasses

import msgpack
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fulmarhold.errors import MalformedInput
from fulmarhold.tests.upstreams.test_fuzz import split_at
from fulmarhold.wire import messages
from fulmarhold.wire.frames import FrameDecoder, encode_frame

CASES = 1_000
scalars = (
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**63)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8)
)
values = st.recursive(
    scalars,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=6,
)
message_names = st.sampled_from(sorted(messages.message_types))


@settings(max_examples=CASES, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(message_names, st.data())
def test_arbitrary_fields_are_decoded_or_refused_as_malformed(name, data):
    fields = dataclasses.fields(messages.message_types.find(name))
    content = {field.name: data.draw(values, field.name) for field in fields}
    try:
        frame = msgpack.packb([1, name, content])
    except (OverflowError, ValueError, UnicodeEncodeError):
        return
    try:
        [(_, message)] = FrameDecoder().feed(frame)
    except MalformedInput:
        return
    # An accepted message is valid: it survives encoding and decoding unchanged.
    [(_, decoded)] = FrameDecoder().feed(encode_frame(1, message))
    assert repr(decoded) == repr(message)


@pytest.mark.parametrize("cut", range(1, 40, 3))
def test_split_frame_is_decoded_once_it_is_complete(cut):
    frame = encode_frame(3, messages.Failure("reason", "a longer detail of the failure"))
    decoder = FrameDecoder()
    assert list(decoder.feed(frame[:cut])) == []
    assert list(decoder.feed(frame[cut:])) == [
        (3, messages.Failure("reason", "a longer detail of the failure"))
    ]


# Guards against losing the start of a frame with the unpacker, which exists only while one is open.
@settings(max_examples=CASES, deadline=None)
@given(st.lists(st.text(max_size=12), max_size=5), st.lists(st.integers(0, 200), max_size=6))
def test_frames_are_the_same_however_they_are_split(details, cuts):
    sent = [(number, messages.Failure("r", detail)) for number, detail in enumerate(details)]
    stream = b"".join(encode_frame(*item) for item in sent)
    decoder = FrameDecoder()
    pieces = split_at(stream, cuts)
    assert [item for piece in pieces for item in decoder.feed(piece)] == sent
    assert not decoder.has_partial_frame
