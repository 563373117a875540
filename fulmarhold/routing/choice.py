"""Policies that choose the replica of a shard for a sub-request."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random

from fulmarhold.clock import Milliseconds
from fulmarhold.registry import Registry
from fulmarhold.routing.availability import Availability, Reason
from fulmarhold.routing.replica import Replica

Chooser = Callable[[Sequence[Replica], Random, Milliseconds], Replica]

choosers: Registry[Chooser] = Registry("replica choice")

DEFAULT_CHOICE = "two_choices"
# The share of the useful time that the expected latency of a local replica may take. A query waits
# for the slowest of many replies, which takes several times as long as a typical one, and a hedge
# must still be in time.
TIMELY_SHARE = 0.25


@choosers.register("random")
def choose_at_random(replicas: Sequence[Replica], random: Random, _: Milliseconds) -> Replica:
    """Choose a replica at random; the baseline that benchmarks compare the other policies with."""
    return replicas[int(random.random() * len(replicas))]


@choosers.register("two_choices")
def choose_better_of_two(replicas: Sequence[Replica], random: Random, now: Milliseconds) -> Replica:
    """Pick two replicas at random and choose the one with the lower expected latency."""
    count = len(replicas)
    if count == 1:
        return replicas[0]
    first = int(random.random() * count)
    second = (first + 1 + int(random.random() * (count - 1))) % count
    one, other = replicas[first], replicas[second]
    return one if one.expected_latency(now) <= other.expected_latency(now) else other


@choosers.register("least_expected")
def choose_least_expected(replicas: Sequence[Replica], _: Random, now: Milliseconds) -> Replica:
    """Choose the replica with the lowest expected latency of all."""
    return min(replicas, key=lambda replica: replica.expected_latency(now))


def timely_local(
    replicas: Sequence[Replica], now: Milliseconds, useful_until: Milliseconds
) -> Sequence[Replica]:
    """Return the replicas in the same data centre that will reply well in time, or else all.

    A somewhat faster replica elsewhere makes no query earlier that is in time anyway, and traffic
    between data centres is expensive.
    """
    limit = TIMELY_SHARE * (useful_until - now)
    timely = [item for item in replicas if item.is_local and item.expected_latency(now) <= limit]
    return timely or replicas


def with_room(replicas: list[Replica], now: Milliseconds) -> list[Replica]:
    """Return the replicas whose pace admits one more request, or else all."""
    return [item for item in replicas if item.has_room(now)] or replicas


def candidates(
    replicas: Sequence[Replica], tried: Sequence[Replica], now: Milliseconds
) -> list[Replica]:
    """Return the replicas to choose from: not held back, not tried yet, not ejected if possible.

    One that is cold and can't bear one more request is left out even if it is the last one.

    If all remaining replicas are ejected they are returned nevertheless, so that ejection never
    removes the last replica of a shard.
    """
    live = [item for item in replicas if item not in tried and item.held_back(now).reason is None]
    healthy = [item for item in live if not item.is_ejected(now)]
    return healthy or live


def wanting_first(
    replicas: Sequence[Replica], now: Milliseconds
) -> tuple[Replica, Availability] | None:
    """Return the replica that wants work again first, if all are held back by what they said.

    That is the one whose pause ends first, or that is cold and bears one more request first; or one
    that leaves if there is no such replica.
    """
    found: tuple[Replica, Availability] | None = None
    earliest = float("inf")
    for replica in replicas:
        held = replica.held_back(now)
        if held.reason is None:
            return None
        if held.reason in (Reason.PAUSED, Reason.COLD):
            until = now if held.until is None else held.until
            if until < earliest:
                found, earliest = (replica, held), until
        elif held.reason is Reason.LEAVING and found is None:
            found = replica, held
    return found
