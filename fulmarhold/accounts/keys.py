"""Decides which client account a request belongs to, by its key.

Load: every request of a deployment with accounts, and floods of requests with unknown keys; a
decision takes one digest and one look-up.

Where withdrawn keys have to end in time on every entry, also on one that is cut off or was
suspended, a key is accepted only while the entry's knowledge of the keys was confirmed a bounded
time ago. Past that, whether a key is valid is unknown, so that it is refused as such.

Keys are held as digests only, so that no dump, representation or log line of this state contains
one.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from enum import Enum
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarhold.clock import Milliseconds

# The part of the time in which a withdrawn key has to end that the knowledge of keys may be old.
# The rest covers the drift between the clocks of instances.
CONFIRMED_SHARE = 0.8

# Digests differ between processes: neither a digest that leaks nor the duration of look-ups tells
# anything about a key.
_PROCESS_SECRET = secrets.token_bytes(32)


class KeyHolder(Protocol):
    """An account with the digests of its keys."""

    @property
    def name(self) -> str: ...
    @property
    def key_digests(self) -> frozenset[bytes]: ...


class KeyRefusal(Enum):
    """Why a request that needs a key is not accepted."""

    MISSING = "key_missing"
    UNKNOWN = "key_unknown"
    # It is not known whether the key is valid now.
    UNCONFIRMED = "keys_unconfirmed"


Account = TypeVar("Account", bound=KeyHolder)


def max_confirmed_age(revoke_within: Milliseconds | None) -> Milliseconds:
    """Return how old the knowledge of keys may be if withdrawn keys end in `revoke_within` ms.

    >>> max_confirmed_age(5_000.0), max_confirmed_age(None)
    (4000.0, inf)
    """
    return float("inf") if revoke_within is None else CONFIRMED_SHARE * revoke_within


def digest_of_key(key: bytes) -> bytes:
    """Return the digest under which this process knows a key."""
    return hashlib.blake2b(key, key=_PROCESS_SECRET, digest_size=32).digest()


def accounts_sharing_a_key(accounts: Iterable[KeyHolder]) -> list[tuple[str, str]]:
    """Return the names of each two accounts that have a key in common.

    >>> from dataclasses import dataclass
    >>> @dataclass
    ... class Holder:
    ...     name: str
    ...     key_digests: frozenset[bytes]
    >>> accounts_sharing_a_key([Holder("a", frozenset([b"1"])), Holder("b", frozenset([b"1"]))])
    [('a', 'b')]
    """
    first_holders: dict[bytes, str] = {}
    pairs: dict[tuple[str, str], None] = {}
    for account in accounts:
        for digest in account.key_digests:
            holder = first_holders.setdefault(digest, account.name)
            if holder != account.name:
                pairs[holder, account.name] = None
    return list(pairs)


class KeyTable(Generic[Account]):
    """The accounts of one configuration, by the digests of their keys.

    A key that two accounts share, in a configuration that an earlier release accepted, belongs to
    neither.
    """

    def __init__(self, accounts: Iterable[Account]) -> None:
        self._accounts: dict[bytes, tuple[bytes, Account]] = {}
        shared: set[bytes] = set()
        for account in accounts:
            for digest in account.key_digests:
                if digest in self._accounts:
                    shared.add(digest)
                self._accounts[digest] = digest, account
        for digest in shared:
            del self._accounts[digest]

    def check(
        self, key: bytes, confirmed_age: Milliseconds, max_age: Milliseconds
    ) -> Account | KeyRefusal:
        """Return the account of a request's key, or why the request is refused.

        `confirmed_age` is the time since the knowledge of the keys was last confirmed.
        """
        # An infinite bound accepts knowledge that was never confirmed.
        if not confirmed_age <= max_age:
            return KeyRefusal.UNCONFIRMED
        if not key:
            return KeyRefusal.MISSING
        return self.find(key) or KeyRefusal.UNKNOWN

    def find(self, key: bytes) -> Account | None:
        """Return the account that a key belongs to, or `None`."""
        if not key:
            return None
        digest = digest_of_key(key)
        known = self._accounts.get(digest)
        if known is None or not hmac.compare_digest(known[0], digest):
            return None
        return known[1]
