"""Status lines of upstreams that are no final answer; the fleet's part on loopback."""

from __future__ import annotations

import pytest

from fulmarhold.errors import MalformedInput
from fulmarhold.tests.platform.test_unproven_refusals import NOT_RUN, STAMP, forward
from fulmarhold.tests.upstreams.test_connections import ask, make
from fulmarhold.upstreams.protocol import OUTCOME_NOT_RUN, ResponseReader

__all__ = ("make",)

NO_ANSWERS = [
    b"000", b"001", b"012", b"099", b"0", b"20", b"99", b"0200", b"1000", b"2000", b"-20", b"2x0",
]  # fmt: skip
TAILS = {
    "length": b"Content-Length: 4\r\n\r\ndone",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n",
    "end": b"\r\ndone",
    "nothing": b"\r\n",
}
OK = b"HTTP/1.1 200 OK\r\n" + STAMP + b"Content-Length: 4\r\n\r\ndone"
SAYS_NOT_RUN = NOT_RUN + b"Fulmarhold-Outcome: " + OUTCOME_NOT_RUN.encode() + b"\r\n"


def answer(status, fields=b"", tail="length"):
    return b"HTTP/1.1 " + status + b" X\r\n" + fields + TAILS[tail]


# Guards against handing a status such as 000 on, or waiting for a final answer behind it.
@pytest.mark.parametrize("tail", TAILS)
@pytest.mark.parametrize("status", NO_ANSWERS)
def test_a_status_line_that_is_no_answer_is_malformed(status, tail):
    reader = ResponseReader()
    with pytest.raises(MalformedInput):
        reader.feed(answer(status, tail=tail))
    assert not reader.is_complete and not reader.end_of_stream()


@pytest.mark.parametrize("status", [b"100", b"102", b"103", b"199"])
def test_interim_answers_are_skipped(status):
    reader = ResponseReader()
    reader.feed(answer(status, tail="nothing"))
    assert not reader.is_complete
    reader.feed(OK)
    assert reader.is_complete and reader.take().status == 200


def test_an_odd_status_line_behind_a_complete_answer_belongs_to_no_request():
    reader = ResponseReader()
    reader.feed(OK + answer(b"000"))
    response = reader.take()
    assert (response.status, response.body, response.keep_open) == (200, b"done", False)


# Guards against a status that callers can't read, and a promise made by an answer that is none.
@pytest.mark.parametrize("fields", [STAMP, STAMP + NOT_RUN])
@pytest.mark.parametrize("tail", ["length", "end"])
@pytest.mark.parametrize("status", [b"000", b"099", b"20"])
def test_a_caller_gets_no_such_status_and_does_not_wait_for_another(status, tail, fields):
    response, arrivals, fixture = forward([answer(status, fields, tail)], is_idempotent=False)
    assert (response.status, response.headers, arrivals) == (502, (), 1)
    assert fixture.clock.now() < fixture.request.deadline_at - 1_000.0
    assert fixture.counters.value("attempts_failed", reason="malformed response") == 1


def test_a_request_that_may_be_repeated_goes_to_another_upstream():
    response, arrivals, _ = forward([answer(b"000", STAMP + NOT_RUN)] * 2, is_idempotent=True)
    assert (response.status, arrivals) == (502, 2)


def test_a_sound_upstream_serves_what_another_has_not_answered():
    # Which of the two is asked first is random.
    for _ in range(5):
        response, arrivals, _ = forward([answer(b"000", STAMP), OK], is_idempotent=True)
        assert (response.status, response.body) == (200, b"done") and arrivals in (1, 2)


# The own interface takes its outcome from the same reader.
def test_no_outcome_is_read_from_an_answer_that_is_none(make):
    _, pool = make([answer(b"000", SAYS_NOT_RUN)])
    assert ask(pool) == ("malformed response", True)
