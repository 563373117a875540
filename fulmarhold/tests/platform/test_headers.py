"""Requests are forwarded unchanged, and responses are classified by their headers."""

from __future__ import annotations

import pytest

from fulmarhold.accounts.keys import KeyRefusal
from fulmarhold.forwarding.request import (
    Failed,
    FailedReason,
    Gathered,
    NoRoute,
    Pause,
    Refused,
    RefusedReason,
    Relayed,
    Unauthorized,
    Verdict,
)
from fulmarhold.platform.headers import PlatformCodec, read_request, write_outcome
from fulmarhold.upstreams.protocol import UpstreamResponse
from fulmarhold.web.front import RawRequest

ECHO = ("X-Fulmarhold-Attempt-Id", "id-1")
STAMP = ("X-Fulmarhold-Server-Stamp", "stamp")


def raw(*headers, body=b"", method="GET"):
    return RawRequest(method, "/a%20b?q=%2f", (("Host", "h.example"), ECHO, *headers), body, 100.0)


def response(status, *headers, body=b"x"):
    return UpstreamResponse(status, headers, body, True)


def test_the_remaining_warm_up_of_a_response_is_decoded():
    warm_up = ("X-Fulmarhold-Warmup-Remaining", "1500")
    codec = PlatformCodec()
    assert codec.read(response(200, ECHO, STAMP, warm_up), "id-1").warm_up == 1_500.0
    assert codec.read(response(200, ECHO, STAMP), "id-1").warm_up == 0.0


def test_a_request_is_forwarded_unchanged_except_for_connection_headers():
    request = read_request(
        raw(
            ("X-Fulmarhold-Request-Deadline", "1200"),
            ("X-Fulmarhold-Target-Instance", "smuggled"),
            ("Connection", "keep-alive, X-Hop"),
            ("X-Hop", "1"),
            ("X-Two", "1"),
            ("X-Two", "2"),
            ("Transfer-Encoding", "chunked"),
            body=b"abc",
            method="POST",
        )
    )
    assert (request.request_id, request.deadline_at) == ("id-1", 1_300.0)
    codec = PlatformCodec()
    lines = codec.encode(codec.prepare(request), "i-7", 250.9).split(b"\r\n")
    assert lines == [
        b"POST /a%20b?q=%2f HTTP/1.1",
        b"Host: h.example",
        b"X-Fulmarhold-Attempt-Id: id-1",
        b"X-Two: 1",
        b"X-Two: 2",
        b"Content-Length: 3",
        b"X-Fulmarhold-Request-Deadline: 250",
        b"X-Fulmarhold-Target-Instance: i-7",
        b"",
        b"abc",
    ]


KEY = ("Authorization", "Bearer secret")
FORGED = ("x-fulmarhold-TENANT", "forged")


@pytest.mark.parametrize(
    ("headers", "key"),
    [
        ([KEY], b"secret"),
        ([("authorization", "bearer  secret ")], b"secret"),
        ([("Authorization", "Basic secret")], b""),
        ([("Authorization", "Bearer")], b""),
        ([("Authorization", "secret")], b""),
        ([KEY, KEY], b""),
        ([("Connection", "authorization"), KEY], b"secret"),
        ([], b""),
    ],
)
def test_the_key_is_read_from_one_header_of_its_scheme(headers, key):
    request = read_request(raw(*headers, FORGED))
    assert request.key == key and "secret" not in repr(request)


# Guards against upstreams that see a key or take an account's name from a caller.
@pytest.mark.parametrize("account", ["one", ""])
def test_where_accounts_are_checked_only_the_system_names_one_and_keys_stay_here(account):
    request = read_request(raw(KEY, FORGED, ("X-Two", "1"), ("AUTHORIZATION", "Basic secret")))
    passed = PlatformCodec().for_account(request, account)
    own = (("X-Fulmarhold-Tenant", "one"),) if account else ()
    assert passed.headers == (("Host", "h.example"), ECHO, ("X-Two", "1"), *own)
    assert (passed.key, passed.account) == (b"", account)


def test_without_accounts_both_headers_pass_unchanged():
    assert read_request(raw(KEY, FORGED)).headers[-2:] == (KEY, FORGED)


