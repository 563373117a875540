"""A request's story is found in the logs of several processes, whatever else they hold."""

from __future__ import annotations

import json

from fulmarhold.__main__ import application
from fulmarhold.operators.queries.stories import format_story, trace_request


def line(at, event, request="r1", process="e1", **fields):
    return json.dumps({"at": at, "process": process, "event": event, "request": request, **fields})


def test_lines_of_a_request_come_in_order_and_others_are_passed_over():
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


def test_a_story_tells_inputs_and_times_from_the_first_line():
    story = trace_request("r1", [line(10, "retry", service="s"), line(25, "request", outcome="x")])
    assert format_story("r1", story).splitlines() == [
        "request r1, first seen at e1",
        "       +0 ms  e1  retry: service s",
        "      +15 ms  e1  request: outcome x",
    ]


def test_the_command_reads_files_and_says_when_nothing_is_known(tmp_path, capsys):
    log = tmp_path / "e1.log"
    log.write_text(line(10, "retry", service="s") + "\n")
    assert application(["trace", "r1", str(log)], result_action="return_value") == 0
    assert application(["trace", "r9", str(log)], result_action="return_value") != 0
    assert "whole answers are counted" in capsys.readouterr().out
