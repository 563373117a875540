"""Each promise's check finds the case that breaks it, and passes the case that does not."""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import pytest

from fulmarhold.clock import ManualClock
from fulmarhold.routes.configuration import (
    Route,
    RouteConfiguration,
    UpstreamService,
    WeightedService,
)
from fulmarhold.soak.checks import (
    APPLY,
    DRAIN,
    LOSS_SLACK,
    REGRESS_SLACK,
    STABLE_WINDOW,
    checks,
)
from fulmarhold.soak.observations import (
    EVERYTHING,
    Answer,
    Disturbance,
    Leave,
    Observations,
    Part,
    ReadBack,
    Run,
    Sent,
    Stored,
)
from fulmarhold.soak.run import find_broken

NOW = 100_000.0
A, B = b"a" * 16, b"b" * 16


def route(prefix, **changes):
    plain = Route(
        prefix, "h", prefix, True, 1_000.0, 100.0, 1, 2, (WeightedService("s1", 1),)
    )  # fmt: skip
    return replace(plain, **changes)


def stored(version, *, sent_at=0.0, acknowledged_at=1.0):
    routes = (
        route("/one/"),
        route("/effect/", is_idempotent=False),
        route("/all/", services=(), shards=("p1", "p2"), top_records=2, least_share=0.5),
        route(f"/at/{version}/"),
    )
    services = {name: UpstreamService(name, 9) for name in ("s1", "p1", "p2")}
    return Stored(RouteConfiguration(version, routes, services), sent_at, acknowledged_at)


def sent(target="/one/1", request_id="r", at=NOW, *, is_idempotent=True):
    return Sent(request_id, "GET", target, b"", is_idempotent, "entry", 1, at)


def ran(request, upstream="u1", service="s1", at=NOW + 1):
    return Run(
        request.request_id, request.method, request.target, request.body, service, upstream, at
    )


@pytest.fixture
def seen():
    made = Observations(ManualClock(NOW))
    made.stored[3] = stored(3)
    return made


def take(seen, request, *runs, **answer):
    seen.sent[request.request_id] = request
    seen.runs[request.request_id].extend(runs)
    if answer:
        seen.answers.append(Answer(request, **answer))


def broken(seen):
    return [found.partition(":")[0] for found in find_broken(seen)]


def test_a_whole_answer_breaks_nothing(seen):
    request = sent()
    seen.parts["sig"] = Part("r", "s1", 200, A)
    take(seen, request, ran(request), status=200, at=NOW + 2, signature="sig", body=A)
    assert broken(seen) == []


def test_a_second_run_of_what_is_not_idempotent(seen):
    request = sent("/effect/1", is_idempotent=False)
    take(seen, request, ran(request), ran(request, "u2"))
    assert broken(seen) == ["runs at most once"]


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_a_refusal_of_what_ran(seen, status):
    request = sent()
    take(seen, request, ran(request), status=status, at=NOW + 2)
    assert broken(seen) == ["a refusal is true"]


def test_a_request_that_nobody_sent_or_that_was_changed(seen):
    request = sent()
    seen.runs["other"].append(ran(sent(request_id="other")))
    take(seen, request, replace(ran(request), body=b"x"))
    assert broken(seen) == ["requests run as sent"] * 2


def test_a_service_that_no_version_allows(seen):
    request = sent()
    take(seen, request, ran(request, service="p1"))
    assert broken(seen) == ["requests run where a version sends them"]


@pytest.mark.parametrize(
    ("part", "body"),
    [(Part("other", "s1", 200, A), A), (Part("r", "s1", 200, A), A[:8]), (None, A),
     (Part("r", "s1", 500, A), A)],
)  # fmt: skip
def test_an_answer_that_is_another_or_not_whole(seen, part, body):
    request = sent()
    if part:
        seen.parts["sig"] = part
    take(seen, request, status=200, at=NOW + 2, signature="sig", body=body)
    assert broken(seen) == ["answers are whole and their own"]


