"""Delays after which refused callers should retry.

When all instances restart at once, every request is refused in the meantime. Callers retry once or
twice and wait for at most a third of their time. A caller that retries before this entry serves
loses its request, and callers that all retry at the same moment cause a burst.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

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
