"""Each check reports a case that violates its guarantee and accepts one that does not."""

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
    APPLY_BOUND,
    DRAIN_BOUND,
    EARLY_IN_STOP,
    EVACUATION_BOUND,
    GRACE,
    LATE_IN_STOP,
    LOSS_TOLERANCE,
    MOST_IN_PAUSE,
    PAUSE_BOUND,
    REGRESSION_TOLERANCE,
    STOP_WINDOW,
    UNDISTURBED_WINDOW,
    checks,
)
from fulmarhold.soak.observations import (
    ALL_SUBJECTS,
    Disturbance,
    DrainAcknowledgement,
    Evacuation,
    Observations,
    PauseAnswer,
    ReadBack,
    Response,
    Run,
    SentRequest,
    SubmittedConfiguration,
    UpstreamReply,
)
from fulmarhold.soak.run import run_checks

NOW = 100_000.0
A, B = b"a" * 16, b"b" * 16


def make_route(prefix, **changes):
    default = Route(
        prefix, "h", prefix, True, 1_000.0, 100.0, 1, 2, (WeightedService("s1", 1),)
    )  # fmt: skip
    return replace(default, **changes)


def make_submitted(version, *, sent_at=0.0, acknowledged_at=1.0):
    routes = (
        make_route("/one/"),
        make_route("/effect/", is_idempotent=False),
        make_route("/all/", services=(), shards=("p1", "p2"), top_records=2, least_share=0.5),
        make_route(f"/at/{version}/"),
    )
    services = {name: UpstreamService(name, 9) for name in ("s1", "p1", "p2")}
    return SubmittedConfiguration(
        RouteConfiguration(version, routes, services), sent_at, acknowledged_at
    )


def make_request(target="/one/1", request_id="r", at=NOW, *, is_idempotent=True):
    return SentRequest(request_id, "GET", target, b"", is_idempotent, "entry", 1, at)


def make_run(request, upstream="u1", service="s1", at=NOW + 1):
    return Run(
        request.request_id, request.method, request.target, request.body, service, upstream, at
    )


@pytest.fixture
def observations():
    observations = Observations(ManualClock(NOW))
    observations.submitted[3] = make_submitted(3)
    return observations


def record(observations, request, *runs, **response):
    observations.sent_requests[request.request_id] = request
    observations.runs[request.request_id].extend(runs)
    if response:
        observations.responses.append(Response(request, **response))


def violated_checks(observations):
    return [found.partition(":")[0] for found in run_checks(observations)]


def test_complete_response_violates_nothing(observations):
    request = make_request()
    observations.upstream_replies["sig"] = UpstreamReply("r", "s1", 200, A)
    record(
        observations, request, make_run(request), status=200, at=NOW + 2, signature="sig", body=A
    )
    assert violated_checks(observations) == []


def test_second_run_of_a_non_idempotent_request(observations):
    request = make_request("/effect/1", is_idempotent=False)
    record(observations, request, make_run(request), make_run(request, "u2"))
    assert violated_checks(observations) == ["runs at most once"]


@pytest.mark.parametrize("status", [408, 421, 429, 503])
def test_not_run_status_for_a_request_that_ran(observations, status):
    request = make_request()
    record(observations, request, make_run(request), status=status, at=NOW + 2)
    assert violated_checks(observations) == ["a refusal is true"]


def test_run_of_an_unsent_or_modified_request(observations):
    request = make_request()
    observations.runs["other"].append(make_run(make_request(request_id="other")))
    record(observations, request, replace(make_run(request), body=b"x"))
    assert violated_checks(observations) == ["requests run as sent"] * 2


def test_run_at_a_service_that_no_version_routes_to(observations):
    request = make_request()
    record(observations, request, make_run(request, service="p1"))
    assert violated_checks(observations) == ["requests run where a version sends them"]


@pytest.mark.parametrize(
    ("reply", "body"),
    [(UpstreamReply("other", "s1", 200, A), A), (UpstreamReply("r", "s1", 200, A), A[:8]),
     (None, A), (UpstreamReply("r", "s1", 500, A), A)],
)  # fmt: skip
def test_response_that_is_foreign_incomplete_or_unknown(observations, reply, body):
    request = make_request()
    if reply:
        observations.upstream_replies["sig"] = reply
    record(observations, request, status=200, at=NOW + 2, signature="sig", body=body)
    assert violated_checks(observations) == ["answers are whole and their own"]


