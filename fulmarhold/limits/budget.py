"""Token budgets that limit the extra load of a service: hedges, retries and reruns.

Several entries can share a bound on the extra requests within a window: a share of the first tries
plus a fixed slack. Each entry gets an equal part of the slack. It may spend half of its part at
once, regains a fifth per window, and starts with half of what it may spend at once. Thus entries
that all restart within one window spend at most 0.5 + 0.2 + 0.25 of the slack.

The bound counts arrivals at the upstreams. Extra requests that wait for a connection or are held up
by a link arrive in the next window in addition to its own, so a tenth of the share stays unspent.
An entry that does not know yet how many others share the slack spends only what it has earned:
entries that all restart at once learn of each other one by one, and each would take too large a
part.
"""

from __future__ import annotations

from dataclasses import dataclass

from fulmarhold.clock import Milliseconds

MIN_CAPACITY = 10.0
CAPACITY_PER_SHARD = 2.0
RETRY_RESERVE_SHARE = 0.5
# Shares of an entry's part of the slack.
BURST_SHARE = 0.5
REFILL_SHARE_PER_WINDOW = 0.2
# Share of the capacity: an entry that restarts may have spent its part before.
INITIAL_SHARE = 0.5
# A hedge saves as much time as a retry and often makes the retry unnecessary. This budget has few
# tokens, and a reserve of half of them would leave none for hedges.
SLACK_RETRY_RESERVE_SHARE = 0.25
# Covers extra requests that arrive up to a tenth of a window late.
EARNED_SHARE = 0.9
# Tokens that may be earned before it is known how many entries share the slack.
UNSHARED_CAPACITY = 4.0


class ExtraLoadBudget:
    """A token bucket: each first try earns a share of a token, each extra request costs one.

    >>> budget = ExtraLoadBudget(share=0.05, shards=10)
    >>> budget.take(20), budget.take(1)
    (True, False)
    >>> budget.earn(20)
    >>> budget.take(1)
    True
    """

    def __init__(self, share: float, shards: int) -> None:
        self._share = share
        self._capacity = max(MIN_CAPACITY, CAPACITY_PER_SHARD * shards)
        self._reserve = RETRY_RESERVE_SHARE * self._capacity
        self._tokens = self._capacity

    def earn(self, first_tries: int) -> None:
        """Add tokens for first tries that were sent."""
        self._tokens = min(self._capacity, self._tokens + self._share * first_tries)

    def take(self, requests: int) -> bool:
        """Spend tokens for extra requests; return whether there were enough."""
        if self._tokens < requests:
            return False
        self._tokens -= requests
        return True

    def take_unreserved(self, requests: int) -> bool:
        """Spend tokens except the reserve for retries; return whether there were enough."""
        if self._tokens < self._reserve + requests:
            return False
        return self.take(requests)


@dataclass(frozen=True)
class ExtraLoadBound:
    """The bound on extra attempts that all entries send to a service within `window` ms.

    The bound is `share` of the requests to the service plus `slack` attempts.
    """

    share: float
    slack: float
    window: Milliseconds


class SlackBudget(ExtraLoadBudget):
    """The budget of one of several entries that share a bound on extra requests in a window.

    >>> budget = SlackBudget(share=0.2, slack=40.0)
    >>> budget.take(10), budget.take(1)
    (True, False)
    >>> budget.refill(0.5)
    >>> budget.take(4), budget.take(1)
    (True, False)
    """

    def __init__(self, share: float, slack: float) -> None:
        super().__init__(EARNED_SHARE * share, 1)
        self._slack = 0.0
        self._tokens = 0.0
        self.resize(slack)

    def resize(self, slack: float) -> None:
        """Set this entry's part of the slack; zero while it is unknown."""
        is_first = slack > 0 and not self._slack
        self._slack = slack
        self._capacity = BURST_SHARE * slack if slack > 0 else UNSHARED_CAPACITY
        self._reserve = SLACK_RETRY_RESERVE_SHARE * self._capacity
        initial = INITIAL_SHARE * self._capacity if is_first else 0.0
        self._tokens = min(self._tokens + initial, self._capacity)

    def refill(self, windows: float) -> None:
        """Add tokens for the time since the last call, given as a number of windows."""
        self._tokens = min(
            self._capacity, self._tokens + REFILL_SHARE_PER_WINDOW * self._slack * windows
        )
