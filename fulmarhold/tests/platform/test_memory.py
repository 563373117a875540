"""Memory of the real daemons under upstreams and callers that want more of it than there is."""

from __future__ import annotations

from contextlib import suppress

import gevent
import pytest

from fulmarhold.limits.memory import MEBIBYTE, UPSTREAMS_AT_REST, held_bytes_limit
from fulmarhold.platform.encoding import CALLER_PORT, CONTROL_PORT
from fulmarhold.tests.platform.fleet import (
    CONTROL,
    ENTRIES,
    NETWORK,
    RECORD,
    TIMEOUT_SECONDS,
    UPSTREAM_HOST,
    PlatformFleet,
    Upstream,
    born,
    configuration,
    put_configuration,
    read_metrics,
    send_request,
    wait_for,
    wait_for_status,
)

ENTRY = ENTRIES[0]
SHORTAGES = "fulmarhold_memory_shortages_total"
OUTCOMES = "fulmarhold_requests_total"
HELD = "fulmarhold_memory_held_bytes"
LIMIT = "fulmarhold_memory_limit_bytes"
UPSTREAMS = "fulmarhold_entry_upstreams"
# The smallest limit of the users' machines.
LIMIT_MEBIBYTES = 160
SPARE_SHARE = 0.1
FAULTY_UPSTREAMS = 3
CALLERS = 100
REQUESTS_EACH = 2
HEARTBEAT_SECONDS = 1.2
PIECE_BYTES = 16_384
LENGTH = 3_900_000
# A response of `LENGTH` bytes would be complete after about a second.
SLOW_PIECE_SECONDS = 0.004
SOUND_SHARE = 0.99
# Callers that take memory: their answers or bodies together are several times the limit.
GREEDY_CALLERS = 150
BODY_BYTES = 3_000_000
OTHER_HOST = "other.example"
OTHER_CALLER = "127.0.0.9"
CONTROL_LIMIT_MEBIBYTES = 256
# Operators that send documents of almost the largest size at once, each from its own address.
OPERATORS = 30
DOCUMENT_BYTES = 15 * 1024 * 1024
HEARTBEATS = 300
LARGE_FLEET = UPSTREAMS_AT_REST + 200


class EndlessUpstream(Upstream):
    """Answers each request with a beginning and then pieces until it is disconnected."""

    def __init__(self, address, service, start, piece, pause=0.0):
        self._start, self._piece, self._pause = start, piece, pause
        super().__init__(address, service)

    def _serve(self, connection, _):
        connection.recv(65_536)
        self.targets.append("")
        left = LENGTH - 1
        with suppress(OSError):
            connection.sendall(self._start)
            while left > 0 or not self._pause:
                connection.sendall(self._piece[:left] if self._pause else self._piece)
                left -= len(self._piece)
                gevent.sleep(self._pause)
            connection.recv(65_536)


HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
WITH_LENGTH = HEAD + b"Content-Length: %d\r\n\r\n" % LENGTH
KINDS = {
    "short chunks": (CHUNKED, b"2\r\nbb\r\n", 0.0),
    "chunks": (CHUNKED, b"1000\r\n%b\r\n" % (4096 * b"b"), 0.0),
    "chunk extensions": (CHUNKED + b"1;", b"e", 0.0),
    "no length": (HEAD + b"\r\n", b"b", 0.0),
    "a length, never reached": (WITH_LENGTH, b"b", SLOW_PIECE_SECONDS),
    "headers": (HEAD, b"A:\r\n", 0.0),
    "header line": (HEAD + b"X-Long: ", b"a", 0.0),
    "header name": (HEAD, b"a", 0.0),
    "status line": (b"HTTP/1.1 200 ", b"O", 0.0),
    "interim responses": (b"", b"HTTP/1.1 102 Processing\r\n\r\n", 0.0),
    "trailer": (CHUNKED + b"0\r\n", b"X-More: 1\r\n", 0.0),
}


@pytest.fixture
def started():
    """Upstreams that are stopped after the test."""
    upstreams: list[Upstream] = []
    yield upstreams
    for upstream in upstreams:
        upstream.stop()


@pytest.fixture
def fleet(tmp_path):
    running = PlatformFleet(tmp_path)
    for address in CONTROL:
        running.start(address, memory_mebibytes=CONTROL_LIMIT_MEBIBYTES)
    running.start(ENTRY, memory_mebibytes=LIMIT_MEBIBYTES)
    yield running
    running.kill()


