"""Compresses many statements into one field of a reply.

An entry that starts or changes its source gets all statements, and after the loss of a control
instance many entries do so at once, most of them between data centres. The statements repeat field
names, services and addresses, so that they take about a sixth of the bytes when compressed.
"""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, Any

import msgpack
import msgspec

from fulmarhold.errors import MalformedInput
from fulmarhold.membership.statements import InstanceStatement, UpstreamStatement

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarhold.membership.statements import Statement

Statements = tuple[tuple[UpstreamStatement, ...], tuple[InstanceStatement, ...]]

# Fewer statements fit into one or two network packets as they are.
MIN_PACKED_STATEMENTS = 8
COMPRESSION_LEVEL = 1
MAX_UNPACKED_BYTES = 64 * 1024 * 1024


def pack_statements(
    upstreams: Iterable[UpstreamStatement], instances: Iterable[InstanceStatement]
) -> bytes:
    """Return the statements as compressed bytes.

    >>> instance = InstanceStatement("e", 1, 1, "ready", "entry", "a", "10.0.0.1:80")
    >>> unpack_statements(pack_statements((), [instance])) == ((), (instance,))
    True
    """
    values = [_to_values(upstreams), _to_values(instances)]
    return zlib.compress(msgpack.packb(values), COMPRESSION_LEVEL)


def unpack_statements(packed: bytes) -> Statements:
    """Return the statements that were packed; raises `MalformedInput` if the bytes are damaged."""
    try:
        inflater = zlib.decompressobj()
        data = inflater.decompress(packed, MAX_UNPACKED_BYTES)
        if not inflater.eof:
            raise MalformedInput("packed statements are cut off or too large", step="unpacking")
        return msgspec.convert(msgpack.unpackb(data), Statements)
    except (zlib.error, msgpack.UnpackException, msgspec.ValidationError, ValueError) as error:
        raise MalformedInput(f"packed statements: {error}", step="unpacking") from error


def _to_values(statements: Iterable[Statement]) -> Any:
    return [msgspec.to_builtins(item) for item in statements]
