"""One budget per service for all extra load: hedges, retries and reruns.

Where entries share a bound on extra requests within a window (a share of first tries and a fixed
slack), each takes its part of the slack: half may be spent at once, a fifth comes back over a
window, and a started entry begins with half of what may be spent at once. So entries that all
start again within one window spend 0.5 + 0.2 + 0.25 of the slack at most.
"""

from __future__ import annotations

from dataclasses import dataclass

from fulmarhold.clock import Milliseconds

LEAST_CAPACITY = 10.0
CAPACITY_IN_SCATTERS = 2.0
SHARE_FOR_RETRIES = 0.5
# Of an entry's part of the slack.
BURST_SHARE = 0.5
REFILL_SHARE = 0.2
# Of what may be spent at once: one that starts again may have spent its part before.
SHARE_AT_START = 0.5
# A hedge saves the same time as a retry and often its need; with few tokens, half would leave none.
SLACK_SHARE_FOR_RETRIES = 0.25


class ExtraLoadBudget:
    """First tries earn a share of a token each, and every extra request costs one.

    >>> budget = ExtraLoadBudget(share=0.05, shards=10)
    >>> budget.take(20), budget.take(1)
    (True, False)
    >>> budget.earn(20)
    >>> budget.take(1)
    True
    """

    def __init__(self, share: float, shards: int) -> None:
        self._share = share
        self._capacity = max(LEAST_CAPACITY, CAPACITY_IN_SCATTERS * shards)
        self._reserve = SHARE_FOR_RETRIES * self._capacity
        self._tokens = self._capacity

    def earn(self, first_tries: int) -> None:
        """Note first tries that were sent."""
        self._tokens = min(self._capacity, self._tokens + self._share * first_tries)

    def take(self, requests: int) -> bool:
        """Spend tokens for extra requests; returns whether there were enough."""
        if self._tokens < requests:
            return False
        self._tokens -= requests
        return True

    def take_unreserved(self, requests: int) -> bool:
        """Spend tokens only from what is above the half kept for retries."""
        if self._tokens < self._reserve + requests:
            return False
        return self.take(requests)


@dataclass(frozen=True)
class ExtraLoadBound:
    """How many extra attempts a service may get from all entries within `window` ms.

    It is `share` of the requests for it, and `slack` attempts beside them.
    """

    share: float
    slack: float
    window: Milliseconds


class SlackBudget(ExtraLoadBudget):
    """The part of one entry where several share a bound on extra requests in a window.

    >>> budget = SlackBudget(share=0.2, slack=40.0)
    >>> budget.take(10), budget.take(1)
    (True, False)
    >>> budget.refill(0.5)
    >>> budget.take(4), budget.take(1)
    (True, False)
    """

    def __init__(self, share: float, slack: float) -> None:
        super().__init__(share, 1)
        self._slack = slack
        self.resize(slack)
        self._tokens = SHARE_AT_START * self._capacity

    def resize(self, slack: float) -> None:
        """Change this entry's part of the slack."""
        self._slack = slack
        self._capacity = BURST_SHARE * slack
        self._reserve = SLACK_SHARE_FOR_RETRIES * self._capacity
        self._tokens = min(self._tokens, self._capacity)

    def refill(self, windows: float) -> None:
        """Regain a part of the slack; `windows` is the time since the last call in windows."""
        self._tokens = min(self._capacity, self._tokens + REFILL_SHARE * self._slack * windows)
