"""Upstreams whose status says "not run" while nothing else does; connections on loopback."""

from __future__ import annotations

import pytest

from fulmarhold.clock import Clock
from fulmarhold.forwarding.call import ServiceCall
from fulmarhold.forwarding.single import SingleForward
from fulmarhold.forwarding.upstreams import UpstreamTable
from fulmarhold.membership.statements import READY, UpstreamStatement
from fulmarhold.observe.counters import Counters
from fulmarhold.platform.headers import SIGNATURE, PlatformCodec, write_outcome
from fulmarhold.routes.configuration import RouteConfiguration, UpstreamService
from fulmarhold.tests.forwarding.scripted import ForwardingFixture
from fulmarhold.tests.upstreams.test_connections import Upstream

STAMP = b"X-Fulmarhold-Server-Stamp: stamp\r\n"
ECHO = b"X-Fulmarhold-Attempt-Id: id\r\n"
NOT_RUN = b"X-Fulmarhold-Not-Executed: 1\r\n"
SECONDS = b"Retry-After: 1\r\n"
DATE = b"Retry-After: Mon, 07 Dec 2026 05:00:00 GMT\r\n"
OTHER = b"X-Fulmarhold-Instance-Id: other\r\n"
# What a caller is told of a request that may have run.
UNKNOWN = 502
REFUSED = 503


def forward(answers, *, is_idempotent):
    """Return the response to a caller, the number of arrivals at the upstreams, and the fixture."""
    upstreams = [Upstream([answer]) for answer in answers]
    table = UpstreamTable("a", Clock(), Counters())
    statements = [
        UpstreamStatement(f"u{number}", 1, 1, READY, "s", upstream.endpoint, "a", 2)
        for number, upstream in enumerate(upstreams)
    ]
    table.update(
        statements, RouteConfiguration(1, (), {"s": UpstreamService("s", 8)}), 1, keep_warm=False
    )
    fixture = ForwardingFixture(idempotent=is_idempotent, deadline=4_000.0)
    fixture.context.codec = PlatformCodec()
    forwarded = SingleForward(
        fixture.context,
        lambda owner: ServiceCall(
            "s", table.of_service("s"), fixture.budget, fixture.context, owner
        ),
        3_000.0,
        lambda: 50.0,
    )
    try:
        response = write_outcome(forwarded.run())
    finally:
        table.close()
        for upstream in upstreams:
            upstream.stop()
    return response, sum(upstream.requests for upstream in upstreams), fixture


def answer(status, fields):
    return b"HTTP/1.1 %d X\r\n%sContent-Length: 4\r\n\r\ndone" % (status, fields)


# Guards against telling a caller "not run" for a request that an upstream has run: with this it
# sends a request again that may run only once.
@pytest.mark.parametrize("is_idempotent", [False, True])
@pytest.mark.parametrize("fields", [b"", SECONDS, DATE, ECHO, NOT_RUN.replace(b"1", b"")])
@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_status_that_means_not_run_is_relayed_for_no_request_that_may_have_run(
    status, fields, is_idempotent
):
    answers = [answer(status, STAMP + fields)] * 2
    response, arrivals, fixture = forward(answers, is_idempotent=is_idempotent)
    signed = [value for name, value in response.headers if name == SIGNATURE]
    assert (response.status, signed) == (UNKNOWN, [])
    assert arrivals == (2 if is_idempotent else 1)
    assert fixture.counters.value("replies_withheld", status=str(status)) == arrivals


# Guards against withholding answers that promise nothing, and refusals that are backed.
@pytest.mark.parametrize(
    ("status", "fields", "expected", "is_signed"),
    [
        (400, STAMP, 400, True),
        (404, STAMP, 404, True),
        (500, STAMP, 500, True),
        (502, STAMP, 502, True),
        (504, STAMP, 504, True),
        (503, STAMP + NOT_RUN, REFUSED, False),
        (429, NOT_RUN, REFUSED, False),
        (421, OTHER, REFUSED, False),
    ],
)
def test_other_answers_and_stated_refusals_reach_the_caller(status, fields, expected, is_signed):
    response, arrivals, fixture = forward([answer(status, fields)], is_idempotent=False)
    is_relayed = any(name == SIGNATURE for name, _ in response.headers)
    assert (response.status, is_relayed, arrivals) == (expected, is_signed, 1)
    assert fixture.counters.value("replies_withheld", status=str(status)) == 0
