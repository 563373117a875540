"""Requests of one connection while they are read and while they wait, with what they cost."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from fulmarhold.clock import Milliseconds
from fulmarhold.web.messages import RawRequest

if TYPE_CHECKING:
    from fulmarhold.limits.holdings import FixedHolding
    from fulmarhold.limits.progress import Progress

# What a header line costs beside its characters: a pair, two strings and a place in the list.
HEADER_LINE_BYTES = 200
# What a request costs beside its header lines, target and body.
REQUEST_BYTES = 800


def request_owners(caller: str, fields: dict[str, str]) -> tuple[str, ...]:
    """Return in whose shares of the memory a request counts, by its lower-case header names.

    >>> request_owners("10.0.0.1", {"host": "a.example"})
    ('caller 10.0.0.1', 'account a.example')
    """
    return (f"caller {caller}", f"account {fields.get('host', '')}")


@dataclass
class PartialRequest:
    """A request that is still being read."""

    started_at: Milliseconds
    progress: Progress
    held: FixedHolding | None
    target: bytes = b""
    headers: list[tuple[str, str]] = field(default_factory=list)
    # Grows in place: many short chunks must not become as many objects.
    body: bytearray = field(default_factory=bytearray)
    # The length that was announced, if any.
    length: int = 0
    has_head: bool = False
    owners: tuple[str, ...] = ()
    lines: int = 0
    cost: int = REQUEST_BYTES
    trailer_bytes: int = 0


@dataclass(frozen=True)
class ReadRequest:
    """A complete request, whether its connection stays open, and the memory that it takes."""

    request: RawRequest
    keep_open: bool
    held: FixedHolding | None

    def release(self) -> None:
        """Give its memory back; may be called more than once."""
        if self.held is not None:
            self.held.release()
