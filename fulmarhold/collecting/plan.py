"""Pattern: queries over many shards of which a part has no upstream in the entry's data centre.

Decides which parts an entry asks collectors for, and which it gets from the upstreams itself.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

Shard = TypeVar("Shard")

# With fewer parts, the merged reply is hardly smaller than they are, and the detour not worth it.
MIN_PARTS_PER_COLLECTION = 4


def plan_collections(
    choices: Mapping[Shard, Collection[str]],
) -> dict[str, list[Shard]]:
    """Return the shards to collect in each data centre; the others are left to the entry itself.

    `choices` gives the data centres with a suitable upstream for each shard that has none at home.
    Each round takes the data centre that has most of the remaining shards, so that few collectors
    are asked: the size of their replies hardly depends on the number of parts.

    >>> plan_collections({"s1": "a", "s2": "ab", "s3": "ab", "s4": "ab", "s5": "a", "s6": "b"})
    {'a': ['s1', 's2', 's3', 's4', 's5']}
    """
    remaining = dict(choices)
    plan: dict[str, list[Shard]] = {}
    while True:
        held = Counter(place for places in remaining.values() for place in set(places))
        if not held:
            return plan
        # The name decides between equal ones, so that the same upstreams stay warm.
        place, count = max(held.items(), key=lambda item: (item[1], item[0]))
        if count < MIN_PARTS_PER_COLLECTION:
            return plan
        plan[place] = [shard for shard, places in remaining.items() if place in places]
        for shard in plan[place]:
            del remaining[shard]
