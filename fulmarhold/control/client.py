"""Client of the control instances that finds the leader and calls it."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.clock import SECOND
from fulmarhold.consensus.core import MAX_ELECTION_TIMEOUT
from fulmarhold.control.messages import CommandPending, NotLeading
from fulmarhold.errors import PeerUnavailable, ReplyTimeout
from fulmarhold.wire.client import CallFailed
from fulmarhold.wire.links import Links

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.observe.counters import Counters

CALL_TIMEOUT: Milliseconds = 700.0
RETRY_PAUSE: Milliseconds = 30.0
# How long a leader that did not reply in time is avoided: the others may still name it, until they
# have elected another. That takes at most two of the longest election timeouts, less the time that
# the call has already waited.
LEADER_AVOIDANCE: Milliseconds = 2 * MAX_ELECTION_TIMEOUT - CALL_TIMEOUT


class ControlClient:
    """Sends requests to the leader; each must be idempotent, as a retry may deliver it twice."""

    def __init__(self, endpoints: Sequence[str], clock: Clock, counters: Counters) -> None:
        self._endpoints = list(endpoints)
        self._clock = clock
        self._counters = counters
        self._links = Links()
        self._leader = self._endpoints[0]
        self._avoided_until: dict[str, Milliseconds] = {}
        self._unanswered_since: Milliseconds | None = None

    @property
    def unanswered_for(self) -> Milliseconds:
        """How long calls have gone unanswered: ms since the first one began, 0 after a reply."""
        since = self._unanswered_since
        return self._clock.now() - since if since is not None else 0.0

    def call(self, request: Any, timeout: Milliseconds) -> Any:
        """Return the leader's reply; raises `PeerUnavailable` when none came in `timeout` ms."""
        asked_at = self._clock.now()
        until = asked_at + timeout
        problem: Exception | None = None
        while (left := until - self._clock.now()) > 0:
            endpoint = self._leader
            try:
                reply = self._links.to(endpoint).call(request, min(left, CALL_TIMEOUT))
            except (PeerUnavailable, CallFailed) as error:
                problem = error
                if isinstance(error, ReplyTimeout):
                    self._avoided_until[endpoint] = self._clock.now() + LEADER_AVOIDANCE
                self._counters.add("control_call_retries", reason=_retry_reason(error))
                self._select_leader(None, endpoint)
            else:
                if not isinstance(reply, NotLeading):
                    self._unanswered_since = None
                    if not isinstance(reply, CommandPending):
                        return reply
                    # The leader works, but its disks or those of the others are slow.
                    self._counters.add("control_call_retries", reason="pending")
                    problem = None
                    continue
                self._counters.add("control_call_retries", reason="not_leading")
                self._select_leader(reply.leader, endpoint)
            if self._unanswered_since is None:
                self._unanswered_since = asked_at
            gevent.sleep(RETRY_PAUSE / SECOND)
        raise PeerUnavailable(
            f"no reply from the control leader in time: {problem or 'no outcome'}",
            step=type(request).__name__,
            peer=self._leader,
        )

    def close(self) -> None:
        """Close every connection."""
        self._links.close()

    def _select_leader(self, leader: str | None, tried: str) -> None:
        if self._leader != tried:
            return
        if leader is not None and leader != tried and not self._is_avoided(leader):
            self._leader = leader
        else:
            self._leader = self._next_after(tried)

    def _next_after(self, tried: str) -> str:
        position = self._endpoints.index(tried) + 1 if tried in self._endpoints else 0
        others = self._endpoints[position:] + self._endpoints[:position]
        return next((item for item in others if not self._is_avoided(item)), others[0])

    def _is_avoided(self, endpoint: str) -> bool:
        return self._clock.now() < self._avoided_until.get(endpoint, float("-inf"))


def _retry_reason(error: Exception) -> str:
    return "refused" if isinstance(error, CallFailed) else "unavailable"
