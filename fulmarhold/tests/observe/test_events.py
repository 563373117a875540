"""Structured log lines are complete and rate-limited, and never block on their reader."""

from __future__ import annotations

import json
import os

import pytest

from fulmarhold.clock import SECOND, ManualClock
from fulmarhold.observe.counters import Counters
from fulmarhold.observe.events import LINES_PER_SECOND, MAX_BUFFERED_LINES, EventLog

PIPE_BYTES = 4_096


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    os.set_blocking(writer, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_all(reader):
    data = b""
    try:
        while part := os.read(reader, 65_536):
            data += part
    except BlockingIOError:
        return data
    return data


def read_lines(reader):
    return [json.loads(line) for line in read_all(reader).splitlines()]


def test_a_line_holds_the_time_process_event_and_fields(pipe):
    reader, writer = pipe
    clock = ManualClock(wall=1_000.0)
    log = EventLog("edge-1", clock, Counters(), writer)
    log.record("hedge", request="r1", after_ms=12.3456)
    log.flush()
    assert read_lines(reader) == [
        {"at": 1000, "process": "edge-1", "event": "hedge", "request": "r1", "after_ms": 12.35}
    ]


def test_a_stalled_reader_does_not_block_the_writer_and_dropped_lines_are_reported(pipe):
    reader, writer = pipe
    clock, counters = ManualClock(), Counters()
    log = EventLog("edge-1", clock, counters, writer)
    recorded = 0
    for _ in range(40):
        clock.advance(SECOND)
        for _ in range(int(LINES_PER_SECOND)):
            log.record("request", text="x" * 200)
            recorded += 1
        log.flush()
    dropped = counters.value("log_lines_dropped", event="request")
    assert dropped > recorded - MAX_BUFFERED_LINES - LINES_PER_SECOND * 4
    data = b""
    for _ in range(200):
        clock.advance(SECOND)
        log.flush()
        data += read_all(reader)
    lines = [json.loads(line) for line in data.splitlines()]
    reported = sum(line.get("request", 0) for line in lines if line["event"] == "lines_dropped")
    assert reported == dropped
    assert sum(line["event"] == "request" for line in lines) == recorded - dropped


def test_lines_above_the_rate_limit_are_dropped_and_counted(pipe):
    _, writer = pipe
    clock, counters = ManualClock(), Counters()
    log = EventLog("edge-1", clock, counters, writer)
    for _ in range(int(3 * LINES_PER_SECOND)):
        log.record("request")
    assert counters.value("log_lines_dropped", event="request") == 2 * LINES_PER_SECOND


def test_lines_for_a_closed_output_are_dropped_and_counted():
    reader, writer = os.pipe()
    os.close(reader)
    counters = Counters()
    log = EventLog("edge-1", ManualClock(), counters, writer)
    log.record("request")
    log.flush()
    assert counters.value("log_lines_dropped", event="output_closed") == 1
    os.close(writer)
