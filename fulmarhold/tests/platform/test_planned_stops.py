"""Planned stops of an entry: what it has read gets an answer, however long its upstreams take."""

from __future__ import annotations

import json
import os
import signal
from contextlib import suppress
from typing import Any

import gevent
import pytest

from fulmarhold.clock import SECOND
from fulmarhold.forwarding.stopping import StopSchedule
from fulmarhold.platform.encoding import CALLER_PORT
from fulmarhold.tests.platform.fleet import (
    ENTRIES,
    TIMEOUT_SECONDS,
    configuration,
    put_configuration,
    wait_for,
    wait_for_status,
)

STOPPING = ENTRIES[0]
# Far longer than the grace period of a stop, as for long reconciliations.
LONG_DEADLINE_MS = 15_000
GRACE_SECONDS = 6.0
# Delays the import in the middle of a start, as a slow processor does.
SLOW_START = """
import sys, time

class SlowImport:
    def find_spec(self, name, path=None, target=None):
        if name == "fulmarhold.platform.interfaces":
            time.sleep(1.0)

sys.meta_path.insert(0, SlowImport())
"""
SHARDS = {"shardServices": ["s1", "s2"], "topK": 5, "minShardShare": 1.0}
ROUTES: dict[str, dict[str, Any]] = {
    "idempotent": {"service": "s1"},
    "non_idempotent": {"service": "s1", "routeType": "non_idempotent"},
    "shards": SHARDS,
}


class KeptConnection:
    """A caller's connection that is used for request after request until the entry closes it."""

    def __init__(self):
        self._socket = gevent.socket.create_connection(
            (STOPPING, CALLER_PORT), timeout=TIMEOUT_SECONDS
        )
        self._file = self._socket.makefile("rb")
        self.is_open = True

    def send(self, request_id, method="POST"):
        """Send a request and return the status of its answer, zero if it is not complete."""
        self._socket.sendall(
            f"{method} /a/x HTTP/1.1\r\nHost: h.example\r\n"
            f"X-Fulmarhold-Attempt-Id: {request_id}\r\nX-Fulmarhold-Request-Deadline: "
            f"{LONG_DEADLINE_MS}\r\n\r\n".encode()
        )
        try:
            status, fields = self._read_head()
            length = int(fields.get("content-length", "0"))
            is_whole = len(self._file.read(length)) == length
        except OSError:
            status, fields, is_whole = 0, {}, False
        self.is_open = is_whole and fields.get("connection") != "close"
        return status if is_whole else 0

    def _read_head(self):
        line = self._file.readline()
        fields = {}
        while (field := self._file.readline()).strip():
            key, _, value = field.decode().partition(":")
            fields[key.lower()] = value.strip()
        return (int(line.split(b" ")[1]) if field else 0), fields


def start_serving(upstreams, **route):
    route = {"timeoutMs": LONG_DEADLINE_MS, **route}
    assert put_configuration(configuration(3, **route)).status == 200
    for upstream in upstreams:
        wait_for(upstream.send_heartbeat, lambda answer: answer.status == 200)
    wait_for_status(STOPPING)


def stop_events(tmp_path):
    lines = (tmp_path / STOPPING / "log").read_text().splitlines()
    return [event for event in map(json.loads, lines) if event["event"] in ("stopping", "request")]


# Guards against requests that are cut at the end of a planned stop, because they were accepted with
# more time than the process has left (LOST in the users' incident).
@pytest.mark.parametrize("kind", ROUTES)
def test_requests_that_outlast_a_planned_stop_get_an_answer(fleet, upstreams, tmp_path, kind):
    start_serving(upstreams, **ROUTES[kind])
    for upstream in upstreams:
        upstream.delay = 4 * TIMEOUT_SECONDS
    callers = [KeptConnection() for _ in range(3)]
    before = len(upstreams[0].targets)
    waiting = [gevent.spawn(caller.send, f"long-{number}") for number, caller in enumerate(callers)]
    wait_for(lambda: len(upstreams[0].targets), lambda sent: sent >= before + len(callers))
    fleet.signal(STOPPING, signal.SIGTERM)
    statuses = [request.get(timeout=TIMEOUT_SECONDS) for request in waiting]
    assert fleet.wait(STOPPING) == 0
    # The work had begun, so that nothing but an unknown outcome is true.
    assert statuses == [502] * len(callers)
    events = stop_events(tmp_path)
    outcomes = {
        event["request"]: event["reason"] for event in events if event["event"] == "request"
    }
    assert [outcomes[f"long-{number}"] for number in range(len(callers))] == ["stopping"] * 3
    phases = [event for event in events if event["event"] == "stopping"]
    assert [event["phase"] for event in phases] == ["leaving", "refusing", "exiting"]
    assert phases[-1]["cut"] == 0


