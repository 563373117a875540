"""Applies what upstreams say about leaving and pausing, and reports what changes by it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarhold.routing.availability import Reason

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds
    from fulmarhold.forwarding.context import CallContext
    from fulmarhold.forwarding.request import Reply
    from fulmarhold.routing.replica import Replica


def note_reply_signals(replica: Replica, reply: Reply, context: CallContext) -> None:
    """Apply what a reply says about further work for its upstream."""
    if reply.sender:
        sender = context.find_upstream(reply.sender)
        if sender is None:
            return
        replica = sender
    source = context.request.request_id
    pause = reply.pause
    if pause is not None:
        if pause.oddity:
            context.counters.add("pauses_odd", reason=pause.oddity)
        if not pause.is_ignored:
            note_pause(replica, pause.length, source, context)
    if reply.is_leaving:
        note_leaving(replica, source, context)


def note_leaving(replica: Replica, source: str, context: CallContext, via: str = "") -> None:
    """Apply that an upstream leaves, as the answer to the request `source` has said."""
    if replica.note_leaving(source, context.clock.now()):
        _report(replica, Reason.LEAVING, source, context, via, 0.0)


def note_pause(
    replica: Replica, length: Milliseconds, source: str, context: CallContext, via: str = ""
) -> None:
    """Apply that an upstream wants no work for `length` ms, as the answer to `source` has said."""
    if replica.note_pause(length, source, context.clock.now(), context.random.random()):
        _report(replica, Reason.PAUSED, source, context, via, length)


def _report(
    replica: Replica,
    reason: Reason,
    source: str,
    context: CallContext,
    via: str,
    length: Milliseconds,
) -> None:
    """Report that an upstream is held back; `via` names the collector that said so, if any did."""
    record = replica.upstream.record
    context.counters.add("upstreams_held_back", reason=reason.value)
    context.events.record(
        "upstream_held_back",
        request=source,
        service=record.service,
        upstream=record.name,
        born=record.born,
        reason=reason.value,
        asked_ms=length,
        open=replica.pool.load,
        via=via,
    )
