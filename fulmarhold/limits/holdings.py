"""Bytes that are held for others, each counted in the budget of the process."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarhold.clock import Milliseconds

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.limits.memory import Holder, MemoryBudget, Shortage


class ResponseHolding:
    """The bytes of one unfinished response."""

    __slots__ = ("_budget", "_started_at", "give_way", "owners", "size", "upstream")

    def __init__(
        self,
        budget: MemoryBudget,
        upstream: str,
        owners: tuple[str, ...],
        give_way: Callable[[Shortage], None],
        started_at: Milliseconds,
    ) -> None:
        self._budget = budget
        self._started_at = started_at
        self.upstream = upstream
        self.owners = owners
        self.give_way = give_way
        self.size = 0

    def grow(self, size: int) -> None:
        """Add bytes; this response or others may have given way when this returns."""
        self.size += size
        self._budget.add_response(self, size)

    def release(self) -> None:
        """Give all bytes back; may be called more than once."""
        self._budget.remove_response(self)
        self.size = 0

    def cost(self, now: Milliseconds) -> float:
        """Return the bytes held times the duration for which they are held."""
        return self.size * (now - self._started_at)


class FixedHolding:
    """Bytes that can't give way, held on behalf of some owners."""

    __slots__ = ("_budget", "_holder", "_owners", "size")

    def __init__(self, budget: MemoryBudget, holder: Holder, owners: tuple[str, ...]) -> None:
        self._budget = budget
        self._holder = holder
        self._owners = owners
        self.size = 0

    def try_grow(self, size: int) -> bool:
        """Add bytes if there is room for them; returns whether there is."""
        if not self._budget.try_add_fixed(self._holder, self._owners, size):
            return False
        self.size += size
        return True

    def grow(self, size: int) -> None:
        """Add bytes that have to be held, such as those of a response that has been counted."""
        self.size += size
        self._budget.add_fixed(self._holder, self._owners, size)

    def shrink(self, size: int) -> None:
        """Give back a part of the bytes."""
        self.size -= size
        self._budget.add_fixed(self._holder, self._owners, -size)

    def release(self) -> None:
        """Give all bytes back; may be called more than once."""
        if self.size:
            self._budget.add_fixed(self._holder, self._owners, -self.size)
            self.size = 0
