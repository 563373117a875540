"""Talks to whichever control instance leads, on behalf of an operator."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.clock import SECOND, Clock, Milliseconds
from fulmarhold.errors import FulmarholdError, PeerUnavailable
from fulmarhold.web.client import JsonResponse, request_json

if TYPE_CHECKING:
    from collections.abc import Sequence

PATIENCE: Milliseconds = 15_000.0
REQUEST_TIMEOUT: Milliseconds = 6_000.0
RETRY_PAUSE: Milliseconds = 200.0
UNAVAILABLE = 503


class ControlRefused(FulmarholdError):
    """Control refused a command or query for good."""

    def __init__(self, response: JsonResponse, step: str, peer: str) -> None:
        body = response.body if isinstance(response.body, dict) else {}
        reason = body.get("error") or body.get("reason") or f"status {response.status}"
        super().__init__(reason, step=step, peer=peer)
        self.response = response


def send_command(
    endpoints: Sequence[str], name: str, body: dict[str, Any], timeout: Milliseconds = PATIENCE
) -> JsonResponse:
    """Send a command to the leader, again with the same body until it is answered.

    Raises `PeerUnavailable` when no leader answered within `patience` milliseconds.
    """
    return _until_answered(endpoints, "POST", f"/commands/{name}", body, timeout)


def read_query(
    endpoints: Sequence[str], name: str, timeout: Milliseconds = PATIENCE
) -> dict[str, Any]:
    """Return a linearizable answer, which only the leader gives."""
    clock = Clock()
    until = clock.now() + timeout
    while clock.now() < until:
        for endpoint in endpoints:
            try:
                response = request_json(endpoint, "GET", f"/queries/{name}")
            except PeerUnavailable:
                continue
            if response.status == 200 and not response.body.get("stale"):
                answer: dict[str, Any] = response.body
                return answer
        gevent.sleep(RETRY_PAUSE / SECOND)
    raise PeerUnavailable("no control instance gave a current answer", step=name)


def read_instance(endpoint: str, name: str) -> dict[str, Any]:
    """Return what one instance itself says, which may be stale."""
    response = request_json(endpoint, "GET", f"/queries/{name}")
    if response.status != 200:
        raise ControlRefused(response, name, endpoint)
    answer: dict[str, Any] = response.body
    return answer


def _until_answered(
    endpoints: Sequence[str], method: str, path: str, body: Any, timeout: Milliseconds
) -> JsonResponse:
    clock = Clock()
    until = clock.now() + timeout
    problem = "no control instance was asked"
    while clock.now() < until:
        for endpoint in endpoints:
            try:
                response = request_json(endpoint, method, path, body=body, timeout=REQUEST_TIMEOUT)
            except PeerUnavailable as error:
                problem = str(error)
                continue
            if response.status != UNAVAILABLE:
                return response
            problem = str(response.body)
        gevent.sleep(RETRY_PAUSE / SECOND)
    raise PeerUnavailable(f"no control instance leads: {problem}", step=path)
