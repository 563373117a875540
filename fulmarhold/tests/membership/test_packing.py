"""Statements packed into one field: same content, and damaged bytes name no server."""

from __future__ import annotations

import zlib

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from fulmarhold.errors import MalformedInput
from fulmarhold.membership.packing import pack_statements, unpack_statements
from fulmarhold.membership.statements import READY, InstanceStatement, UpstreamStatement

UPSTREAMS = tuple(
    UpstreamStatement(f"i-{n:010x}", n, 1, READY, f"s{n % 42}", f"10.1.0.{n}:80", "a", 3)
    for n in range(126)
)
INSTANCES = tuple(
    InstanceStatement(f"edge-{n}", n, 7, READY, "entry", "a", f"10.0.0.{n}:81") for n in range(191)
)
texts = st.text(max_size=20)
instances = st.builds(
    InstanceStatement, texts, st.integers(0, 2**63), st.integers(0, 2**31),
    st.sampled_from(["ready", "left"]), st.sampled_from(["entry", "control"]), texts, texts,
    st.booleans(),
)  # fmt: skip


def test_the_statements_of_a_large_fleet_take_a_quarter_of_their_bytes_or_less():
    """Load: 191 entries fetch all statements at once after the loss of their source."""
    packed = pack_statements(UPSTREAMS, INSTANCES)
    plain = msgpack.packb([[vars(item) for item in part] for part in (UPSTREAMS, INSTANCES)])
    assert len(packed) < len(plain) / 4
    assert unpack_statements(packed) == (UPSTREAMS, INSTANCES)


@given(st.lists(instances, max_size=20))
def test_unpacked_statements_equal_the_packed_ones(statements):
    assert unpack_statements(pack_statements((), statements)) == ((), tuple(statements))


@given(st.data())
def test_damaged_bytes_are_refused_or_decode_to_statements(data):
    packed = bytearray(pack_statements(UPSTREAMS[:9], ()))
    position = data.draw(st.integers(0, len(packed) - 1))
    packed[position] ^= data.draw(st.integers(1, 255))
    with pytest.raises(MalformedInput):
        unpack_statements(bytes(packed))


@pytest.mark.parametrize(
    "content", [b"", b"no", zlib.compress(msgpack.packb([[{"name": 1}], []])),
                zlib.compress(msgpack.packb(7)), pack_statements(UPSTREAMS, ())[:-1]]
)  # fmt: skip
def test_bytes_that_are_no_statements_are_refused(content):
    with pytest.raises(MalformedInput):
        unpack_statements(content)
