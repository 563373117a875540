"""Upstreams that stop anywhere in a response and close the connection.

Callers once got a 200 with an empty or short body that was framed as whole, from an upstream that
had stopped within the head of its response. Real connections to a scripted upstream on loopback.
"""

from __future__ import annotations

from random import Random
from types import SimpleNamespace

import gevent
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarhold.clock import Clock
from fulmarhold.forwarding.call import ServiceCall
from fulmarhold.forwarding.context import CallContext
from fulmarhold.forwarding.request import Failed, FailedReason, ForwardRequest, Gathered, Relayed
from fulmarhold.forwarding.scatter import ShardQuery
from fulmarhold.forwarding.single import SingleForward
from fulmarhold.forwarding.upstreams import EJECTION_TIME, ServingUpstream
from fulmarhold.gather.outcome import MissingReason
from fulmarhold.gather.subrequest import Attempt, AttemptKind
from fulmarhold.limits.budget import SlackBudget
from fulmarhold.membership.statements import READY, UpstreamStatement
from fulmarhold.observe.counters import Counters
from fulmarhold.observe.estimates import ReplyEstimates
from fulmarhold.observe.events import EventLog
from fulmarhold.platform.headers import PlatformCodec, write_outcome
from fulmarhold.routes.configuration import Route
from fulmarhold.routing.choice import choosers
from fulmarhold.routing.replica import Replica
from fulmarhold.tests.upstreams.test_connections import Upstream
from fulmarhold.upstreams.pool import ConnectionPool
from fulmarhold.upstreams.protocol import RequestTemplate

CASES = 60
DEADLINE = 2_000.0
FIELDS = (
    b"X-Fulmarhold-Attempt-Id: id\r\nX-Fulmarhold-Server-Stamp: stamp-%d\r\n"
    b"Fulmarhold-Part: id;0;1;l\r\n"
)
RECORD = b"0123456789abcdef"
WITH_LENGTH = b"HTTP/1.1 200 OK\r\n" + FIELDS + b"Content-Length: 32\r\n\r\n" + 2 * RECORD
CHUNKED = (
    b"HTTP/1.1 200 OK\r\n" + FIELDS + b"Transfer-Encoding: chunked\r\n\r\n"
    b"10\r\n" + RECORD + b"\r\n10\r\n" + RECORD + b"\r\n0\r\nX-Trailer: 1\r\n\r\n"
)
WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\n" + FIELDS + b"\r\n"

cuts = st.one_of(
    st.tuples(st.sampled_from([WITH_LENGTH, CHUNKED]), st.integers(0, 10_000)),
    st.tuples(st.just(WITHOUT_LENGTH), st.integers(0, 10_000)),
).map(lambda cut: (cut[0] % 0)[: cut[1] % len(cut[0] % 0)])
earlier_responses = st.integers(0, 2)


class CuttingUpstream(Upstream):
    """Answers some requests in full, then sends a part of a response and closes."""

    def __init__(self, cut, earlier, stamp=0):
        super().__init__([WITH_LENGTH % stamp] * earlier + [cut])
        self._earlier = earlier

    def _serve(self, connection):
        while connection.recv(65_536):
            answer = self._answers[min(self.requests, len(self._answers) - 1)]
            self.requests += 1
            connection.sendall(answer)
            if self.requests > self._earlier:
                break
        connection.close()


