"""How long a query over shards waits for its last parts.

An answer earns by the square of its share of parts, and very little once it is late. So all parts
are waited for until the target latency is about to pass; a partial answer that holds the least
share asked for leaves then, and one below it waits on, since before that nothing counts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds

# The way of the answer to the caller and of the request from it, one of them over a new
# connection (three trips of 3 ms), with some more for the wake-up of this process.
TARGET_RESERVE: Milliseconds = 14.0
# However short the target, the first replies are given this long.
LEAST_PATIENCE: Milliseconds = 10.0


def partial_answer_at(received_at: Milliseconds, target: Milliseconds) -> Milliseconds:
    """Return from when on an answer with the least share of parts is better than a later one."""
    return received_at + max(LEAST_PATIENCE, target - TARGET_RESERVE)


def least_parts(share: float, total: int) -> int:
    """Return how many of `total` parts make up `share`, at least one.

    >>> least_parts(0.89, 10), least_parts(0.75, 10), least_parts(0.0, 10)
    (9, 8, 1)
    """
    needed = max(1, int(share * total))
    # Compared as the callers do, so that rounding never admits an answer below the share.
    while needed / total < share:
        needed += 1
    return needed
