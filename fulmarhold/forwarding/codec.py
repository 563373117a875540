"""What forwarding needs from the protocol that upstreams speak."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds
    from fulmarhold.forwarding.request import ForwardRequest, Reply
    from fulmarhold.upstreams.protocol import UpstreamResponse


class UpstreamCodec(Protocol):
    """Encodes requests to upstreams and reads their responses."""

    def prepare(self, request: ForwardRequest) -> tuple[bytes, bytes]:
        """Return what goes before and after the headers that differ between upstreams."""

    def encode(self, prepared: tuple[bytes, bytes], upstream: str, left: Milliseconds) -> bytes:
        """Return the bytes for the incarnation `upstream`, which has `left` ms to answer."""

    def read(self, response: UpstreamResponse, request_id: str) -> Reply:
        """Return what a response to the request `request_id` means."""
