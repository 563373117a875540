"""Requests of accounts are checked before anything is sent, and keep the account's urgency."""

from __future__ import annotations

from typing import Any

import pytest

from fulmarhold.accounts.account_state import ADMITTED, QuotaExceeded, QuotaUnknown
from fulmarhold.accounts.keys import digest_of_key
from fulmarhold.clock import ManualClock
from fulmarhold.forwarding.forwarder import Forwarder
from fulmarhold.forwarding.request import (
    Failed,
    FailedReason,
    ForwardRequest,
    NoRoute,
    Refused,
    RefusedReason,
    Unauthorized,
)
from fulmarhold.limits.budget import ExtraLoadBound
from fulmarhold.observe.counters import Counters
from fulmarhold.observe.events import EventLog
from fulmarhold.routes.configuration import (
    ClientAccount,
    Route,
    RouteConfiguration,
    WeightedService,
)
from fulmarhold.routes.table import RouteTable
from fulmarhold.tests.forwarding.scripted import ScriptedCodec


class RecordingMemory:
    """Refuses every request, and notes for whom and how urgent it was."""

    def __init__(self):
        self.asked = []

    def may_admit(self, owners, *, is_urgent):
        self.asked.append(is_urgent)
        return False


def account(name, *keys, rank=None):
    return ClientAccount(name, frozenset(map(digest_of_key, keys)), rank)


ACCOUNTS = account("plain", b"k1"), account("urgent", b"k2", rank=0), account("late", b"k3", rank=9)


class Forwarding:
    def __init__(self, accounts=ACCOUNTS):
        self.clock, self.counters, self.memory = ManualClock(), Counters(), RecordingMemory()
        nothing: Any = None
        memory: Any = self.memory
        self.forwarder = Forwarder(
            nothing,
            ScriptedCodec(),
            ExtraLoadBound(0.2, 10.0, 10_000.0),
            self.clock,
            self.counters,
            EventLog("test", self.clock, self.counters),
            memory=memory,
        )
        if accounts != "unknown":
            self.use(accounts)

    def use(self, accounts):
        services = (WeightedService("s", 1),)
        routes = tuple(
            Route(name, "h", f"/{name}/", True, 400.0, 100.0, rank, 2, services,
                  is_public=name == "public")
            for name, rank in (("keyed", 1), ("other", 2), ("public", 3))
        )  # fmt: skip
        self.forwarder.use(RouteTable(RouteConfiguration(1, routes, {}, accounts=accounts)))

    def send(self, path, key=b""):
        now = self.clock.now()
        request = ForwardRequest("id", "GET", f"/{path}/", "h", (), b"", now, now + 400.0, key=key)
        return self.forwarder.forward(request, lambda callback: None)


@pytest.mark.parametrize(
    ("accounts", "path", "key", "outcome"),
    [
        (ACCOUNTS, "keyed", b"k1", Refused),
        (ACCOUNTS, "keyed", b"", Unauthorized),
        (ACCOUNTS, "keyed", b"wrong", Unauthorized),
        (ACCOUNTS, "public", b"", Refused),
        (ACCOUNTS, "public", b"wrong", Refused),
        (ACCOUNTS, "nowhere", b"wrong", NoRoute),
        ((), "keyed", b"k1", Unauthorized),
        (None, "keyed", b"", Refused),
        (None, "keyed", b"wrong", Refused),
        ("unknown", "keyed", b"wrong", Refused),
    ],
)
def test_a_key_is_checked_after_the_route_and_only_where_it_is_needed(accounts, path, key, outcome):
    assert isinstance(Forwarding(accounts).send(path, key), outcome)


def test_keys_change_with_the_configuration():
    forwarding = Forwarding()
    moved = account("plain"), account("urgent", b"k1"), account("late", b"k3")
    forwarding.use(moved)
    outcomes = [type(forwarding.send("keyed", key)) for key in (b"k1", b"k2", b"k3")]
    assert outcomes == [Refused, Unauthorized, Refused]
    assert forwarding.counters.value("requests", outcome="unauthorized", reason="key_unknown") == 1


# Guards against a background account that counts as urgent because of the route it uses.
@pytest.mark.parametrize(
    ("accounts", "path", "key", "is_urgent"),
    [
        (ACCOUNTS, "other", b"k2", True),
        (ACCOUNTS, "keyed", b"k1", False),
        (ACCOUNTS, "keyed", b"k3", False),
        (ACCOUNTS[:1], "keyed", b"k1", True),
        (ACCOUNTS[:1], "other", b"k1", False),
        # No route's priority counts where every account has its own.
        (ACCOUNTS[2:], "keyed", b"k3", False),
        (ACCOUNTS[2:], "public", b"", True),
        (None, "keyed", b"", True),
        (None, "other", b"", False),
    ],
)
def test_the_urgency_of_the_account_precedes_that_of_the_route(accounts, path, key, is_urgent):
    forwarding = Forwarding(accounts)
    forwarding.send(path, key)
    assert forwarding.memory.asked == [is_urgent]


class ScriptedGate:
    """Answers with a fixed decision, and notes what is given back."""

    def __init__(self, admission):
        self.admission, self.given_back = admission, []

    def admit(self, name):
        return self.admission

    def give_back(self, name, admitted):
        self.given_back.append(name)


class ScriptedOperation:
    def __init__(self, outcome):
        self.run = lambda: outcome

    def caller_gone(self):
        pass

    release = end = caller_gone


NO_UPSTREAM = Refused(RefusedReason.NO_UPSTREAM, 40.0)
LOST = Failed(FailedReason.CONNECTION_LOST)


# Guards against requests beyond the quota that are sent, and tokens lost where nothing was sent.
@pytest.mark.parametrize(
    ("path", "admission", "result", "outcome", "given_back"),
    [
        ("keyed", ADMITTED, LOST, LOST, []),
        ("keyed", ADMITTED, NO_UPSTREAM, NO_UPSTREAM, ["plain"]),
        ("keyed", QuotaExceeded(70.0), None, Refused(RefusedReason.QUOTA_EXCEEDED, 70.0), []),
        ("keyed", QuotaUnknown(70.0), None, Refused(RefusedReason.QUOTA_UNKNOWN, 70.0), []),
        ("public", QuotaExceeded(70.0), LOST, LOST, []),
    ],
)
def test_a_request_is_admitted_once_before_it_is_sent(
    monkeypatch, path, admission, result, outcome, given_back
):
    forwarding = Forwarding()
    gate: Any = ScriptedGate(admission)
    forwarding.forwarder._memory, forwarding.forwarder._gate = None, gate
    operation = ScriptedOperation(result)
    monkeypatch.setattr(forwarding.forwarder, "_operation", lambda *_, **__: operation)
    assert forwarding.send(path, b"k1") == outcome
    assert gate.given_back == given_back
