"""Finds the leader among the control instances and calls it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.clock import SECOND
from fulmarhold.control.messages import NotLeading
from fulmarhold.errors import PeerUnavailable
from fulmarhold.wire.client import CallFailed, Link

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.observe.counters import Counters

CALL_TIMEOUT: Milliseconds = 700.0
RETRY_PAUSE: Milliseconds = 30.0


class ControlClient:
    """Sends requests to the leader; a request may arrive twice, so it must be idempotent."""

    def __init__(self, endpoints: Sequence[str], clock: Clock, counters: Counters) -> None:
        self._endpoints = list(endpoints)
        self._clock = clock
        self._counters = counters
        self._links = {endpoint: Link(endpoint) for endpoint in endpoints}
        self._leader = self._endpoints[0]

    def call(self, request: Any, timeout: Milliseconds) -> Any:
        """Return the leader's reply; raises `PeerUnavailable` when none came in `timeout` ms."""
        until = self._clock.now() + timeout
        problem: Exception | None = None
        while (left := until - self._clock.now()) > 0:
            endpoint = self._leader
            try:
                reply = self._link(endpoint).call(request, min(left, CALL_TIMEOUT))
            except (PeerUnavailable, CallFailed) as error:
                problem = error
                self._counters.add("control_call_retries", reason=_retry_reason(error))
                self._turn_to(None, endpoint)
            else:
                if not isinstance(reply, NotLeading):
                    return reply
                self._counters.add("control_call_retries", reason="not_leading")
                self._turn_to(reply.leader, endpoint)
            gevent.sleep(RETRY_PAUSE / SECOND)
        raise PeerUnavailable(
            f"control did not answer in time: {problem or 'no leader'}",
            step=type(request).__name__,
            peer=self._leader,
        )

    def close(self) -> None:
        """Close every connection."""
        for link in self._links.values():
            link.close()

    def _link(self, endpoint: str) -> Link:
        if endpoint not in self._links:
            self._links[endpoint] = Link(endpoint)
        return self._links[endpoint]

    def _turn_to(self, leader: str | None, tried: str) -> None:
        if self._leader != tried:
            return
        if leader is not None and leader != tried:
            self._leader = leader
        else:
            position = self._endpoints.index(tried) if tried in self._endpoints else -1
            self._leader = self._endpoints[(position + 1) % len(self._endpoints)]


def _retry_reason(error: Exception) -> str:
    return "refused" if isinstance(error, CallFailed) else "unavailable"
