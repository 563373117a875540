"""Which entries a caller is told to use: near ones first, with a way out when they fail.

A query over shards makes one trip between caller and entry and many between entry and upstreams.
So entries beside upstreams of nearly all shards serve it with the least traffic between data
centres, also for callers elsewhere, whom it takes one such trip either way.

The connections of an upstream are shared by all entries that callers use. Where there are more
entries than can have enough of them, some stand by: an entry with few connections, each seldom
used, connects anew for most requests and knows little of its upstreams.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable
    from random import Random

    from fulmarhold.membership.statements import InstanceStatement, UpstreamStatement

# A caller that knows a single address has nowhere to go when that entry dies, until its answer
# runs out.
LEAST_ADDRESSES = 2


# Connections to each upstream with which an entry seldom has to open one for a request.
CONNECTIONS_WANTED = 5
# Fewer in a data centre would leave its callers without an entry at home when one dies.
LEAST_ACTIVE_AT_HOME = 2
# Once this share of a data centre's active entries is busy, those that stand by are named too.
BUSY_SHARE = 0.25
# A data centre with upstreams of this share of the shards counts as one that holds them: fewer
# would send most of a query elsewhere, and a few lost upstreams must not move all callers.
HOSTING_SHARE = 0.7


def hosting_data_centres(
    upstreams: Iterable[UpstreamStatement], shards: Collection[str]
) -> frozenset[str]:
    """Return the data centres that have upstreams of nearly all shards."""
    held: dict[str, set[str]] = {}
    for item in upstreams:
        if item.service in shards:
            held.setdefault(item.data_centre, set()).add(item.service)
    least = HOSTING_SHARE * len(shards)
    return frozenset(place for place, services in held.items() if len(services) >= least)


def active_entries(
    entries: list[InstanceStatement],
    connection_limit: int,
    hosting: Collection[str] = (),
) -> list[InstanceStatement]:
    """Return the entries that callers are to use; all instances come to the same choice.

    `connection_limit` is what an upstream accepts from all entries together; entries of `hosting`
    data centres are used alone unless they are busy or too few.
    """
    beside = [item for item in entries if item.data_centre in hosting]
    if len(beside) >= LEAST_ADDRESSES:
        active = _active_by_place(beside, connection_limit)
        if not (_are_busy(active) and len(active) == len(beside)):
            return active
    return _active_by_place(entries, connection_limit)


def _active_by_place(
    entries: list[InstanceStatement], connection_limit: int
) -> list[InstanceStatement]:
    places = sorted({item.data_centre for item in entries})
    wanted = connection_limit // CONNECTIONS_WANTED
    at_home = max(LEAST_ACTIVE_AT_HOME, math.ceil(wanted / max(1, len(places))))
    chosen: list[InstanceStatement] = []
    for place in places:
        # The order by hash does not favour the first machines of each rack or release.
        there = sorted(
            (item for item in entries if item.data_centre == place),
            key=lambda item: xxhash.xxh64_intdigest(item.name.encode()),
        )
        active = there[:at_home]
        chosen += there if _are_busy(active) else active
    return chosen


def _are_busy(entries: list[InstanceStatement]) -> bool:
    return sum(item.is_busy for item in entries) > BUSY_SHARE * len(entries)


def preferred_entries(
    entries: list[InstanceStatement], data_centre: str, most: int, random: Random
) -> list[str]:
    """Return the endpoints for a caller in `data_centre`, as far as there are any.

    Callers draw among them at random, so those of other data centres, which are a trip away with
    each request, are only named where there are too few at home: all of them where there is none.
    """
    near = [item.endpoint for item in entries if item.data_centre == data_centre]
    far = [item.endpoint for item in entries if item.data_centre != data_centre]
    random.shuffle(near)
    random.shuffle(far)
    missing = max(0, LEAST_ADDRESSES - len(near)) if near else len(far)
    return (near + far[:missing])[:most]
