"""Which entries a caller is told to use: near ones first, with a way out when they fail."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from fulmarhold.membership.statements import InstanceStatement

# A caller that knows a single address has nowhere to go when that entry dies, until its answer
# runs out.
LEAST_ADDRESSES = 2


def preferred_entries(
    entries: list[InstanceStatement], data_centre: str, most: int, random: Random
) -> list[str]:
    """Return the endpoints for a caller in `data_centre`, as far as there are any.

    Callers draw among them at random, so those of other data centres, which are a trip away with
    each request, are only named where there are too few at home.
    """
    near = [item.endpoint for item in entries if item.data_centre == data_centre]
    far = [item.endpoint for item in entries if item.data_centre != data_centre]
    random.shuffle(near)
    random.shuffle(far)
    missing = max(0, LEAST_ADDRESSES - len(near))
    return (near + far[:missing])[:most]
