"""Records of the files under the data folder, each with a checksum over header and payload.

A record that a crash cut short at the end of a file is dropped, since it was never acknowledged.
Anything else that does not check is an error that names the file and the offset.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgpack
import xxhash

from fulmarhold.errors import FulmarholdError

if TYPE_CHECKING:
    from pathlib import Path

MAGIC = b"FHR1"
HEADER = struct.Struct(">4sIIQ")
LENGTH = struct.Struct(">I")
LARGEST_RECORD_BYTES = 64 * 1024 * 1024


class CorruptFile(FulmarholdError):
    """A file holds bytes that were synced once and do not check any more."""

    def __init__(self, path: Path, offset: int, what: str) -> None:
        super().__init__(f"{path} is corrupt at offset {offset}: {what}", step="reading records")
        self.path = path
        self.offset = offset


@dataclass(frozen=True)
class Records:
    """The values of a file's whole records, and the length of the file up to their end."""

    values: tuple[Any, ...]
    length: int


def encode_record(value: Any) -> bytes:
    """Return the bytes of one record; raises `FulmarholdError` above the size bound."""
    payload = msgpack.packb(value)
    if len(payload) > LARGEST_RECORD_BYTES:
        raise FulmarholdError(
            f"a record of {len(payload)} bytes is above {LARGEST_RECORD_BYTES}", step="writing"
        )
    length = len(payload)
    return HEADER.pack(MAGIC, length, _length_check(length), _payload_check(payload)) + payload


def decode_records(path: Path, data: bytes) -> Records:
    """Return the records of a file's bytes; raises `CorruptFile` unless only the end is torn."""
    values: list[Any] = []
    offset = 0
    while offset < len(data):
        end = _record_end(path, data, offset)
        if end is None:
            break
        values.append(msgpack.unpackb(data[offset + HEADER.size : end]))
        offset = end
    return Records(tuple(values), offset)


def _record_end(path: Path, data: bytes, offset: int) -> int | None:
    """Return the offset after the record at `offset`, or `None` where a torn tail begins."""
    rest = len(data) - offset
    if rest < HEADER.size or not data[offset:].strip(b"\0"):
        return None
    magic, length, length_check, payload_check = HEADER.unpack_from(data, offset)
    if magic != MAGIC or length_check != _length_check(length) or length > LARGEST_RECORD_BYTES:
        raise CorruptFile(path, offset, "the record header does not check")
    end = offset + HEADER.size + length
    if end > len(data):
        return None
    payload = data[offset + HEADER.size : end]
    if payload_check == _payload_check(payload):
        return end
    if end == len(data) and payload.endswith(b"\0"):
        return None
    raise CorruptFile(path, offset, "the record payload does not check")


def _length_check(length: int) -> int:
    return int(xxhash.xxh32_intdigest(LENGTH.pack(length)))


def _payload_check(payload: bytes) -> int:
    return int(xxhash.xxh3_64_intdigest(payload))
