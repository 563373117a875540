"""One attempt to get the part of one shard from a chosen replica."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, Protocol

from fulmarhold.gather.outcome import MissingReason
from fulmarhold.upstreams.pool import CONNECT_REFUSED
from fulmarhold.upstreams.protocol import (
    OUTCOME_CANCELLED,
    OUTCOME_NOT_RUN,
    OUTCOME_SNAPSHOT_GONE,
    STATE_DRAINING,
    STATUS_OK,
    RequestTemplate,
    UpstreamResponse,
    encode_cancel,
)

if TYPE_CHECKING:
    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.routing.replica import Replica


class AttemptKind(Enum):
    """Why an attempt was made."""

    FIRST = "first"
    HEDGE = "hedge"
    RETRY = "retry"


class AttemptOwner(Protocol):
    """Receives the results of its attempts."""

    clock: Clock
    template: RequestTemplate
    deadline_at: Milliseconds

    def part_arrived(self, attempt: Attempt, body: bytes) -> None: ...

    def attempt_failed(
        self, attempt: Attempt, reason: MissingReason, detail: str, *, may_have_run: bool
    ) -> None: ...

    def replica_draining(self, replica: Replica) -> None: ...


class Attempt:
    """A request to one replica for the part of one shard."""

    __slots__ = ("_is_over", "kind", "owner", "part", "replica", "sent_at", "shard")
    # Requests of the own interface name no caller or client account.
    memory_owners = ()
    flow = None

    def __init__(
        self, owner: AttemptOwner, shard: int, replica: Replica, part: str, kind: AttemptKind
    ) -> None:
        self.owner = owner
        self.shard = shard
        self.replica = replica
        self.part = part
        self.kind = kind
        self.sent_at: Milliseconds | None = None
        self._is_over = False

    @property
    def is_over(self) -> bool:
        return self._is_over

    @property
    def expires_at(self) -> Milliseconds:
        return self.owner.deadline_at

    def may_send(self) -> bool:
        """Whether it is not over, the replica's lease is valid and the deadline has not passed."""
        now = self.owner.clock.now()
        return not self._is_over and now < self.owner.deadline_at and self.replica.is_live(now)

    def encode(self) -> bytes:
        """Return the encoded request and record the send time; called right before sending."""
        self.sent_at = self.owner.clock.now()
        self.replica.pace.note_sent(self.sent_at)
        remaining = self.owner.deadline_at - self.sent_at
        return self.owner.template.encode(self.replica.pool.address, self.part, remaining)

    def cancel(self) -> None:
        """Cancel the attempt; a later response is read and discarded."""
        if self._is_over:
            return
        self._is_over = True
        if self.sent_at is not None:
            now = self.owner.clock.now()
            self.replica.note_abandoned(now - self.sent_at, now)
            self.replica.pool.try_send(self._cancel_request())

    def completed(self, response: UpstreamResponse) -> bool:
        """Handle the response; returns whether the connection can be reused."""
        if response.state == STATE_DRAINING:
            self.owner.replica_draining(self.replica)
        echo_matches = response.part == self.part
        if not self._is_over:
            self._is_over = True
            self._report(response, echo_matches)
        return echo_matches

    def failed(self, reason: str, *, sent: bool) -> None:
        """Handle a request that gets no response."""
        if self._is_over:
            return
        self._is_over = True
        if sent:
            self._note_failure()
        elif reason == CONNECT_REFUSED:
            self.replica.note_unreachable(self.owner.clock.now())
        self.owner.attempt_failed(self, MissingReason.CONNECTION_LOST, reason, may_have_run=sent)

    def _report(self, response: UpstreamResponse, echo_matches: bool) -> None:
        owner = self.owner
        if not echo_matches:
            self._note_failure()
            owner.attempt_failed(
                self, MissingReason.WRONG_ECHO, f"echoed {response.part!r}", may_have_run=True
            )
        elif response.status == STATUS_OK and not response.outcome:
            now = owner.clock.now()
            self.replica.note_success(now - (self.sent_at or now), now)
            owner.part_arrived(self, response.body)
        elif response.outcome == OUTCOME_NOT_RUN:
            owner.attempt_failed(self, MissingReason.SHED, "shed", may_have_run=False)
        elif response.outcome == OUTCOME_SNAPSHOT_GONE:
            owner.attempt_failed(self, MissingReason.SNAPSHOT_GONE, "gone", may_have_run=False)
        else:
            detail = f"status {response.status} {response.outcome}"
            self._note_failure()
            owner.attempt_failed(
                self,
                MissingReason.UPSTREAM_ERROR,
                detail,
                may_have_run=response.outcome != OUTCOME_CANCELLED,
            )

    def _cancel_request(self) -> _CancelRequest:
        return _CancelRequest(self.replica.pool.address, self.part, self.owner.deadline_at)

    def _note_failure(self) -> None:
        self.replica.note_failure(self.owner.clock.now())


class _CancelRequest:
    """Tells an upstream that the response to a part is no longer needed."""

    memory_owners = ()
    flow = None

    def __init__(self, address: str, part: str, expires_at: Milliseconds) -> None:
        self.expires_at = expires_at
        self._address = address
        self._part = part

    def may_send(self) -> bool:
        return True

    def encode(self) -> bytes:
        return encode_cancel(self._address, self._part)

    def completed(self, response: UpstreamResponse) -> bool:
        return response.status == STATUS_OK and response.part == self._part

    def failed(self, reason: str, *, sent: bool) -> None:
        pass
