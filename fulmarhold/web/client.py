"""JSON requests to our own HTTP interfaces, for the command line, the demo and the bench."""

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
    """Status and decoded body of a response."""

    status: int
    body: Any


def request_json(
    endpoint: str,
    method: str,
    path: str,
    *,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout: Milliseconds = DEFAULT_TIMEOUT,
) -> JsonResponse:
    """Send one request to `endpoint` (IP:port); raises `PeerUnavailable` without an answer."""
    address, _, port = endpoint.rpartition(":")
    client = HTTPClient(
        address,
        port=int(port),
        connection_timeout=timeout / SECOND,
        network_timeout=timeout / SECOND,
    )
    data = json.dumps(body).encode() if body is not None else b""
    try:
        response = client.request(method, path, body=data, headers=headers or {})
        return JsonResponse(response.status_code, json.loads(response.read() or b"null"))
    except Exception as error:
        # The library raises its own errors, those of sockets and, for a bad body, ValueError.
        raise PeerUnavailable(str(error), step=f"{method} {path}", peer=endpoint) from error
    finally:
        client.close()
