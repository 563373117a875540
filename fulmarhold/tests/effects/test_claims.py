"""Claims while control has no leader: how long an entry waits before it refuses the request."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from fulmarhold.clock import ManualClock
from fulmarhold.control.identifiers import new_identifier
from fulmarhold.effects.dispatch import DISPATCH_RESERVE, EffectRunner
from fulmarhold.errors import PeerUnavailable
from fulmarhold.gather.outcome import NotRunReason, Refused
from fulmarhold.observe.counters import Counters
from fulmarhold.routing.table import SnapshotReplicas

CLAIM_TIMEOUT = 3_000.0
DEADLINE = 2_500.0


class LeaderlessControl:
    """Control without a leader; records the timeout of each call."""

    def __init__(self, unanswered_for):
        self.unanswered_for = unanswered_for
        self.timeouts = []

    def call(self, _, timeout):
        self.timeouts.append(timeout)
        raise PeerUnavailable("no leader")


def run(control):
    clock = ManualClock()
    snapshot = SnapshotReplicas("l", 1, 4, {})
    table: Any = SimpleNamespace(snapshots=lambda _: (snapshot,))
    policy: Any = SimpleNamespace(service=SimpleNamespace(name="s"))
    directory: Any = None
    runner = EffectRunner("entry", table, directory, control, clock, Counters())
    key = new_identifier()
    with pytest.raises(Refused) as refused:
        runner.run("redeem", key, "", b"", policy, clock.now() + DEADLINE, CLAIM_TIMEOUT)
    assert refused.value.reason is NotRunReason.CLAIM_UNAVAILABLE


def test_a_claim_waits_for_a_new_leader_until_the_deadline():
    control = LeaderlessControl(unanswered_for=700.0)
    run(control)
    assert control.timeouts[0] == DEADLINE - DISPATCH_RESERVE


def test_a_claim_is_refused_at_once_after_a_long_time_without_a_leader():
    control = LeaderlessControl(unanswered_for=CLAIM_TIMEOUT + 1)
    run(control)
    assert control.timeouts == []
