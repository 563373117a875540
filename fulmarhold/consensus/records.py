"""The record format of the files in the data folder, with checksums of length and payload.

An incomplete record at the end of a file, as a crash leaves it, is dropped: it was never
acknowledged. Any other checksum mismatch is an error that names the file and the offset.
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
MAX_RECORD_BYTES = 64 * 1024 * 1024


class CorruptFile(FulmarholdError):
    """Bytes of a file that were once synced no longer match their checksum or are missing."""

    def __init__(self, path: Path, offset: int, what: str) -> None:
        super().__init__(f"{path} is corrupt at offset {offset}: {what}", step="reading records")
        self.path = path
        self.offset = offset


@dataclass(frozen=True)
class Records:
    """The values of a file's complete records, and the offset of the end of the last one."""

    values: tuple[Any, ...]
    length: int


def encode_record(value: Any) -> bytes:
    """Encode one record; raises `FulmarholdError` if it is larger than `MAX_RECORD_BYTES`."""
    payload = msgpack.packb(value)
    if len(payload) > MAX_RECORD_BYTES:
        raise FulmarholdError(
            f"a record of {len(payload)} bytes exceeds the limit of {MAX_RECORD_BYTES}",
            step="writing",
        )
    length = len(payload)
    return (
        HEADER.pack(MAGIC, length, _length_checksum(length), _payload_checksum(payload)) + payload
    )


def decode_records(path: Path, data: bytes) -> Records:
    """Decode the records of a file; raises `CorruptFile` unless only the last is incomplete."""
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
    """Return the end of the record at `offset`, or `None` for an incomplete tail.

    Zeros up to the end of the file, which a crash can leave, count as incomplete too.
    """
    rest = len(data) - offset
    if rest < HEADER.size or not data[offset:].strip(b"\0"):
        return None
    magic, length, length_checksum, payload_checksum = HEADER.unpack_from(data, offset)
    if magic != MAGIC or length_checksum != _length_checksum(length) or length > MAX_RECORD_BYTES:
        raise CorruptFile(path, offset, "the record header is invalid")
    end = offset + HEADER.size + length
    if end > len(data):
        return None
    payload = data[offset + HEADER.size : end]
    if payload_checksum == _payload_checksum(payload):
        return end
    if end == len(data) and payload.endswith(b"\0"):
        return None
    raise CorruptFile(path, offset, "the payload does not match its checksum")


def _length_checksum(length: int) -> int:
    return int(xxhash.xxh32_intdigest(LENGTH.pack(length)))


def _payload_checksum(payload: bytes) -> int:
    return int(xxhash.xxh3_64_intdigest(payload))
