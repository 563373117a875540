"""Which data centres are evacuated, and the messages that order it.

An entry sends nothing to the upstreams of an evacuated data centre.
"""

from __future__ import annotations

from dataclasses import dataclass

from fulmarhold.wire.messages import message


@dataclass(frozen=True)
class Evacuations:
    """The evacuated data centres, in order; the version grows by one with each change.

    >>> Evacuations().with_order("a", is_evacuated=True).with_order("a", is_evacuated=True)
    Evacuations(version=1, data_centres=('a',))
    """

    version: int = 0
    data_centres: tuple[str, ...] = ()

    def with_order(self, data_centre: str, *, is_evacuated: bool) -> Evacuations:
        """Return the set after an order, which is the same one if nothing changes."""
        if (data_centre in self.data_centres) == is_evacuated:
            return self
        changed = {*self.data_centres} ^ {data_centre}
        return Evacuations(self.version + 1, tuple(sorted(changed)))

    def __str__(self) -> str:
        return f"{', '.join(self.data_centres) or 'none'} (version {self.version})"


@message
class SetEvacuation:
    """A log command that evacuates a data centre, or ends that.

    It has an effect only if `base` is the number of orders applied before it. A command that is
    delayed in the log or on its way thus can't undo an order that was acknowledged meanwhile.
    """

    data_centre: str
    is_evacuated: bool
    base: int
    at: float


@message
class OrderEvacuation:
    """Forwards an operator's order to the leader, which has `left` ms to decide it."""

    data_centre: str
    is_evacuated: bool
    base: int
    left: float


@message
class EvacuationOrdered:
    """A majority has stored the order; `evacuations` is the set after it."""

    is_change: bool
    evacuations: Evacuations


@message
class EvacuationOutdated:
    """Another order was applied since `base`; nothing was changed. `orders` is the number now."""

    orders: int
