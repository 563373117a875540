"""Only a leader with a valid lease grants tokens, by the limits of the newest configuration."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from fulmarhold.accounts.bucket import QuotaBound, QuotaLimit
from fulmarhold.accounts.leases import ReportItem
from fulmarhold.clock import ManualClock
from fulmarhold.control.messages import NotLeading
from fulmarhold.control.quota_messages import GrantQuotas, ReportIgnored, ReportQuotas
from fulmarhold.control.quotas import QuotaService
from fulmarhold.observe.counters import Counters
from fulmarhold.wire.messages import from_values, to_values

LEADER = "leader:1"


def report(number, epoch=0):
    message = ReportQuotas("entry", 1, number, epoch, False, (ReportItem("a", 0, 0, 5),))
    return from_values(to_values(message))


# Guards against tokens from a follower or a deposed leader, and against decoding for each report.
def test_only_the_leader_grants_and_decodes_each_version_once():
    clock, decoded, has_lease = ManualClock(), [], [True]
    core = SimpleNamespace(is_leader=False, term=3)
    node: Any = SimpleNamespace(
        is_formed=True, core=core, leader_endpoint=LEADER, can_serve_reads=lambda: has_lease[0]
    )
    machine: Any = SimpleNamespace(state=SimpleNamespace(routes_version=0, routes_document=b""))

    def decode(document):
        decoded.append(document)
        return {"a": QuotaLimit(100.0, 50.0)}

    service = QuotaService(node, machine, decode, QuotaBound(), clock, Counters())
    assert service.answer(report(1)) == NotLeading(LEADER)
    core.is_leader = True
    assert service.answer(report(2)).items[0].granted == 0
    machine.state = SimpleNamespace(routes_version=4, routes_document=b"four")
    clock.advance(30_000.0)
    grant = service.answer(report(3))
    assert isinstance(grant, GrantQuotas) and grant.items[0].granted == 5
    assert from_values(to_values(grant)) == grant
    assert service.answer(report(3)) == ReportIgnored()
    assert service.answer(report(4, grant.epoch)).epoch == 3
    assert decoded == [b"four"]

    has_lease[0] = False
    assert service.answer(report(5)) == NotLeading(LEADER)
    has_lease[0], core.term = True, 5
    assert service.answer(report(6)).items[0].granted == 0