@pytest.mark.parametrize(
    ("signatures", "missing", "body", "is_violated"),
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
def test_merged_response_must_match_its_parts(observations, signatures, missing, body, is_violated):
    request = make_request("/all/1")
    for name, service, records in (("x", "p1", A), ("x2", "p1", A), ("y", "p2", B)):
        observations.upstream_replies[name] = UpstreamReply("r", service, 200, records)
    record(
        observations, request, status=200, at=NOW, signatures=signatures, missing=missing, body=body
    )
    assert violated_checks(observations) == ["answers are whole and their own"] * is_violated


def test_run_at_a_drained_upstream_is_a_violation_unless_disturbed(observations):
    observations.drain_acknowledgements.append(DrainAcknowledgement("u1", NOW))
    request = make_request()
    record(observations, request, make_run(request, at=NOW + DRAIN_BOUND))
    assert violated_checks(observations) == []
    late = make_request(request_id="late")
    record(observations, late, make_run(late, at=NOW + DRAIN_BOUND + 1))
    assert violated_checks(observations) == ["nothing reaches an upstream that has left"]
    observations.disturbances.append(Disturbance("frozen", "other", NOW - UNDISTURBED_WINDOW, NOW))
    assert violated_checks(observations) == ["nothing reaches an upstream that has left"]
    observations.disturbances.append(Disturbance("frozen", "entry", NOW - UNDISTURBED_WINDOW, NOW))
    assert violated_checks(observations) == []


def test_run_in_an_evacuated_data_centre_is_a_violation_unless_disturbed_or_ended(observations):
    ended_at = NOW + EVACUATION_BOUND + 1_000
    observations.evacuations.append(Evacuation("a", NOW, ended_at))
    for name, place, at in (
        ("in time", "a", NOW + EVACUATION_BOUND),
        ("elsewhere", "b", NOW + EVACUATION_BOUND + 1),
        ("after its end", "a", ended_at),
    ):
        request = make_request(request_id=name)
        record(observations, request, replace(make_run(request, at=at), data_centre=place))
    assert violated_checks(observations) == []
    late = make_request(request_id="late")
    run = replace(make_run(late, at=NOW + EVACUATION_BOUND + 1), data_centre="a")
    record(observations, late, run)
    assert violated_checks(observations) == ["nothing reaches an evacuated data centre"]
    observations.disturbances.append(Disturbance("frozen", "entry", NOW - UNDISTURBED_WINDOW, NOW))
    assert violated_checks(observations) == []


def test_entry_that_returns_to_an_older_version(observations):
    observations.submitted[5] = make_submitted(5, sent_at=NOW)
    record(observations, make_request("/at/5/1", "new"), status=200, at=NOW, signature="n")
    record(
        observations,
        make_request("/at/3/1", "old", NOW + REGRESSION_TOLERANCE + 1),
        status=200,
        at=NOW + 500,
    )
    assert violated_checks(observations).count("versions only grow in one life of an entry") == 1


def test_version_that_is_not_applied_in_time(observations):
    record(observations, make_request("/at/3/1", at=APPLY_BOUND), status=404, at=APPLY_BOUND + 5)
    assert violated_checks(observations) == []
    record(
        observations,
        make_request("/at/3/1", "late", APPLY_BOUND + 2),
        status=404,
        at=APPLY_BOUND + 5,
    )
    assert violated_checks(observations) == ["a version is in force in time"]


@pytest.mark.parametrize("sent", [DRAIN_BOUND, DRAIN_BOUND + 1])
@pytest.mark.parametrize("entry", ["entry", "other"])
def test_request_to_an_upstream_whose_leave_the_entry_has_passed_on(observations, sent, entry):
    observations.upstream_replies["sig"] = UpstreamReply("r", "s1", 200, A, leaving="u1")
    first = make_request()
    record(observations, first, make_run(first), status=200, at=NOW + 2, signature="sig", body=A)
    later = replace(make_request(request_id="later", at=NOW + 2 + sent), entry=entry)
    record(observations, later, make_run(later))
    is_violated = entry == "entry" and sent > DRAIN_BOUND
    name = "nothing reaches an upstream that says that it leaves"
    assert violated_checks(observations) == [name] * is_violated


@pytest.mark.parametrize(
    ("count", "after", "target", "disturbed", "is_violated"),
    [
        (MOST_IN_PAUSE + 1, PAUSE_BOUND + 1, "/one/1", "", True),
        (MOST_IN_PAUSE, PAUSE_BOUND + 1, "/one/1", "", False),
        (MOST_IN_PAUSE + 1, PAUSE_BOUND, "/one/1", "", False),
        (MOST_IN_PAUSE + 1, 2_000.0, "/one/1", "", False),
        (MOST_IN_PAUSE + 1, PAUSE_BOUND + 1, "/all/1", "", False),
        (MOST_IN_PAUSE + 1, PAUSE_BOUND + 1, "/one/1", "entry", False),
        (MOST_IN_PAUSE + 1, PAUSE_BOUND + 1, "/one/1", "place", False),
    ],
)
def test_requests_to_an_upstream_that_pauses(
    observations, count, after, target, disturbed, is_violated
):
    first = make_request(target)
    record(observations, first)
    answers = [PauseAnswer("u1", "place", "r", NOW, NOW + 2_000)]
    for number in range(count):
        request = make_request(target, f"late {number}", NOW)
        record(observations, request, *[make_run(request, at=NOW + after)] * (number > 0))
    answers.append(PauseAnswer("u1", "place", "late 0", NOW + after, NOW + 2_000))
    observations.pause_answers = answers
    if disturbed:
        observations.disturbances.append(Disturbance("frozen", disturbed, NOW, NOW + 1))
    service = "s1" if target == "/one/1" else "p1"
    for runs in observations.runs.values():
        runs[:] = [replace(run, service=service) for run in runs]
    name = "little reaches an upstream that pauses"
    assert violated_checks(observations) == [name] * is_violated


def test_reads_that_are_stale_or_differ_from_what_was_sent(observations):
    observations.reads = [
        ReadBack(2, APPLY_BOUND, True),
        ReadBack(2, APPLY_BOUND + 2, True),
        ReadBack(3, NOW, False),
    ]
    assert violated_checks(observations) == ["reads are never older than what was acknowledged"] * 2


def test_refused_version_that_is_applied(observations):
    observations.refused_versions.add(3)
    record(observations, make_request("/at/3/1"), status=200, at=NOW, signature="sig")
    assert "what was refused is never in force" in violated_checks(observations)


def test_request_lost_in_a_planned_stop_is_a_violation_unless_disturbed(observations):
    observations.stops["entry", 1] = NOW - 10
    record(observations, make_request(), status=0, at=NOW + LOSS_TOLERANCE - 1)
    assert violated_checks(observations) == []
    forwarded = make_request(request_id="passed on")
    record(observations, forwarded, make_run(forwarded), status=0, at=NOW + 2)
    assert violated_checks(observations) == ["a planned stop cuts nothing"]
    record(observations, make_request(request_id="late"), status=0, at=NOW + LOSS_TOLERANCE + 1)
    assert violated_checks(observations) == ["a planned stop cuts nothing"] * 2
    observations.disturbances.append(Disturbance("all lost", ALL_SUBJECTS, NOW, NOW))
    assert violated_checks(observations) == []


LOST = ["a planned stop cuts nothing"]


@pytest.mark.parametrize(
    ("sent", "cut", "is_lost"),
    [
        (-100.0, -1.0, False),
        (-100.0, 10.0, True),
        (EARLY_IN_STOP + 1, GRACE - 400, True),
        (GRACE + 10, GRACE + 900, True),
        (GRACE + 10, STOP_WINDOW, True),
        (GRACE + 10, STOP_WINDOW + 1, False),
    ],
)
def test_stop_counts_from_the_signal_until_a_second_after_the_grace_period(
    observations, sent, cut, is_lost
):
    observations.stops["entry", 1] = NOW
    observations.stops["other", 1] = NOW + sent
    request = make_request(at=NOW + sent)
    record(observations, request, make_run(request), status=0, at=NOW + cut)
    assert violated_checks(observations) == LOST * is_lost


@pytest.mark.parametrize(
    ("sent", "started", "until", "cut", "is_lost"),
    [
        (EARLY_IN_STOP, 4_000, LATE_IN_STOP, GRACE - 400, False),
        (EARLY_IN_STOP + 1, 4_000, LATE_IN_STOP, GRACE - 400, True),
        (EARLY_IN_STOP, 4_000, LATE_IN_STOP - 1, GRACE - 400, True),
        (EARLY_IN_STOP, GRACE - 300, GRACE + 500, GRACE - 400, True),
        (EARLY_IN_STOP, 4_000, LATE_IN_STOP, LATE_IN_STOP - 1, True),
        (EARLY_IN_STOP, 4_000, GRACE + 500, GRACE + 100, False),
    ],
    ids=["at work", "sent late", "work done", "waits for its work", "cut early", "killed"],
)
def test_only_work_in_the_last_part_of_the_grace_period_excuses_a_stop(
    observations, sent, started, until, cut, is_lost
):
    observations.stops["entry", 1] = NOW
    request = make_request(at=NOW + sent)
    run = make_run(request, at=NOW + sent)
    run.started_at, run.until = NOW + started, NOW + until
    record(observations, request, run, status=0, at=NOW + cut)
    assert violated_checks(observations) == LOST * is_lost


def test_request_whose_deadline_is_reached_is_not_lost(observations):
    observations.stops["entry", 1] = NOW
    in_time = replace(make_request(request_id="in time"), until=NOW + 1_001)
    record(observations, in_time, status=0, at=NOW + 1_000)
    assert violated_checks(observations) == LOST
    record(observations, replace(make_request(), until=NOW + 1_000), status=0, at=NOW + 1_000)
    assert violated_checks(observations) == LOST


@pytest.mark.parametrize(
    ("broken", "is_lost"), [((True,), False), ((True, True), False), ((True, False), True)]
)
def test_request_that_every_upstream_broke_off_is_not_lost(observations, broken, is_lost):
    observations.stops["entry", 1] = NOW
    request = make_request()
    runs = [replace(make_run(request), broke_off=broke_off) for broke_off in broken]
    record(observations, request, *runs, status=0, at=NOW + 1_000)
    assert violated_checks(observations) == LOST * is_lost


@pytest.mark.parametrize(
    ("sent", "cut", "is_lost"),
    [
        (-100, -1, False),
        (-100, 0, True),
        (APPLY_BOUND, 9_000, True),
        (APPLY_BOUND + 1, 9_000, False),
    ],
)
def test_request_that_a_reload_cuts_is_lost(observations, sent, cut, is_lost):
    observations.reloads += [("entry", NOW), ("other", NOW + sent)]
    request = make_request(at=NOW + sent)
    record(observations, request, make_run(request), status=0, at=NOW + cut)
    assert violated_checks(observations) == LOST * is_lost


def test_request_that_a_stop_may_cut_is_not_lost_by_a_reload_meanwhile(observations):
    request = make_request()
    run = replace(make_run(request), started_at=NOW + 1, until=NOW + GRACE)
    record(observations, request, run, status=0, at=NOW + LATE_IN_STOP)
    observations.reloads.append(("entry", NOW))
    assert violated_checks(observations) == LOST
    observations.stops["entry", 1] = NOW
    assert violated_checks(observations) == []


def test_time_in_which_the_soak_did_not_run_is_not_held_against_an_entry(observations):
    observations.stops["entry", 1] = NOW
    observations.pauses += [(NOW - 50, NOW + 30), (NOW + 100, NOW + 170)]
    record(observations, make_request(), status=0, at=NOW + LOSS_TOLERANCE + 99)
    assert violated_checks(observations) == []
    record(observations, make_request(request_id="late"), status=0, at=NOW + LOSS_TOLERANCE + 100)
    assert violated_checks(observations) == LOST
    forwarded = make_request(request_id="passed on")
    record(observations, forwarded, make_run(forwarded), status=0, at=NOW + 20)
    assert violated_checks(observations) == LOST * 2


def test_every_check_has_a_test_in_this_file():
    source = Path(__file__).read_text(encoding="utf-8")
    assert [name for name in checks if f'"{name}"' not in source] == []


def test_violation_detected_during_the_run_is_reported(observations):
    observations.violations.append("a version was refused")
    assert violated_checks(observations) == ["seen at once"]