def serve(upstreams):
    document = configuration(3, service="s1")
    sound = document["routes"][0]
    document["routes"] += [
        {**sound, "name": "r2", "pathPrefix": "/b/", "service": "s2"},
        {**sound, "name": "r3", "host": OTHER_HOST},
    ]
    document["limits"] = {"maxBodyBytes": BODY_BYTES}
    for service in document["services"]:
        service["maxConnections"] = 2 * CALLERS
    assert put_configuration(document).status == 200
    for upstream in upstreams:
        wait_for(upstream.send_heartbeat, lambda answer: answer.status == 200)
    if upstreams:
        wait_for_status(ENTRY)
        # The feed may bring them one after the other.
        wait_for(lambda: read_counter(UPSTREAMS), lambda known: known == len(upstreams))


def keep_known(upstreams):
    while True:
        gevent.sleep(HEARTBEAT_SECONDS)
        for upstream in upstreams:
            upstream.send_heartbeat()


def call_again_and_again(path, name, statuses):
    for number in range(REQUESTS_EACH):
        statuses.append(send_request(ENTRY, path, f"{name}-{number}")[0])


# Guards against an entry that keeps what faulty upstreams send without end, for as many requests as
# there are, until it has no memory left and the requests of all callers end with it.
@pytest.mark.parametrize(("start", "piece", "pause"), KINDS.values(), ids=KINDS.keys())
def test_upstreams_that_send_without_end_cost_bounded_memory(fleet, started, start, piece, pause):
    piece *= PIECE_BYTES // len(piece)
    hosts = range(UPSTREAM_HOST + 1, UPSTREAM_HOST + 1 + FAULTY_UPSTREAMS)
    faulty = [EndlessUpstream(f"{NETWORK}.{host}", "s2", start, piece, pause) for host in hosts]
    sound = Upstream(f"{NETWORK}.{UPSTREAM_HOST}", "s1")
    started += [sound, *faulty]
    serve(started)
    heartbeats = gevent.spawn(keep_known, started)
    faulty_statuses: list[int] = []
    sound_statuses: list[int] = []
    callers = [
        gevent.spawn(call_again_and_again, "/b/x", f"faulty-{number}", faulty_statuses)
        for number in range(CALLERS)
    ]
    while not all(caller.ready() for caller in callers):
        sound_statuses.append(send_request(ENTRY, "/a/x", f"sound-{len(sound_statuses)}")[0])
        gevent.sleep(0.01)
    heartbeats.kill()
    assert fleet.is_running(ENTRY)
    peak = fleet.peak_memory(ENTRY) / MEBIBYTE
    assert peak <= (1 - SPARE_SHARE) * LIMIT_MEBIBYTES, f"{peak:.0f} MiB"
    assert sound_statuses.count(200) >= SOUND_SHARE * len(sound_statuses), sound_statuses
    assert set(faulty_statuses) <= {502, 503, 504}
    assert len(faulty_statuses) == CALLERS * REQUESTS_EACH
    assert all(upstream.targets for upstream in faulty)


class ReportedUpstream(Upstream):
    """Only reports to control; nothing listens at its address."""

    def __init__(self, number):
        address = f"127.60.{number // 250}.{number % 250 + 1}"
        self.address, self.service, self.data_centre = address, "s1", "a"
        self.name, self.born, self.sequence = f"i-{address}", next(born), 0


# Guards against an entry that counts on memory which the state of a large fleet takes already.
def test_what_an_entry_may_hold_follows_the_number_of_upstreams(fleet):
    serve([])
    before = read_counter(LIMIT)

    def report(control):
        """Report a share of the fleet; all of it must be known before the first is silent."""
        numbers = range(control, LARGE_FLEET, len(CONTROL))
        # Control serves upstreams only a while after it listens to other instances.
        first = ReportedUpstream(control)
        wait_for(
            lambda: first.send_heartbeat(control=CONTROL[control]),
            lambda answer: answer.status == 200,
        )
        answers = [
            ReportedUpstream(item).send_heartbeat(control=CONTROL[control]) for item in numbers
        ]
        return {answer.status for answer in answers}

    reports = [gevent.spawn(report, control) for control in range(len(CONTROL))]
    assert [item.get() for item in reports] == [{200}] * len(CONTROL)
    expected = held_bytes_limit(LIMIT_MEBIBYTES * MEBIBYTE, LARGE_FLEET)
    assert expected < before
    wait_for(lambda: read_counter(LIMIT), lambda limit: limit == expected)


class Connection:
    """A caller's connection that sends a request, or a part of one, and does not read."""

    def __init__(self, number, body_bytes=0, path="/b/x", host="h.example", caller="127.0.0.1"):
        self._socket = gevent.socket.socket()
        # So that what isn't read stays with the entry, and not in the caller's kernel.
        self._socket.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_RCVBUF, 4_096)
        self._socket.settimeout(TIMEOUT_SECONDS)
        self._socket.bind((caller, 0))
        self._socket.connect((ENTRY, CALLER_PORT))
        length = f"Content-Length: {body_bytes}\r\n" if body_bytes else ""
        self._socket.sendall(
            f"POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Fulmarhold-Attempt-Id: greedy-{number}\r\n"
            f"X-Fulmarhold-Request-Deadline: 4000\r\n{length}\r\n".encode()
        )

    def send(self, data):
        with suppress(OSError):
            self._socket.sendall(data)

    def read_status(self):
        return int(self._socket.recv(65_536).split(b" ")[1])

    def close(self):
        self._socket.close()


