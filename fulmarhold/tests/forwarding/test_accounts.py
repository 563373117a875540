"""Requests of accounts are checked before anything is sent, and keep the account's urgency."""

from __future__ import annotations

from typing import Any

import logbook
import pytest

from fulmarhold.accounts.account_state import ADMITTED, QuotaExceeded, QuotaUnknown
from fulmarhold.accounts.keys import digest_of_key
from fulmarhold.clock import ManualClock
from fulmarhold.forwarding.forwarder import Forwarder
from fulmarhold.forwarding.reporting import (
    MAX_COUNTED_ACCOUNTS,
    OTHER_ACCOUNTS,
    RELIEF_TIME,
    RequestReports,
)
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
from fulmarhold.limits.sharing import FairShares
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

    def may_admit(self, owners, *, is_urgent, flow):
        self.asked.append(is_urgent)
        return False


def account(name, *keys, rank=None):
    return ClientAccount(name, frozenset(map(digest_of_key, keys)), rank)


ACCOUNTS = account("plain", b"k1"), account("urgent", b"k2", rank=0), account("late", b"k3", rank=9)


class Forwarding:
    def __init__(self, accounts=ACCOUNTS, *, age=0.0, max_age=float("inf")):
        self.age, self.is_overloaded = age, False
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
            confirmed_age=lambda: self.age,
            max_key_age=lambda: max_age,
            is_overloaded=lambda: self.is_overloaded,
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


# Guards against withdrawn keys on an entry that does not hear of it, and against refusing more.
@pytest.mark.parametrize(
    ("path", "key", "age", "max_age", "reason"),
    [
        ("keyed", b"k1", 4_000.0, 4_000.0, RefusedReason.NO_MEMORY),
        ("keyed", b"k1", 4_000.1, 4_000.0, RefusedReason.KEYS_UNCONFIRMED),
        ("keyed", b"wrong", 4_000.1, 4_000.0, RefusedReason.KEYS_UNCONFIRMED),
        ("keyed", b"", float("inf"), 4_000.0, RefusedReason.KEYS_UNCONFIRMED),
        ("public", b"k1", float("inf"), 4_000.0, RefusedReason.NO_MEMORY),
        ("keyed", b"k1", float("inf"), float("inf"), RefusedReason.NO_MEMORY),
    ],
)
def test_keys_are_accepted_while_the_knowledge_of_them_is_confirmed(
    path, key, age, max_age, reason
):
    forwarding = Forwarding(age=age, max_age=max_age)
    outcome = forwarding.send(path, key)
    assert isinstance(outcome, Refused)
    assert outcome.reason is reason and outcome.retry_after > 0


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


# Guards against metrics that grow with the number of accounts.
def test_results_are_counted_for_a_bounded_number_of_accounts():
    counters = Counters()
    events = EventLog("test", ManualClock(), counters)
    reports = RequestReports(ManualClock(), counters, events)
    for number in range(MAX_COUNTED_ACCOUNTS + 20):
        for _ in range(2):
            reports.count_for_account(f"a{number}", "answered")
    assert counters.value("account_requests", account="a7", result="answered") == 2
    assert counters.value("account_requests", account=OTHER_ACCOUNTS, result="answered") == 40
    assert counters.value("account_requests", account="a110", result="answered") == 0


def test_a_refused_request_is_counted_by_account_and_reason():
    forwarding = Forwarding()
    forwarding.send("keyed", b"k1")
    labels = {"account": "plain", "result": "refused_no_memory"}
    assert forwarding.counters.value("account_requests", **labels) == 1


def test_an_account_that_gives_way_is_logged_when_that_begins_and_ends():
    shares = FairShares()
    shares.use([("one", 0.0)])
    flow: Any = shares.flow("one", 0, 0.0)
    counters = Counters()
    reports = RequestReports(ManualClock(), counters, EventLog("test", ManualClock(), counters))
    with logbook.TestHandler() as lines:
        for now in (0.0, 100.0, 4_000.0):
            reports.note_excess(flow, now)
            reports.check_relief(now)
        reports.check_relief(4_000.0 + RELIEF_TIME + 1)
    messages = [record.message for record in lines.records]
    assert len(messages) == 2 and "gives way" in messages[0] and "no longer" in messages[1]


# Guards against an entry whose processor one account takes from the others.
def test_an_overloaded_entry_refuses_the_account_that_asks_for_more_than_usual():
    forwarding = Forwarding()
    for _ in range(100):
        for key in (b"k1", b"k2"):
            forwarding.send("keyed", key)
        forwarding.clock.advance(100.0)
    reasons = {}
    for is_overloaded in (False, True):
        forwarding.is_overloaded = is_overloaded
        for _ in range(200):
            reasons[is_overloaded] = [forwarding.send("keyed", key).reason for key in (b"k1",)]
        reasons[is_overloaded].append(forwarding.send("keyed", b"k2").reason)
    # The memory of this fixture refuses whatever gets that far.
    assert reasons[False] == [RefusedReason.NO_MEMORY] * 2
    assert reasons[True] == [RefusedReason.ACCOUNT_EXCESS, RefusedReason.NO_MEMORY]


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