@pytest.mark.parametrize(
    ("signatures", "missing", "body", "is_broken"),
    [
        (("x", "y"), 0, B + A, False),
        (("y",), 1, B, False),
        (("x", "y"), 0, A + B, True),
        (("x", "y"), 1, B + A, True),
        (("x", "x2"), 0, A + A, True),
        (("y",), 0, B, True),
        (("x", "lost"), 0, A, True),
    ],
)
def test_parts_that_do_not_make_up_the_answer(seen, signatures, missing, body, is_broken):
    request = sent("/all/1")
    for name, service, records in (("x", "p1", A), ("x2", "p1", A), ("y", "p2", B)):
        seen.parts[name] = Part("r", service, 200, records)
    take(seen, request, status=200, at=NOW, signatures=signatures, missing=missing, body=body)
    assert broken(seen) == ["answers are whole and their own"] * is_broken


def test_work_for_an_upstream_that_has_left_unless_something_was_disturbed(seen):
    seen.leaves.append(Leave("u1", NOW))
    request = sent()
    take(seen, request, ran(request, at=NOW + DRAIN))
    assert broken(seen) == []
    late = sent(request_id="late")
    take(seen, late, ran(late, at=NOW + DRAIN + 1))
    assert broken(seen) == ["nothing reaches an upstream that has left"]
    seen.disturbances.append(Disturbance("frozen", "other", NOW - STABLE_WINDOW, NOW))
    assert broken(seen) == ["nothing reaches an upstream that has left"]
    seen.disturbances.append(Disturbance("frozen", "entry", NOW - STABLE_WINDOW, NOW))
    assert broken(seen) == []


def test_an_entry_that_goes_back_to_an_older_version(seen):
    seen.stored[5] = stored(5, sent_at=NOW)
    take(seen, sent("/at/5/1", "new"), status=200, at=NOW, signature="n")
    take(seen, sent("/at/3/1", "old", NOW + REGRESS_SLACK + 1), status=200, at=NOW + 500)
    assert broken(seen).count("versions only grow in one life of an entry") == 1


def test_a_version_that_is_not_known_in_time(seen):
    take(seen, sent("/at/3/1", at=APPLY), status=404, at=APPLY + 5)
    assert broken(seen) == []
    take(seen, sent("/at/3/1", "late", APPLY + 2), status=404, at=APPLY + 5)
    assert broken(seen) == ["a version is in force in time"]


def test_reads_that_are_too_old_or_not_what_was_sent(seen):
    seen.reads = [ReadBack(2, APPLY, True), ReadBack(2, APPLY + 2, True), ReadBack(3, NOW, False)]
    assert broken(seen) == ["reads are never older than what was acknowledged"] * 2


def test_a_refused_version_that_is_obeyed(seen):
    seen.refused_versions.add(3)
    take(seen, sent("/at/3/1"), status=200, at=NOW, signature="sig")
    assert "what was refused is never in force" in broken(seen)


def test_a_planned_stop_that_cuts_a_request_unless_more_went_wrong(seen):
    seen.disturbances.append(Disturbance("stopped", "entry", NOW - 10, NOW + 5_000, True))
    take(seen, sent(), status=0, at=NOW + LOSS_SLACK - 1)
    assert broken(seen) == []
    passed_on = sent(request_id="passed on")
    take(seen, passed_on, ran(passed_on), status=0, at=NOW + 2)
    assert broken(seen) == ["a planned stop cuts nothing"]
    take(seen, sent(request_id="late"), status=0, at=NOW + LOSS_SLACK + 1)
    assert broken(seen) == ["a planned stop cuts nothing"] * 2
    seen.disturbances.append(Disturbance("all lost", EVERYTHING, NOW, NOW))
    assert broken(seen) == []


def test_every_promise_has_a_case_above():
    source = Path(__file__).read_text(encoding="utf-8")
    assert [name for name in checks if f'"{name}"' not in source] == []


def test_what_is_seen_at_once_is_told(seen):
    seen.broken.append("a version was refused")
    assert broken(seen) == ["seen at once"]
