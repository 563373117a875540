"""Keys lead to their account only, and are neither kept nor shown."""

from __future__ import annotations

import pytest

from fulmarhold.accounts.keys import KeyTable, digest_of_key
from fulmarhold.routes.configuration import ClientAccount


def account(name, *keys):
    return ClientAccount(name, frozenset(map(digest_of_key, keys)))


ACCOUNTS = account("one", b"k1", b"k2"), account("two", b"k3", b"both"), account("three", b"both")


@pytest.mark.parametrize(
    ("key", "name"),
    [(b"k1", "one"), (b"k2", "one"), (b"k3", "two"), (b"K3", None), (b"k", None), (b"", None),
     (digest_of_key(b"k1"), None), (b"both", None)],
)  # fmt: skip
def test_a_key_leads_to_the_one_account_that_has_it(key, name):
    found = KeyTable(ACCOUNTS).find(key)
    assert (found.name if found else None) == name


def test_no_representation_shows_a_key_or_its_digest():
    shown = repr((ACCOUNTS, vars(KeyTable(ACCOUNTS))["_accounts"].values()))
    assert "k1" not in repr(ACCOUNTS)
    assert "key_digests" not in shown
