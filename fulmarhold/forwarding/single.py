"""Forwards a request to one upstream of one service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from gevent.event import Event

from fulmarhold.clock import SECOND
from fulmarhold.forwarding.refusals import refuse_held_back
from fulmarhold.forwarding.request import (
    Failed,
    FailedReason,
    Refused,
    RefusedReason,
    Relayed,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.clock import Milliseconds
    from fulmarhold.forwarding.call import CallOwner, ServiceCall
    from fulmarhold.forwarding.context import CallContext
    from fulmarhold.forwarding.request import Outcome


class SingleForward:
    """One request that is forwarded to one service."""

    def __init__(
        self,
        context: CallContext,
        make_call: Callable[[CallOwner], ServiceCall],
        hedge_after: Milliseconds,
        retry_after: Callable[[], Milliseconds],
    ) -> None:
        self._context = context
        self._hedge_after = hedge_after
        self._retry_after = retry_after
        self._wake = Event()
        self._is_caller_gone = False
        self._is_ended = False
        self._call = make_call(self)

    def run(self) -> Outcome:
        """Forward, wait for the reply and return the outcome."""
        started_at = self._context.clock.now()
        self._call.start(gives_way=True)
        if self._wait_until(started_at + self._hedge_after):
            self._call.hedge()
            self._wait_until(self._context.deadline_at)
        return self._outcome()

    def caller_gone(self) -> None:
        """Abandon the call, because the caller has closed its connection."""
        self._is_caller_gone = True
        self._call.abandon()
        self._wake.set()

    def end(self) -> None:
        """End the wait with what is known now, because this entry is about to exit."""
        self._is_ended = True
        self._wake.set()

    def release(self) -> None:
        """Let go of the call; there is an outcome."""
        self._call.release()

    def call_finished(self, _: ServiceCall) -> None:
        """End the wait: the call has its reply, or will not get one."""
        self._wake.set()

    def _wait_until(self, moment: Milliseconds) -> bool:
        """Wait for the end of the call; returns whether it is still pending at `moment`."""
        left = min(moment, self._context.deadline_at) - self._context.clock.now()
        if not self._wake.is_set() and left > 0:
            self._wake.wait(left / SECOND)
        return not self._wake.is_set()

    def _outcome(self) -> Outcome:
        call = self._call
        call.close()
        if self._is_caller_gone:
            return Failed(FailedReason.CALLER_GONE)
        if call.reply is not None:
            return Relayed(call.reply)
        if call.refusal is not None:
            held = call.held_back(self._context.clock.now())
            if held is not None:
                return refuse_held_back(self._context, [held], 1)
            return Refused(call.refusal, self._retry_after())
        if call.failure is not None:
            return Failed(call.failure)
        if not call.can_have_run:
            reason = RefusedReason.STOPPING if self._is_ended else RefusedReason.NO_TIME
            return Refused(reason, self._retry_after())
        if self._is_ended:
            call.abandon()
            return Failed(FailedReason.STOPPING)
        return Failed(FailedReason.DEADLINE)
