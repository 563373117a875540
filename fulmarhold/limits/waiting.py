"""The order in which requests wait for a place at one upstream.

Load: more requests than connections, of several accounts and priorities, for seconds.

The most urgent requests go first, and among them those of the account that got least recently,
relative to what it usually asks for. Requests of one account stay in order. Without accounts,
requests belong to no flow and all of them stay in order.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fulmarhold.clock import Milliseconds
    from fulmarhold.limits.sharing import Flow


class HasFlow(Protocol):
    """A request that belongs to a flow, if there are accounts."""

    @property
    def flow(self) -> Flow | None: ...


Waiter = TypeVar("Waiter", bound=HasFlow)
# Those of no flow come first: they are few, sent before a configuration with accounts.
_Line = tuple[int, str]
_NO_FLOW: _Line = (-(2**31), "")


class WaitingQueue(Generic[Waiter]):
    """At most `limit` requests that wait, in lines by priority and account."""

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._lines: dict[_Line, deque[Waiter]] = {}
        # Read for every candidate of every request.
        self.length = 0

    def __len__(self) -> int:
        return self.length

    def __iter__(self) -> Iterator[Waiter]:
        return (item for line in self._lines.values() for item in line)

    def __contains__(self, waiter: Waiter) -> bool:
        return waiter in self._lines.get(_line_of(waiter), ())

    def offer(self, waiter: Waiter, now: Milliseconds) -> Waiter | None:
        """Add a request; returns the one that has no place, which may be the same."""
        line = _line_of(waiter)
        if self.length < self._limit:
            self._append(line, waiter)
            return None
        last = max((*self._lines, line), key=lambda item: self._pressure(item, waiter, now))
        if last == line:
            return waiter
        displaced = self._lines[last][-1]
        self.remove(displaced)
        self._append(line, waiter)
        return displaced

    def take(self, now: Milliseconds) -> Waiter:
        """Remove and return the request that is next; there must be one."""
        if len(self._lines) == 1:
            line = next(iter(self._lines))
        else:
            line = min(self._lines, key=lambda item: self._order(item, now))
        waiter = self._lines[line][0]
        self.remove(waiter)
        return waiter

    def remove(self, waiter: Waiter) -> None:
        """Remove a request that waits."""
        line = _line_of(waiter)
        waiting = self._lines[line]
        waiting.remove(waiter)
        self.length -= 1
        if not waiting:
            del self._lines[line]

    def clear(self) -> list[Waiter]:
        """Remove and return all requests."""
        waiters = list(self)
        self._lines.clear()
        self.length = 0
        return waiters

    def _append(self, line: _Line, waiter: Waiter) -> None:
        self._lines.setdefault(line, deque()).append(waiter)
        self.length += 1

    def _order(self, line: _Line, now: Milliseconds) -> tuple[int, float]:
        flow = self._lines[line][0].flow
        return line[0], flow.served(now) if flow is not None else 0.0

    def _pressure(
        self, line: _Line, newcomer: Waiter, now: Milliseconds
    ) -> tuple[int, float, float]:
        """Return how much a line has: the least urgent, then the longest for its account."""
        waiting = self._lines.get(line, ())
        flow = waiting[0].flow if waiting else newcomer.flow
        if flow is None:
            return line[0], 0.0, 0.0
        return line[0], len(waiting) / flow.weight, flow.served(now)


def _line_of(waiter: HasFlow) -> _Line:
    flow = waiter.flow
    return _NO_FLOW if flow is None else (flow.rank, flow.account)
