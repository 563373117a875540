"""JSON client for Fulmarhold's own HTTP interfaces; used by the CLI, the demo and the bench."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from geventhttpclient import HTTPClient

from fulmarhold.clock import SECOND
from fulmarhold.errors import PeerUnavailable

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds

DEFAULT_TIMEOUT: Milliseconds = 5_000.0


@dataclass(frozen=True)
class JsonResponse:
    """The status and the decoded JSON body of a response."""

    status: int
    body: Any


class JsonClient:
    """Sends JSON requests to one endpoint (IP:port) over persistent connections."""

    def __init__(
        self, endpoint: str, timeout: Milliseconds = DEFAULT_TIMEOUT, connections: int = 1
    ) -> None:
        address, _, port = endpoint.rpartition(":")
        self._endpoint = endpoint
        self._client = HTTPClient(
            address,
            port=int(port),
            concurrency=connections,
            connection_timeout=timeout / SECOND,
            network_timeout=timeout / SECOND,
        )

    def request(
        self, method: str, path: str, *, body: Any = None, headers: dict[str, str] | None = None
    ) -> JsonResponse:
        """Send a request; raises `PeerUnavailable` without a usable response."""
        data = json.dumps(body).encode() if body is not None else b""
        try:
            response = self._client.request(method, path, body=data, headers=headers or {})
            return JsonResponse(response.status_code, json.loads(response.read() or b"null"))
        except Exception as error:
            # The library raises its own errors and socket errors; a bad body raises ValueError.
            step = f"{method} {path}"
            raise PeerUnavailable(str(error), step=step, peer=self._endpoint) from error

    def close(self) -> None:
        """Close every connection."""
        self._client.close()


def request_json(
    endpoint: str,
    method: str,
    path: str,
    *,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: Milliseconds = DEFAULT_TIMEOUT,
) -> JsonResponse:
    """Send a request over a new connection; raises `PeerUnavailable` without a usable response."""
    client = JsonClient(endpoint, timeout)
    try:
        return client.request(method, path, body=body, headers=headers)
    finally:
        client.close()