# Guards against requests that arrive late in a planned stop, are passed on, and end with it.
@pytest.mark.parametrize("kind", ROUTES)
def test_no_request_is_lost_from_the_signal_until_the_port_is_closed(fleet, upstreams, kind):
    start_serving(upstreams, **ROUTES[kind])
    kept = [KeptConnection() for _ in range(5)]
    assert [caller.send(f"before-{number}") for number, caller in enumerate(kept)] == [200] * 5
    for upstream in upstreams:
        upstream.delay = 1.9
    calls: list[gevent.Greenlet] = []

    def call(caller):
        calls.append(gevent.spawn(caller.send, f"late-{len(calls)}"))

    fleet.signal(STOPPING, signal.SIGTERM)
    with suppress(OSError):
        while True:
            call(KeptConnection())
            if kept and len(calls) % 10 == 0:
                call(kept.pop())
            gevent.sleep(0.05)
    assert fleet.wait(STOPPING) == 0
    statuses = [request.get(timeout=TIMEOUT_SECONDS) for request in calls]
    assert not kept and 0 not in statuses, f"{statuses.count(0)} of {len(statuses)} are lost"


# Guards against a log that names requests as cut whose callers get an answer, when the event loop
# is late at the end of a stop.
def test_a_request_that_is_answered_late_in_a_stop_has_one_outcome_in_the_log(
    fleet, upstreams, tmp_path
):
    start_serving(upstreams, **ROUTES["non_idempotent"])
    upstreams[0].delay = 4 * TIMEOUT_SECONDS
    sent = len(upstreams[0].targets)
    waiting = gevent.spawn(KeptConnection().send, "late")
    wait_for(lambda: len(upstreams[0].targets), lambda count: count > sent)
    schedule = StopSchedule.plan(0.0, grace=6_000.0, address_lifetime=3_600.0)
    fleet.signal(STOPPING, signal.SIGTERM)
    wait_for(lambda: stop_events(tmp_path)[-1].get("phase"), lambda phase: phase == "refusing")
    fleet.signal(STOPPING, signal.SIGSTOP)
    gevent.sleep((schedule.exits_by - schedule.accepts_until) / SECOND)
    fleet.signal(STOPPING, signal.SIGCONT)
    assert waiting.get(timeout=TIMEOUT_SECONDS) == 502
    assert fleet.wait(STOPPING) == 0
    outcomes = [
        event["outcome"] for event in stop_events(tmp_path) if event.get("request") == "late"
    ]
    assert outcomes == ["failed"]


def end_after_grace(fleet, grace_seconds):
    """Stop the entry as the platform does: with SIGTERM, and SIGKILL after the grace period."""
    fleet.signal(STOPPING, signal.SIGTERM)
    gevent.spawn_later(grace_seconds, fleet.signal, STOPPING, signal.SIGKILL)


def send_until_accepted(request_id):
    """Send a request until it isn't refused; returns its status, or 503 if the port is closed."""
    status = 503
    with suppress(OSError):
        while status == 503:
            status = KeptConnection().send(request_id)
            gevent.sleep(0.02)
    return status


# Guards against a grace period that is counted from the end of a slow start and not from the
# signal, so that the process is killed with requests that it has passed on.
def test_no_request_is_lost_by_a_stop_that_begins_during_a_slow_start(
    fleet, upstreams, tmp_path, monkeypatch
):
    start_serving(upstreams, **ROUTES["non_idempotent"])
    fleet.signal(STOPPING, signal.SIGKILL)
    fleet.wait(STOPPING)
    upstreams[0].delay = 4 * TIMEOUT_SECONDS
    (tmp_path / "sitecustomize.py").write_text(SLOW_START)
    monkeypatch.setenv("PYTHONPATH", str(tmp_path), prepend=os.pathsep)
    fleet.start(STOPPING, first=False)
    wait_for(KeptConnection, bool)
    assert upstreams[0].send_heartbeat().status == 200
    end_after_grace(fleet, GRACE_SECONDS)
    callers = [gevent.spawn(send_until_accepted, f"early-{number}") for number in range(3)]
    statuses = [caller.get(timeout=TIMEOUT_SECONDS) for caller in callers]
    assert 0 not in statuses, statuses


# Guards against a stop that takes as long as the settings allowed when the process started.
def test_no_request_is_lost_by_a_stop_after_the_grace_period_was_shortened(
    fleet, upstreams, tmp_path
):
    start_serving(upstreams, **ROUTES["non_idempotent"])
    upstreams[0].delay = 4 * TIMEOUT_SECONDS
    settings, log = tmp_path / STOPPING / "settings.json", tmp_path / STOPPING / "log"
    document = {**json.loads(settings.read_text()), "bounds": {"graceS": 3}}
    settings.write_text(json.dumps(document))
    fleet.signal(STOPPING, signal.SIGHUP)
    wait_for(log.read_text, lambda text: "settings changed" in text)
    sent = len(upstreams[0].targets)
    calls = [gevent.spawn(KeptConnection().send, f"open-{number}") for number in range(3)]
    wait_for(lambda: len(upstreams[0].targets), lambda count: count >= sent + len(calls))
    end_after_grace(fleet, 3.0)
    assert [call.get(timeout=TIMEOUT_SECONDS) for call in calls] == [502] * len(calls)
