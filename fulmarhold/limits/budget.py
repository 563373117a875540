"""One budget per service for all extra load: hedges, retries and reruns."""

from __future__ import annotations

LEAST_CAPACITY = 10.0
CAPACITY_IN_SCATTERS = 2.0
SHARE_FOR_RETRIES = 0.5
SHARE_AT_START = 0.25


class ExtraLoadBudget:
    """First tries earn a share of a token each, and every extra request costs one.

    >>> budget = ExtraLoadBudget(share=0.05, shards=10)
    >>> budget.take(20), budget.take(1)
    (True, False)
    >>> budget.earn(20)
    >>> budget.take(1)
    True
    """

    def __init__(self, share: float, shards: int, capacity: float | None = None) -> None:
        self._share = share
        self._capacity = capacity or max(LEAST_CAPACITY, CAPACITY_IN_SCATTERS * shards)
        # Where instances share a bound, one that starts again must not spend its part twice.
        self._tokens = self._capacity if capacity is None else capacity * SHARE_AT_START

    def resize(self, capacity: float) -> None:
        """Change how many tokens may be saved up."""
        self._capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def earn(self, first_tries: int) -> None:
        """Note first tries that were sent."""
        self._tokens = min(self._capacity, self._tokens + self._share * first_tries)

    def take(self, requests: int) -> bool:
        """Spend tokens for extra requests; returns whether there were enough."""
        if self._tokens < requests:
            return False
        self._tokens -= requests
        return True

    def take_spare(self, requests: int) -> bool:
        """Spend tokens only from what is above the half kept for retries."""
        if self._tokens < self._capacity * SHARE_FOR_RETRIES + requests:
            return False
        return self.take(requests)
