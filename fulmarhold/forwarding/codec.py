"""The interface between forwarding and the protocol of the upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds
    from fulmarhold.forwarding.request import ForwardRequest, Reply
    from fulmarhold.upstreams.protocol import UpstreamResponse


class UpstreamCodec(Protocol):
    """Encodes requests to upstreams and interprets their responses."""

    def for_account(self, request: ForwardRequest, account: str) -> ForwardRequest:
        """Return a request as upstreams may see it: without its key, and with its account's name.

        The name is empty for a request that needs no account.
        """

    def prepare(self, request: ForwardRequest) -> tuple[bytes, bytes]:
        """Return the head without the headers that differ between upstreams, and the body."""

    def encode(self, prepared: tuple[bytes, bytes], upstream: str, left: Milliseconds) -> bytes:
        """Return the request bytes for the incarnation `upstream`, which has `left` ms to reply."""

    def read(self, response: UpstreamResponse, request_id: str) -> Reply:
        """Return a response to the request `request_id` with its classification."""
