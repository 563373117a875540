"""Refusals of requests whose upstreams are all held back, by what they said or while cold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarhold.forwarding.request import Refused, RefusedReason
from fulmarhold.limits.retry_after import retry_delay_after_pause, retry_delay_after_refusal
from fulmarhold.routing.availability import Reason

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fulmarhold.forwarding.context import CallContext
    from fulmarhold.routing.availability import Availability
    from fulmarhold.routing.replica import Replica

# A replica and why it gets no request: the one of its shard that wants work first.
HeldBack = tuple["Replica", "Availability"]
# Reasons for which an upstream takes work again later.
WAITING = {Reason.PAUSED: RefusedReason.PAUSED, Reason.COLD: RefusedReason.COLD}


def refuse_held_back(context: CallContext, held: Sequence[HeldBack], needed: int) -> Refused:
    """Refuse a request until `needed` of the services that are held back take work again."""
    now = context.clock.now()
    replica, availability = sorted(held, key=_wanted_at)[needed - 1]
    left = context.request.deadline_at - now
    if availability.reason in WAITING:
        reason = WAITING[availability.reason]
        until, since = availability.until or now, availability.since or now
        length = until - since if until > now else 0.0
        retry_after = retry_delay_after_pause(max(0.0, until - now), length, left, context.random)
    else:
        reason = RefusedReason.LEAVING
        retry_after = retry_delay_after_refusal(context.random)
    record = replica.upstream.record
    context.events.record(
        "refused_held_back",
        request=context.request.request_id,
        service=record.service,
        services=len(held),
        upstream=record.name,
        reason=reason.value,
        source=availability.source,
        age_ms=now - (availability.since or now),
        left_ms=left,
        retry_after_ms=retry_after,
    )
    return Refused(reason, retry_after)


def _wanted_at(held: HeldBack) -> tuple[bool, float]:
    _, availability = held
    return availability.reason not in WAITING, availability.until or float("-inf")
