"""What an attempt concludes from a response of an upstream."""

from __future__ import annotations

import pytest

from fulmarhold.clock import Clock
from fulmarhold.gather.outcome import MissingReason
from fulmarhold.gather.subrequest import Attempt, AttemptKind
from fulmarhold.tests.forwarding.scripted import ScriptedPool, make_replica
from fulmarhold.upstreams.protocol import RequestTemplate, ResponseReader

PART = "id;0;1;a"


class Owner:
    """Records how its attempt failed."""

    def __init__(self):
        self.clock = Clock()
        self.template = RequestTemplate("s", "t", b"{}")
        self.deadline_at = self.clock.now() + 1_000.0
        self.failures = []

    def part_arrived(self, attempt, body):
        raise AssertionError("a refusal is no part")

    def replica_draining(self, replica):
        raise AssertionError("nothing says that the upstream is leaving")

    def attempt_failed(self, attempt, reason, detail, *, may_have_run):
        self.failures.append((reason, may_have_run))


# Guards against taking a status alone for the statement that a request has not run.
@pytest.mark.parametrize("status", [408, 421, 429, 500, 503])
@pytest.mark.parametrize(
    ("outcome", "expected"),
    [
        (b"", (MissingReason.UPSTREAM_ERROR, True)),
        (b"Fulmarhold-Outcome: not_run\r\n", (MissingReason.SHED, False)),
    ],
)
def test_only_the_outcome_tells_that_a_request_has_not_run(status, outcome, expected):
    owner = Owner()
    attempt = Attempt(owner, 0, make_replica(ScriptedPool("u")), PART, AttemptKind.FIRST)
    attempt.sent_at = owner.clock.now()
    reader = ResponseReader()
    head = b"HTTP/1.1 %d X\r\nFulmarhold-Part: %s\r\n" % (status, PART.encode())
    reader.feed(head + outcome + b"Content-Length: 0\r\n\r\n")
    assert attempt.completed(reader.take())
    assert owner.failures == [expected]
