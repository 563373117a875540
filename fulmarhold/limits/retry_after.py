"""Delays after which refused callers should retry.

When all instances restart at once, every request is refused in the meantime. Callers retry once or
twice and wait for at most a third of their time. A caller that retries before this entry serves
loses its request, and callers that all retry at the same moment cause a burst.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarhold.clock import SECOND

if TYPE_CHECKING:
    from random import Random

    from fulmarhold.clock import Milliseconds

# Time from when an entry listens until it knows the configuration, if control restarts too: control
# takes 0.2 s longer to start, and then has to elect a leader.
TYPICAL_STARTUP_TIME: Milliseconds = 350.0
# Past the typical time, the entry may be ready at any moment, or control may be unreachable for
# seconds.
MIN_STARTUP_DELAY: Milliseconds = 100.0
STARTUP_JITTER: Milliseconds = 120.0
# Range of the delay after other refusals; random, so that callers do not retry in one burst.
MIN_REFUSAL_DELAY: Milliseconds = 40.0
MAX_REFUSAL_DELAY: Milliseconds = 160.0
# The part of the time it has left that a caller waits at most.
HONOURED_SHARE = 1 / 3
# After a pause of all upstreams, callers return over this share of its length, so that those who
# were refused in it add twice their usual rate; and over this range of the cap on their time, so
# that they do not return at one moment then either.
RETURN_SHARE = 0.5
CAP_RANGE = 0.2
# Callers wait for at most a third of the time they have left; this leaves some for the way.
MAX_SHARE_OF_TIME_LEFT = 0.3
MIN_SPREAD = 0.6


class ReturnSchedule:
    """Assigns callers that are refused for want of room times to return, as fast as work drains.

    Those that were refused for long have little time left, and return before others.

    >>> from random import Random
    >>> schedule, random = ReturnSchedule(), Random(1)
    >>> delays = [schedule.assign(0.0, 3_000.0, 100.0, random) for _ in range(30)]
    >>> 40 <= delays[0] < 60, 300 < delays[-1] < 400
    (True, True)
    >>> schedule.assign(0.0, 300.0, 100.0, random) <= 90
    True
    """

    def __init__(self) -> None:
        self._next_at: Milliseconds = float("-inf")

    def assign(
        self, now: Milliseconds, left: Milliseconds, drained_per_second: float, random: Random
    ) -> Milliseconds:
        """Return the delay of a caller that has `left` ms, while so many requests drain."""
        at = max(now + MIN_REFUSAL_DELAY, self._next_at)
        latest = max(0.0, MAX_SHARE_OF_TIME_LEFT * left)
        if at - now > latest:
            # It can't wait for its turn; such callers are spread over the time that they have.
            return random.uniform(MIN_SPREAD, 1.0) * latest
        interval = SECOND / max(1.0, drained_per_second)
        self._next_at = at + interval
        return min(latest, at - now + random.uniform(0.0, interval))


def retry_delay_while_starting(uptime: Milliseconds, random: Random) -> Milliseconds:
    """Return the retry delay while the entry does not know a configuration yet.

    >>> from random import Random
    >>> 250 <= retry_delay_while_starting(100.0, Random(1)) <= 370
    True
    """
    expected = TYPICAL_STARTUP_TIME - uptime
    return max(MIN_STARTUP_DELAY, expected) + random.uniform(0.0, STARTUP_JITTER)


def retry_delay_after_refusal(random: Random) -> Milliseconds:
    """Return the retry delay after a single request was refused."""
    return random.uniform(MIN_REFUSAL_DELAY, MAX_REFUSAL_DELAY)


def retry_delay_after_pause(
    wait: Milliseconds, length: Milliseconds, left: Milliseconds, random: Random
) -> Milliseconds:
    """Return the retry delay if the first upstream wants work in `wait` ms.

    Its whole pause takes `length` ms. `left` is what the caller has left, of which it waits for a
    third at most.

    >>> from random import Random
    >>> 300 <= retry_delay_after_pause(300.0, 1_000.0, 6_000.0, Random(1)) <= 800
    True
    >>> 800 <= retry_delay_after_pause(20_000.0, 30_000.0, 3_000.0, Random(1)) <= 1_000
    True
    """
    cap = max(0.0, HONOURED_SHARE * left)
    earliest = max(MIN_REFUSAL_DELAY, wait)
    latest = earliest + max(MAX_REFUSAL_DELAY - MIN_REFUSAL_DELAY, RETURN_SHARE * length)
    earliest = min(earliest, (1 - CAP_RANGE) * cap)
    return random.uniform(earliest, min(latest, cap))
