"""Client accounts on real daemons: keys are obeyed, withdrawn in time, and shown nowhere."""

from __future__ import annotations

import json
import signal
import subprocess
import sys

import gevent
import pytest

from fulmarhold.platform.encoding import CONTROL_PORT
from fulmarhold.tests.platform.fleet import (
    CONTROL,
    ENTRIES,
    TIMEOUT_SECONDS,
    PlatformFleet,
    configuration,
    put_configuration,
    read_metrics,
    send_request,
    wait_for,
)

REVOKE_WITHIN_MS = 3_000
STRICT = {"strictRevoke": True, "revokeMs": REVOKE_WITHIN_MS}
# Distinct enough to be found in any output, and with a character that JSON escapes.
KEPT, WITHDRAWN, UNKNOWN, SHARED = (f"k3y-{name}-0f9a/" for name in ("kept", "gone", "no", "two"))
KEYS = (KEPT, WITHDRAWN, UNKNOWN, SHARED)
FORGED = ("x-fulmarhold-tenant", "forged")


def bearer(key):
    return ("Authorization", f"Bearer {key}")


def accounts_document(version, *keys):
    document = configuration(version)
    public = {**document["routes"][0], "name": "open", "pathPrefix": "/open/", "public": True}
    document["routes"].append(public)
    return document | {"tenants": [{"name": "one", "apiKeys": list(keys), "priority": 0}]}


def status_of(entry, key, path="/a/x"):
    return send_request(entry, path, headers=[bearer(key)])[0]


@pytest.fixture
def strict_fleet(tmp_path, upstreams):
    started = PlatformFleet(tmp_path)
    for address in (*CONTROL, *ENTRIES):
        started.start(address, bounds=STRICT)
    assert put_configuration(accounts_document(3, KEPT, WITHDRAWN)).status == 200
    wait_for(upstreams[0].send_heartbeat, lambda answer: answer.status == 200)
    for entry in ENTRIES:
        wait_for(lambda to=entry: status_of(to, KEPT), lambda status: status == 200)
    yield started
    started.kill()


def test_no_key_appears_in_what_daemons_and_commands_show(strict_fleet, upstreams, tmp_path):
    entry = ENTRIES[0]
    upstreams[0].headers.clear()
    answers = [
        send_request(entry, headers=[bearer(KEPT), FORGED]),
        send_request(entry, "/open/x", headers=[bearer(UNKNOWN), FORGED]),
        send_request(entry, headers=[bearer(UNKNOWN)]),
        send_request(entry, headers=[bearer(KEPT), bearer(KEPT)]),
        send_request(entry),
        send_request(entry, "/nowhere/", headers=[bearer(UNKNOWN)]),
    ]
    assert [answer[0] for answer in answers] == [200, 200, 401, 401, 401, 404]
    assert "www-authenticate: bearer" in answers[2][1]
    seen = [(item.get("x-fulmarhold-tenant"), "authorization" in item)
            for item in upstreams[0].headers if "x-fulmarhold-attempt-id" in item]  # fmt: skip
    # A hedged request is sent twice.
    assert set(seen) == {("one", False), (None, False)}

    two = {"name": "two", "apiKeys": [SHARED, KEPT]}
    document = accounts_document(4, KEPT, SHARED)
    refused = put_configuration({**document, "tenants": [*document["tenants"], two]})
    assert refused.status == 400 and "one" in str(refused.body) and "two" in str(refused.body)
    bad = put_configuration({**document, "tenants": [{**two, "apiKeys": {SHARED: KEPT}}]})
    assert bad.status == 400

    sent = json.dumps(accounts_document(5, KEPT), indent=1).encode()
    assert put_bytes(sent) == 200
    for address in ENTRIES:
        wait_for(lambda to=address: status_of(to, WITHDRAWN), lambda status: status == 401)
        assert status_of(address, KEPT) == 200
    assert sent in get_configuration()

    logs = [str(tmp_path / address / "log") for address in (*CONTROL, *ENTRIES)]
    commands = [
        [sys.executable, "-m", "fulmarhold", "trace", "id-1", *logs],
        [sys.executable, "-m", "fulmarhold", "status", "--control", f"{CONTROL[0]}:{CONTROL_PORT}"],
    ]
    outputs = [subprocess.run(item, capture_output=True, check=False) for item in commands]
    assert b"unauthorized" in outputs[0].stdout
    shown = [text for item in outputs for text in (item.stdout.decode(), item.stderr.decode())]
    shown += [read_metrics(address) for address in (*CONTROL, *ENTRIES)]
    shown += [answer[1] + answer[2].decode() for answer in answers]
    shown += [str(refused.body), str(bad.body)]
    for address in (*CONTROL, *ENTRIES):
        strict_fleet.signal(address, signal.SIGTERM)
    for address in (*CONTROL, *ENTRIES):
        strict_fleet.wait(address)
    shown += [(tmp_path / address / "log").read_text() for address in (*CONTROL, *ENTRIES)]
    for text in shown:
        assert not [key for key in KEYS if key in text or key.rstrip("/") in text]


# Guards against a withdrawn key on an entry that was suspended, and one without control.
def test_keys_end_in_time_on_entries_that_are_suspended_or_without_control(strict_fleet):
    suspended, cut_off = ENTRIES
    strict_fleet.signal(suspended, signal.SIGSTOP)
    assert put_configuration(accounts_document(6, KEPT)).status == 200
    wait_for(lambda: status_of(cut_off, WITHDRAWN), lambda status: status == 401)
    gevent.sleep(REVOKE_WITHIN_MS / 1e3)
    late = gevent.spawn(status_of, suspended, WITHDRAWN)
    gevent.sleep(0.1)
    strict_fleet.signal(suspended, signal.SIGCONT)
    assert late.get(timeout=TIMEOUT_SECONDS) in (401, 503)
    wait_for(lambda: status_of(suspended, KEPT), lambda status: status == 200)
    assert status_of(suspended, WITHDRAWN) == 401

    for address in CONTROL:
        strict_fleet.signal(address, signal.SIGSTOP)
    gevent.sleep(REVOKE_WITHIN_MS / 1e3)
    for entry in ENTRIES:
        status, head, body = send_request(entry, headers=[bearer(KEPT)])
        assert (status, body) == (503, b"keys_unconfirmed") and "retry-after" in head
        assert send_request(entry, "/open/x")[0] == 200
    for address in CONTROL:
        strict_fleet.signal(address, signal.SIGCONT)
    for entry in ENTRIES:
        wait_for(lambda to=entry: status_of(to, KEPT), lambda status: status == 200)


def put_bytes(body):
    return int(exchange("PUT", body).split(b" ")[1])


def get_configuration():
    return exchange("GET", b"")


def exchange(method, body):
    with gevent.socket.create_connection((CONTROL[1], CONTROL_PORT), timeout=5.0) as connection:
        head = f"{method} /api/config HTTP/1.1\r\nHost: c\r\nConnection: close\r\n"
        connection.sendall(f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body)
        received = b""
        while part := connection.recv(65_536):
            received += part
    return received
