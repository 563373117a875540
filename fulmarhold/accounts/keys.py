"""Looks up the client account that a key belongs to.

Keys are held as digests only, so that no dump, representation or log line of this state contains
one.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from typing import TYPE_CHECKING, Generic, Protocol, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable

# Digests differ between processes: neither a digest that leaks nor the duration of look-ups tells
# anything about a key.
_PROCESS_SECRET = secrets.token_bytes(32)


class KeyHolder(Protocol):
    """An account with the digests of its keys."""

    @property
    def name(self) -> str: ...
    @property
    def key_digests(self) -> frozenset[bytes]: ...


Account = TypeVar("Account", bound=KeyHolder)


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

    def find(self, key: bytes) -> Account | None:
        """Return the account that a key belongs to, or `None`."""
        if not key:
            return None
        digest = digest_of_key(key)
        known = self._accounts.get(digest)
        if known is None or not hmac.compare_digest(known[0], digest):
            return None
        return known[1]
