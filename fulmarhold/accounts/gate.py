"""Decides on the requests of accounts at one entry, and counts the decisions."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarhold.accounts.account_state import Admitted, QuotaExceeded

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.accounts.account_state import Admission
    from fulmarhold.accounts.quota import EntryQuota
    from fulmarhold.clock import Clock, Milliseconds
    from fulmarhold.observe.counters import Counters

# How many accounts have counters of their own; the others are counted together.
MAX_COUNTED_ACCOUNTS = 200
OTHER_ACCOUNTS = "(others)"
# How long a request waits for tokens that the leader may have. A round trip to the leader takes a
# few milliseconds; a quarter of the shortest latency target is about as long as this.
MAX_WAIT: Milliseconds = 30.0


class AccountGate:
    """Admits requests of accounts, with the entry's clock and counters.

    `refresh` sends a report and waits for its answer for some milliseconds; it returns whether
    there was one. An entry that has just started, or has not had a request of an account for long,
    holds no token of it: without the wait, it would refuse requests that are within the quota.
    """

    def __init__(
        self,
        quota: EntryQuota,
        clock: Clock,
        counters: Counters,
        refresh: Callable[[Milliseconds], bool] = lambda _: False,
    ) -> None:
        self._refresh = refresh
        self._quota = quota
        self._clock = clock
        self._counters = counters
        self._counted: set[str] = set()

    def admit(self, account: str) -> Admission:
        """Return whether a request of an account is within its quota."""
        admission = self._quota.admit(account, self._clock.now())
        if (
            isinstance(admission, QuotaExceeded)
            and self._quota.may_be_granted(account, self._clock.now())
            and self._refresh(MAX_WAIT)
        ):
            admission = self._quota.admit(account, self._clock.now(), is_again=True)
        match admission:
            case Admitted():
                result = "admitted"
            case QuotaExceeded():
                result = "exceeded"
            case _:
                result = "unknown"
        self._counters.add("account_admissions", account=self._label(account), result=result)
        return admission

    def give_back(self, account: str, admitted: Admitted) -> None:
        """Return the token of a request of which nothing was sent."""
        self._quota.give_back(account, admitted, self._clock.now())
        self._counters.add("account_admissions", account=self._label(account), result="given_back")

    def _label(self, account: str) -> str:
        if account not in self._counted:
            if len(self._counted) >= MAX_COUNTED_ACCOUNTS:
                return OTHER_ACCOUNTS
            self._counted.add(account)
        return account
