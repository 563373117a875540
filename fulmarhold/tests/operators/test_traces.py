"""Tracing a request through the logs of several processes that also hold other lines."""

from __future__ import annotations

import json

from fulmarhold.__main__ import application
from fulmarhold.operators.queries.traces import format_trace, trace_request


def line(at, event, request="r1", process="e1", **fields):
    return json.dumps({"at": at, "process": process, "event": event, "request": request, **fields})


def test_lines_of_a_request_are_sorted_and_other_lines_are_ignored():
    lines = [
        "12.3 host " + line(30, "request", outcome="partial"),
        line(10, "attempt_failed", result="connection lost"),
        line(20, "retry"),
        line(15, "retry", request="r2"),
        '{"at": 1, "request": "r1", cut',
        "r1 without an object",
        "[1]",
    ]
    assert [item.event for item in trace_request("r1", lines)] == [
        "attempt_failed",
        "retry",
        "request",
    ]


def test_a_trace_shows_fields_and_times_relative_to_the_first_line():
    trace = trace_request("r1", [line(10, "retry", service="s"), line(25, "request", outcome="x")])
    assert format_trace("r1", trace).splitlines() == [
        "request r1, first seen at e1",
        "       +0 ms  e1  retry: service s",
        "      +15 ms  e1  request: outcome x",
    ]


def test_the_command_reads_files_and_reports_when_no_line_matches(tmp_path, capsys):
    log = tmp_path / "e1.log"
    log.write_text(line(10, "retry", service="s") + "\n")
    assert application(["trace", "r1", str(log)], result_action="return_value") == 0
    assert application(["trace", "r9", str(log)], result_action="return_value") != 0
    assert "whole answers are counted" in capsys.readouterr().out
