"""Replies of control to the syncs of entries, on a fake of the replicated log."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from fulmarhold.clock import Clock
from fulmarhold.control.messages import EntrySync, RosterEntry, SyncReply
from fulmarhold.control.presence import Presence
from fulmarhold.control.service import ControlService
from fulmarhold.observe.counters import Counters

ENTRY = RosterEntry("e", "a", "127.0.0.1:1", "127.0.0.1:2")
DOCUMENT: dict[str, Any] = {"services": []}


@pytest.fixture
def service():
    """The service of a leader at version 7 and revision 3, whose roster holds the entry."""
    state = SimpleNamespace(version=7, revision=3, document=DOCUMENT, roster={"e": ENTRY})
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
