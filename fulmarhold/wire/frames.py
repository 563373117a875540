"""Frames of the msgpack streams: `[request id, tag, fields]`, limited in size."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgpack

from fulmarhold.errors import MalformedInput
from fulmarhold.wire.messages import from_values, to_values

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_FRAME_BYTES = 64 * 1024 * 1024
# Far above the statements of a fleet. The unpacker reserves space for as many as are announced.
MAX_ITEMS = 1_000_000
ONE_WAY = 0


def encode_frame(request_id: int, value: Any) -> bytes:
    """Encode a message as one frame; raises `MalformedInput` for values that have no encoding."""
    try:
        packed: bytes = msgpack.packb([request_id, *to_values(value)])
    except (OverflowError, ValueError, RecursionError) as error:
        name = type(value).__name__
        raise MalformedInput(f"{name} can't be encoded: {error!s:.200}", step="encoding") from error
    return packed


class FrameDecoder:
    """Decodes the frames of one connection.

    >>> decoder = FrameDecoder()
    >>> from fulmarhold.wire.messages import Done
    >>> list(decoder.feed(encode_frame(7, Done())))
    [(7, Done())]
    """

    def __init__(self, max_frame_bytes: int = MAX_FRAME_BYTES) -> None:
        self._max_frame_bytes = max_frame_bytes
        # Only there while a frame is incomplete: it takes 44 KB, and most connections are idle.
        self._unpacker: msgpack.Unpacker | None = None
        self._received = 0

    @property
    def has_partial_frame(self) -> bool:
        """Whether the start of a frame is held until the rest of it arrives."""
        return self._unpacker is not None

    def feed(self, data: bytes) -> Iterator[tuple[int, Any]]:
        """Yield the request id and the message of each complete frame.

        Raises `MalformedInput` for a frame that is too large or is not a known message.
        """
        unpacker = self._unpacker or self._make_unpacker()
        self._received += len(data)
        decoded = 0
        try:
            unpacker.feed(data)
            for frame in unpacker:
                decoded = unpacker.tell()
                yield _parse_frame(frame)
        except msgpack.BufferFull:
            raise MalformedInput("frame is larger than allowed", step="decoding") from None
        except (msgpack.UnpackException, ValueError, RecursionError) as error:
            raise MalformedInput(f"not a msgpack frame: {error}", step="decoding") from error
        if decoded == self._received:
            self._unpacker = None

    def _make_unpacker(self) -> msgpack.Unpacker:
        self._received = 0
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=self._max_frame_bytes,
            max_array_len=min(MAX_ITEMS, self._max_frame_bytes),
            max_map_len=min(MAX_ITEMS, self._max_frame_bytes),
        )
        return self._unpacker


def _parse_frame(frame: Any) -> tuple[int, Any]:
    if not (isinstance(frame, list) and len(frame) == 3):
        raise MalformedInput("a frame must hold a request id, a tag and fields", step="decoding")
    request_id = frame[0]
    if type(request_id) is not int or request_id < 0:
        raise MalformedInput("the request id must be a non-negative integer", step="decoding")
    return request_id, from_values(frame[1:])
