"""Selects the entries that a caller uses: local ones first, with alternatives for when they fail.

A query over shards makes one round trip between caller and entry and many between entry and
upstreams. Entries in data centres with upstreams of nearly all shards therefore cause the least
traffic between data centres, also for callers elsewhere, which need one such round trip anyway.

The connections of an upstream are shared by all active entries. Where there are more entries than
can get enough connections, the rest are on standby: an entry with few, seldom used connections
opens a new one for most requests and has little data on its upstreams.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable
    from random import Random

    from fulmarhold.membership.statements import InstanceStatement, UpstreamStatement

# A caller with a single address has no alternative when that entry dies, until the answer with
# the address expires.
MIN_ADDRESSES = 2


# With this many connections to each upstream, an entry seldom has to open one for a request.
MIN_CONNECTIONS_PER_ENTRY = 5
# With fewer in a data centre, its callers have no local entry left when one dies.
MIN_ACTIVE_PER_DATA_CENTRE = 2
# Above this share of busy entries among a data centre's active ones, standby entries are used too.
BUSY_SHARE = 0.25
# A data centre hosts the shards if it has upstreams of at least this share of them. With a lower
# share, most of a query would go elsewhere; with a higher one, the loss of a few upstreams would
# move all callers.
HOSTING_SHARE = 0.7


def hosting_data_centres(
    upstreams: Iterable[UpstreamStatement], shards: Collection[str]
) -> frozenset[str]:
    """Return the data centres that have upstreams of nearly all shards."""
    held: dict[str, set[str]] = {}
    for item in upstreams:
        if item.service in shards:
            held.setdefault(item.data_centre, set()).add(item.service)
    min_shards = HOSTING_SHARE * len(shards)
    return frozenset(
        data_centre for data_centre, services in held.items() if len(services) >= min_shards
    )


def active_entries(
    entries: list[InstanceStatement],
    connection_limit: int,
    hosting: Collection[str] = (),
) -> list[InstanceStatement]:
    """Return the entries that callers should use; all instances make the same choice.

    `connection_limit` is the number of connections that an upstream accepts from all entries
    together. Only entries in `hosting` data centres are used, unless they are busy or too few.
    """
    near_shards = [item for item in entries if item.data_centre in hosting]
    if len(near_shards) >= MIN_ADDRESSES:
        active = _active_by_data_centre(near_shards, connection_limit)
        if not (_are_busy(active) and len(active) == len(near_shards)):
            return active
    return _active_by_data_centre(entries, connection_limit)


def _active_by_data_centre(
    entries: list[InstanceStatement], connection_limit: int
) -> list[InstanceStatement]:
    data_centres = sorted({item.data_centre for item in entries})
    total_wanted = connection_limit // MIN_CONNECTIONS_PER_ENTRY
    active_count = max(
        MIN_ACTIVE_PER_DATA_CENTRE, math.ceil(total_wanted / max(1, len(data_centres)))
    )
    chosen: list[InstanceStatement] = []
    for data_centre in data_centres:
        # Ordering by hash avoids favouring the first machines of each rack or release.
        candidates = sorted(
            (item for item in entries if item.data_centre == data_centre),
            key=lambda item: xxhash.xxh64_intdigest(item.name.encode()),
        )
        active = candidates[:active_count]
        chosen += candidates if _are_busy(active) else active
    return chosen


def _are_busy(entries: list[InstanceStatement]) -> bool:
    return sum(item.is_busy for item in entries) > BUSY_SHARE * len(entries)


def preferred_entries(
    entries: list[InstanceStatement], data_centre: str, limit: int, random: Random
) -> list[str]:
    """Return the endpoints for a caller in `data_centre`, which may be none.

    Callers choose among them at random, and each request to another data centre costs a longer
    trip. Remote endpoints are therefore only added where there are too few local ones, and all of
    them where there are no local ones.
    """
    local = [item.endpoint for item in entries if item.data_centre == data_centre]
    remote = [item.endpoint for item in entries if item.data_centre != data_centre]
    random.shuffle(local)
    random.shuffle(remote)
    missing = max(0, MIN_ADDRESSES - len(local)) if local else len(remote)
    return (local + remote[:missing])[:limit]