def read_counter(name, label=""):
    lines = (line for line in read_metrics(ENTRY).splitlines() if line.startswith(name))
    return sum(float(line.split()[-1]) for line in lines if label in line)


def refused_for_memory():
    return read_counter(SHORTAGES, "refused")


def check_that_others_are_served(fleet):
    for number in range(20):
        other = Connection(f"other-{number}", path="/a/x", host=OTHER_HOST, caller=OTHER_CALLER)
        assert other.read_status() == 200
        other.close()
    peak = fleet.peak_memory(ENTRY) / MEBIBYTE
    assert peak <= (1 - SPARE_SHARE) * LIMIT_MEBIBYTES, f"{peak:.0f} MiB"


# Guards against an entry that keeps the answers of callers that don't read, or of past requests, or
# that refuses the requests of others for them: whether the callers come at once or one by one.
@pytest.mark.parametrize("pause", [0.0, 0.003, 0.03])
def test_callers_that_do_not_read_their_answers_cost_bounded_memory(fleet, started, pause):
    started += [
        Upstream(f"{NETWORK}.{UPSTREAM_HOST}", "s1"),
        Upstream(f"{NETWORK}.{UPSTREAM_HOST + 1}", "s2", records=BODY_BYTES // len(RECORD)),
    ]
    serve(started)
    before = read_counter(OUTCOMES)
    callers = []
    for number in range(GREEDY_CALLERS):
        callers.append(Connection(number))
        gevent.sleep(pause)
    wait_for(lambda: read_counter(OUTCOMES) - before, lambda ended: ended >= GREEDY_CALLERS)
    answers_held = read_counter(HELD, "answer")
    check_that_others_are_served(fleet)
    assert answers_held > 0
    assert read_counter(SHORTAGES) > 0
    for caller in callers:
        caller.close()


# Guards against an entry that reads large bodies of many callers at once, without a bound.
def test_callers_that_send_large_bodies_cost_bounded_memory(fleet, started):
    started += [
        Upstream(f"{NETWORK}.{UPSTREAM_HOST + number}", f"s{number + 1}") for number in (0, 1)
    ]
    serve(started)
    callers = [Connection(number, BODY_BYTES) for number in range(GREEDY_CALLERS)]
    sending = [gevent.spawn(caller.send, b"b" * (BODY_BYTES - 1)) for caller in callers]
    wait_for(refused_for_memory, lambda refused: refused >= GREEDY_CALLERS / 2)
    check_that_others_are_served(fleet)
    gevent.killall(sending)
    for caller in callers:
        caller.close()


def send_document(number, statuses):
    """Send most of a large document, and the rest once the others have been sent as well."""
    head = f"PUT /api/config HTTP/1.1\r\nHost: c\r\nContent-Length: {DOCUMENT_BYTES}\r\n\r\n"
    with (
        gevent.socket.create_connection(
            (CONTROL[0], CONTROL_PORT), TIMEOUT_SECONDS, source_address=(f"127.0.1.{number + 1}", 0)
        ) as connection,
        suppress(OSError),
    ):
        connection.sendall(head.encode() + b'{"a": "' + b"a" * (DOCUMENT_BYTES - 100))
        statuses.append(int(connection.recv(65_536).split(b" ")[1]))


# Guards against a control instance that reads large documents of many operators at once.
def test_large_documents_at_once_cost_control_bounded_memory(fleet, started):
    started += [
        Upstream(f"{NETWORK}.{UPSTREAM_HOST + number}", f"s{number + 1}") for number in (0, 1)
    ]
    serve(started)
    statuses: list[int] = []
    sending = [gevent.spawn(send_document, number, statuses) for number in range(OPERATORS)]
    wait_for(lambda: len(statuses), lambda refused: refused >= OPERATORS / 2)
    for _ in range(HEARTBEATS):
        assert started[0].send_heartbeat(control=CONTROL[0]).status == 200
    gevent.killall(sending)
    assert put_configuration({**configuration(4, service="s1")}, CONTROL[0]).status == 200
    assert set(statuses) == {503}
    peak = fleet.peak_memory(CONTROL[0]) / MEBIBYTE
    assert peak <= (1 - SPARE_SHARE) * CONTROL_LIMIT_MEBIBYTES, f"{peak:.0f} MiB"