@pytest.mark.parametrize(
    ("given", "verdict"),
    [
        (response(200, ECHO, STAMP), Verdict.SUCCESS),
        (response(200, ECHO), Verdict.WRONG_ECHO),
        (response(200, ECHO, STAMP, ("Content-Encoding", "gzip")), Verdict.WRONG_ECHO),
        (response(200, ("x-fulmarhold-attempt-id", "id-0"), STAMP), Verdict.WRONG_ECHO),
        (response(500, ECHO, STAMP), Verdict.FAILURE),
        (response(503, ECHO, ("X-Fulmarhold-Not-Executed", "1")), Verdict.NOT_RUN),
        (response(503, ECHO), Verdict.FAILURE),
        (response(421, ("X-Fulmarhold-Instance-Id", "i-2")), Verdict.OTHER_OWNER),
        (response(404, ECHO, STAMP), Verdict.FAILURE),
    ],
)
def test_a_response_is_classified_by_its_status_and_headers(given, verdict):
    assert PlatformCodec().read(given, "id-1").verdict is verdict


LEAVING = ("Server-Leaving", "1")


@pytest.mark.parametrize(
    ("given", "is_leaving", "pause"),
    [
        (response(200, ECHO, STAMP), False, None),
        (response(200, ECHO, STAMP, LEAVING), True, None),
        (response(404, ("x-fulmarhold-SERVER-leaving", " 1 ")), True, None),
        (response(200, ECHO, STAMP, ("Server-Leaving", "0")), False, None),
        (response(421, ("X-Fulmarhold-Instance-Id", "i-2"), LEAVING), True, None),
        # The answer to another request.
        (response(200, ("X-Fulmarhold-Attempt-Id", "id-0"), STAMP, LEAVING), False, None),
        (response(503, LEAVING, ("Retry-After", "2")), True, Pause(2_000.0)),
        (response(429, ("retry-after", " 0.25")), False, Pause(250.0)),
        (response(503, ("Retry-After", "0")), False, Pause(0.0)),
        (response(200, STAMP, ("Retry-After", "2")), False, None),
        (response(503, ("Retry-After", "")), False, None),
        (response(503, ("Retry-After", "60")), False, Pause(60_000.0)),
        (response(503, ("Retry-After", "61")), False, Pause(60_000.0, False, "too_long")),
        (response(503, ("Retry-After", "9" * 400)), False, Pause(60_000.0, False, "too_long")),
        (response(503, ("Retry-After", "-1")), False, Pause(0.0, True, "negative")),
        *(
            (response(503, ("Retry-After", value)), False, Pause(0.0, True, "not_a_number"))
            for value in ("nan", "inf", "1e3", "1_0", "2 s", "1, 2", "\u0661")
        ),
        (response(503, ("Retry-After", "Wed, 21 Oct 2026 07:28:00 GMT")), False,
         Pause(0.0, True, "date")),
    ],
)  # fmt: skip
def test_what_a_response_says_about_further_work_is_decoded(given, is_leaving, pause):
    reply = PlatformCodec().read(given, "id-1")
    assert (reply.is_leaving, reply.pause) == (is_leaving, pause)
    assert reply.sender == ("i-2" if given.status == 421 else "")
    assert reply.is_pausing == (pause is not None and not pause.is_ignored)


def test_a_response_is_relayed_without_hop_by_hop_headers():
    given = response(200, ECHO, STAMP, ("Keep-Alive", "timeout=3"), ("X-Own", "1"))
    reply = PlatformCodec().read(given, "id-1")
    written = write_outcome(Relayed(reply))
    assert (written.status, written.body) == (200, b"x")
    assert written.headers == (ECHO, STAMP, ("X-Own", "1"))


@pytest.mark.parametrize(
    ("outcome", "status", "headers"),
    [
        (
            Gathered(("s1", "s2"), 1, b"r"),
            200,
            (("X-Fulmarhold-Part-Stamps", "s1, s2"), ("X-Fulmarhold-Missing-Parts", "1")),
        ),
        (Refused(RefusedReason.NO_UPSTREAM, 250.0), 503, (("Retry-After", "0.250"),)),
        (Refused(RefusedReason.QUOTA_EXCEEDED, 250.0), 429, (("Retry-After", "0.250"),)),
        (Refused(RefusedReason.QUOTA_UNKNOWN, 250.0), 503, (("Retry-After", "0.250"),)),
        (NoRoute(3), 404, ()),
        (Unauthorized(KeyRefusal.MISSING), 401, (("WWW-Authenticate", "Bearer"),)),
        (Failed(FailedReason.DEADLINE), 504, ()),
        (Failed(FailedReason.CONNECTION_LOST), 502, ()),
        (Failed(FailedReason.PARTS_MISSING), 502, ()),
    ],
)
def test_an_outcome_is_converted_to_a_response(outcome, status, headers):
    written = write_outcome(outcome)
    assert (written.status, written.headers) == (status, headers)
