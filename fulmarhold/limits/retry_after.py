"""When callers that were refused are to come back.

The load this answers: all instances start again at once, and every request of that time is refused.
Callers try again once or twice and wait for a third of their time at most, so one that returns
before this entry serves has lost its request, and all that return at one moment are a burst.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from fulmarhold.clock import Milliseconds

# From when an entry listens until it knows the configuration, where control starts again as well:
# control's start takes longer by 0.2 s, and an election follows (runs on the users' bench).
USUAL_START: Milliseconds = 350.0
# An entry that is overdue may be ready at any moment, or control may be unreachable for seconds.
OVERDUE_PAUSE: Milliseconds = 100.0
START_SPREAD: Milliseconds = 120.0
# After other refusals, so that callers do not return as one wave.
SHORTEST_RETURN: Milliseconds = 40.0
LONGEST_RETURN: Milliseconds = 160.0


def retry_delay_while_starting(running_for: Milliseconds, random: Random) -> Milliseconds:
    """Return for how long to stay away from an entry that does not know a configuration yet.

    >>> from random import Random
    >>> 250 <= retry_delay_while_starting(100.0, Random(1)) <= 370
    True
    """
    expected = USUAL_START - running_for
    return max(OVERDUE_PAUSE, expected) + random.uniform(0.0, START_SPREAD)


def retry_delay_after_refusal(random: Random) -> Milliseconds:
    """Return for how long to stay away after a refusal of one request."""
    return random.uniform(SHORTEST_RETURN, LONGEST_RETURN)
