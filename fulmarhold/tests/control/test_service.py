"""Replies of control to the syncs of entries, on a fake of the replicated log."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import gevent
import pytest
from gevent.event import Event
from msgspec import UNSET

from fulmarhold.clock import Clock
from fulmarhold.control import service as service_module
from fulmarhold.control.messages import (
    ClaimGranted,
    ClaimKey,
    CommandPending,
    EntrySync,
    NotLeading,
    RosterEntry,
    SyncReply,
)
from fulmarhold.control.presence import Presence
from fulmarhold.control.service import ControlService
from fulmarhold.membership.evacuation import Evacuations
from fulmarhold.observe.counters import Counters
from fulmarhold.wire.messages import to_values

ENTRY = RosterEntry("e", "a", "127.0.0.1:1", "127.0.0.1:2")
DOCUMENT: dict[str, Any] = {"services": []}


@pytest.fixture
def service():
    """The service of a leader at version 7 and revision 3, whose roster holds the entry."""
    state = SimpleNamespace(
        version=7, revision=3, document=DOCUMENT, roster={"e": ENTRY}, evacuations=Evacuations()
    )
    node: Any = SimpleNamespace(can_serve_reads=lambda: True)
    machine: Any = SimpleNamespace(state=state)
    return ControlService(node, machine, Presence(Clock()), Clock(), Counters())


@pytest.mark.parametrize(
    ("version", "revision", "document", "roster"),
    [
        (7, 3, None, None),
        (6, 3, None, (ENTRY,)),
        (6, 2, DOCUMENT, (ENTRY,)),
        (0, 0, DOCUMENT, (ENTRY,)),
    ],
)
def test_a_sync_reply_omits_what_is_current(service, version, revision, document, roster):
    reply = service.sync_entry(EntrySync(ENTRY, 1.0, version, revision, "serving"))
    assert reply == SyncReply(7, 3, document, roster)


@pytest.mark.parametrize(("known", "is_told"), [(UNSET, True), (1, True), (2, False)])
def test_a_sync_reply_holds_the_evacuated_data_centres_if_they_are_newer(service, known, is_told):
    service._machine.state.evacuations = Evacuations(2, ("a",))
    sync = EntrySync(ENTRY, 1.0, 7, 3, "serving", known)
    reply = service.sync_entry(sync)
    assert reply == SyncReply(7, 3, None, None, Evacuations(2, ("a",)) if is_told else UNSET)
    assert ("evacuations" in to_values(reply)[1]) == is_told


class SlowNode:
    """A leader whose log takes long to commit."""

    def __init__(self):
        self.proposals = []
        self.committed = Event()
        self.leads = True

    def has_lease(self):
        return self.leads

    leader_endpoint = "other:1"

    def propose(self, data):
        self.proposals.append(data)
        self.committed.wait()
        return ClaimGranted()


CLAIM = ClaimKey("key", "digest", "attempt", "entry", 0.0)


@pytest.fixture
def slow(monkeypatch):
    monkeypatch.setattr(service_module, "PENDING_REPLY_TIME", 20.0)
    node: Any = SlowNode()
    machine: Any = SimpleNamespace(state=None)
    return node, ControlService(node, machine, Presence(Clock()), Clock(), Counters())


def test_a_claim_that_takes_long_is_pending_and_added_to_the_log_once(slow):
    node, service = slow
    assert service.claim(CLAIM) == CommandPending()
    again = gevent.spawn(service.claim, CLAIM)
    gevent.sleep(0)
    node.committed.set()
    assert again.get(timeout=10) == ClaimGranted()
    assert len(node.proposals) == 1
    assert service.claim(CLAIM) == ClaimGranted(), "a later one is answered by the log again"


def test_a_leader_that_lost_its_lease_does_not_keep_a_claim_pending(slow):
    node, service = slow
    node.leads = False
    assert service.claim(CLAIM) == NotLeading("other:1")