class Fleet:
    """Services whose upstreams are given, and the calls of one caller's requests to them."""

    def __init__(self, services):
        self.clock, self.counters = Clock(), Counters()
        self.services = services
        self.replicas = {
            name: [self._replica(upstream) for upstream in upstreams]
            for name, upstreams in services.items()
        }

    def _replica(self, upstream):
        pool = ConnectionPool(upstream.endpoint, 1, 0, self.clock, self.counters)
        statement = UpstreamStatement("i", 1, 1, READY, "s", upstream.endpoint, "a", 2)
        return Replica(ServingUpstream(statement), pool, EJECTION_TIME, 0.0)

    def context(self):
        now = self.clock.now()
        request = ForwardRequest("id", "GET", "/", "h", (), b"", now, now + DEADLINE)
        return CallContext(
            request, PlatformCodec(), now + DEADLINE, True, 1, choosers.find("least_expected"),
            ReplyEstimates(0.93, 20.0), self.clock, Random(1), self.counters,
            EventLog("test", self.clock, self.counters), useful_until=now + DEADLINE / 2,
        )  # fmt: skip

    def _call(self, name, context, owner):
        return ServiceCall(name, self.replicas[name], SlackBudget(0.2, 20.0), context, owner)

    def ask_single(self):
        context = self.context()
        return SingleForward(
            context, lambda owner: self._call("s0", context, owner), DEADLINE, lambda: 50.0
        ).run()

    def ask_all(self):
        context = self.context()
        route = Route("r", "h", "/", True, DEADLINE, 500.0, 1, 1, (), tuple(self.services), 4, 0.5)
        return ShardQuery(
            context, route, lambda name, owner: self._call(name, context, owner),
            DEADLINE, lambda: 50.0,
        ).run()  # fmt: skip

    def close(self):
        for replicas in self.replicas.values():
            for replica in replicas:
                replica.pool.close()
        for upstreams in self.services.values():
            for upstream in upstreams:
                upstream.stop()


@settings(max_examples=CASES, deadline=None)
@given(cuts, earlier_responses)
def test_a_cut_response_of_one_upstream_never_succeeds(cut, earlier):
    fleet = Fleet({"s0": [CuttingUpstream(cut, earlier)]})
    try:
        for _ in range(earlier):
            outcome = fleet.ask_single()
            assert isinstance(outcome, Relayed) and outcome.reply.body == 2 * RECORD
        outcome = fleet.ask_single()
        assert outcome == Failed(FailedReason.CONNECTION_LOST)
        assert write_outcome(outcome).status == 502
    finally:
        fleet.close()


@settings(max_examples=CASES, deadline=None)
@given(cuts, earlier_responses)
def test_a_cut_part_is_missing_from_a_query_over_shards(cut, earlier):
    fleet = Fleet(
        {
            "s0": [CuttingUpstream(cut, earlier, 0)],
            "s1": [CuttingUpstream(b"", earlier + 1, 1)],
        }
    )
    try:
        for _ in range(earlier):
            assert fleet.ask_all().missing == 0
        outcome = fleet.ask_all()
        assert isinstance(outcome, Gathered)
        assert (outcome.signatures, outcome.missing) == (("stamp-1",), 1)
        assert outcome.records == 2 * RECORD
    finally:
        fleet.close()


class AttemptRecorder:
    """The owner of an attempt of fulmarhold's own interface."""

    def __init__(self):
        self.clock = Clock()
        self.template = RequestTemplate("s", "t", b"{}")
        self.deadline_at = self.clock.now() + DEADLINE
        self.results = []

    def part_arrived(self, attempt, body):
        self.results.append(body)

    def attempt_failed(self, attempt, reason, detail, *, may_have_run):
        self.results.append((reason, may_have_run))

    def replica_draining(self, replica):
        self.results.append("draining")


@settings(max_examples=CASES, deadline=None)
@given(cuts, earlier_responses)
def test_a_cut_part_is_lost_on_the_own_interface(cut, earlier):
    upstream = CuttingUpstream(cut, earlier)
    fleet = Fleet({"s0": [upstream]})
    replica = fleet.replicas["s0"][0]
    replica.upstream = SimpleNamespace(record=replica.upstream.record, is_live=lambda _: True)
    owner = AttemptRecorder()
    try:
        for _ in range(earlier + 1):
            expected = len(owner.results) + 1
            replica.pool.submit(Attempt(owner, 0, replica, "id;0;1;l", AttemptKind.FIRST))
            while len(owner.results) < expected:
                gevent.sleep(0.001)
        assert owner.results[:-1] == [2 * RECORD] * earlier
        assert owner.results[-1] == (MissingReason.CONNECTION_LOST, True)
    finally:
        fleet.close()


@pytest.mark.parametrize("whole", [WITH_LENGTH % 0, CHUNKED % 0], ids=["length", "chunked"])
def test_a_whole_response_succeeds_even_if_the_upstream_then_closes(whole):
    fleet = Fleet({"s0": [CuttingUpstream(whole, 0)]})
    try:
        outcome = fleet.ask_single()
        assert isinstance(outcome, Relayed) and outcome.reply.body == 2 * RECORD
    finally:
        fleet.close()
