"""Finds the client account of each request, and refuses those that need one and have none."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarhold.accounts.keys import KeyRefusal, KeyTable
from fulmarhold.forwarding.request import Refused, RefusedReason, Unauthorized
from fulmarhold.limits.retry_after import retry_delay_after_refusal
from fulmarhold.observe.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from random import Random

    from fulmarhold.clock import Milliseconds
    from fulmarhold.forwarding.codec import UpstreamCodec
    from fulmarhold.forwarding.request import ForwardRequest
    from fulmarhold.routes.configuration import ClientAccount, Route, RouteConfiguration

log = get_logger("accounts")


@dataclass(frozen=True)
class Identified:
    """A request as upstreams may see it, and its priority; `account` is set if it needs one."""

    request: ForwardRequest
    rank: int
    account: ClientAccount | None = None


class Identification:
    """Identifies requests by the accounts of the current configuration, if it has any.

    `confirmed_age` tells how long ago the configuration was confirmed to be the newest, `max_age`
    how old it may be for keys to be accepted.
    """

    def __init__(
        self,
        codec: UpstreamCodec,
        random: Random,
        confirmed_age: Callable[[], Milliseconds],
        max_age: Callable[[], Milliseconds],
    ) -> None:
        self._codec = codec
        self._random = random
        self._confirmed_age = confirmed_age
        self._max_age = max_age
        self._keys: KeyTable[ClientAccount] | None = None
        self._version = 0
        self._is_unconfirmed = False

    def use(self, configuration: RouteConfiguration) -> None:
        """Switch to the accounts of a newer configuration."""
        accounts = configuration.accounts
        self._keys = None if accounts is None else KeyTable(accounts)
        self._version = configuration.version

    def identify(
        self, request: ForwardRequest, route: Route
    ) -> Identified | Refused | Unauthorized:
        """Return the request with its account, or the outcome of one that is not accepted."""
        if self._keys is None:
            return Identified(request, route.rank)
        if route.is_public:
            return Identified(self._codec.for_account(request, ""), route.rank)
        age, max_age = self._confirmed_age(), self._max_age()
        found = self._keys.check(request.key, age, max_age)
        self._report_confirmation(age, max_age, is_unconfirmed=found is KeyRefusal.UNCONFIRMED)
        if found is KeyRefusal.UNCONFIRMED:
            pause = retry_delay_after_refusal(self._random)
            return Refused(RefusedReason.KEYS_UNCONFIRMED, pause)
        if isinstance(found, KeyRefusal):
            return Unauthorized(found)
        rank = route.rank if found.rank is None else found.rank
        return Identified(self._codec.for_account(request, found.name), rank, found)

    def _report_confirmation(
        self, age: Milliseconds, max_age: Milliseconds, *, is_unconfirmed: bool
    ) -> None:
        if is_unconfirmed == self._is_unconfirmed:
            return
        self._is_unconfirmed = is_unconfirmed
        if is_unconfirmed:
            log.warning(
                "refusing requests with keys: version {} was confirmed {:.0f} ms ago, over {:.0f}",
                self._version,
                age,
                max_age,
            )
        else:
            log.info(
                "accepting keys again: version {} was confirmed {:.0f} ms ago", self._version, age
            )


def possible_ranks(configuration: RouteConfiguration) -> Iterable[int]:
    """Yield the priorities that requests can have; that of an account precedes the route's."""
    accounts = configuration.accounts
    for route in configuration.routes:
        if accounts is None or route.is_public or any(item.rank is None for item in accounts):
            yield route.rank
    for account in accounts or ():
        if account.rank is not None:
            yield account.rank
