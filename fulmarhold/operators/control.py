"""Client for operators that sends commands and queries to the control leader."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.clock import SECOND, Clock, Milliseconds
from fulmarhold.errors import FulmarholdError, PeerUnavailable
from fulmarhold.web.client import JsonResponse, request_json

if TYPE_CHECKING:
    from collections.abc import Sequence

DEFAULT_TIMEOUT: Milliseconds = 15_000.0
REQUEST_TIMEOUT: Milliseconds = 6_000.0
RETRY_INTERVAL: Milliseconds = 200.0
SERVICE_UNAVAILABLE = 503


class ControlRefused(FulmarholdError):
    """A control instance or an entry rejected a request, which is not sent again."""

    def __init__(self, response: JsonResponse, step: str, peer: str) -> None:
        body = response.body if isinstance(response.body, dict) else {}
        reason = body.get("error") or body.get("reason") or f"status {response.status}"
        super().__init__(reason, step=step, peer=peer)
        self.response = response


def send_command(
    endpoints: Sequence[str],
    name: str,
    body: dict[str, Any],
    timeout: Milliseconds = DEFAULT_TIMEOUT,
) -> JsonResponse:
    """Send a command to the leader, retrying with the same body until it is answered.

    Raises `PeerUnavailable` if no leader answers within `timeout` milliseconds.
    """
    return _send_until_answered(endpoints, "POST", f"/commands/{name}", body, timeout)


def read_query(
    endpoints: Sequence[str], name: str, timeout: Milliseconds = DEFAULT_TIMEOUT
) -> dict[str, Any]:
    """Return the leader's answer to a query, which is linearizable."""
    clock = Clock()
    give_up_at = clock.now() + timeout
    while clock.now() < give_up_at:
        for endpoint in endpoints:
            try:
                response = request_json(endpoint, "GET", f"/queries/{name}")
            except PeerUnavailable:
                continue
            if response.status == 200 and not response.body.get("stale"):
                answer: dict[str, Any] = response.body
                return answer
        gevent.sleep(RETRY_INTERVAL / SECOND)
    raise PeerUnavailable("no control instance returned an up-to-date answer", step=name)


def read_instance(endpoint: str, name: str) -> dict[str, Any]:
    """Return one instance's own answer to a query, which may be stale."""
    response = request_json(endpoint, "GET", f"/queries/{name}")
    if response.status != 200:
        raise ControlRefused(response, name, endpoint)
    answer: dict[str, Any] = response.body
    return answer


def _send_until_answered(
    endpoints: Sequence[str], method: str, path: str, body: Any, timeout: Milliseconds
) -> JsonResponse:
    clock = Clock()
    give_up_at = clock.now() + timeout
    problem = "no control instance was asked"
    while clock.now() < give_up_at:
        for endpoint in endpoints:
            try:
                response = request_json(endpoint, method, path, body=body, timeout=REQUEST_TIMEOUT)
            except PeerUnavailable as error:
                problem = str(error)
                continue
            if response.status != SERVICE_UNAVAILABLE:
                return response
            problem = str(response.body)
        gevent.sleep(RETRY_INTERVAL / SECOND)
    raise PeerUnavailable(f"no control leader answered: {problem}", step=path)
