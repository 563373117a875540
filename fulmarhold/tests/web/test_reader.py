"""The reader of requests and the budgets, without a network: limits, and no leaks in any order."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarhold.clock import ManualClock
from fulmarhold.limits.connections import ConnectionBudget, Phase
from fulmarhold.limits.memory import MEBIBYTE, OWNER_SHARE, Holder, MemoryBudget, held_bytes_limit
from fulmarhold.observe.counters import Counters
from fulmarhold.routes.configuration import CallerLimits
from fulmarhold.web.reader import RequestReader

LIMITS = CallerLimits()
SHORT = b"GET / HTTP/1.1\r\n\r\n"
POST = b"POST /p HTTP/1.1\r\nHost: h\r\n"
LAST_CHUNKS = b"fa0\r\n" + 4_000 * b"b" + b"\r\n0\r\n\r\n"
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"


def with_body(size, sent):
    return POST + b"Content-Length: %d\r\n\r\n" % size + sent * b"b"


def with_lines(line):
    """Return a head of the largest size made of one kind of line."""
    start = b"GET / HTTP/1.1\r\n"
    room = LIMITS.header_bytes - len(start) - 2
    return start + room // len(line) * line + b"\r\n"


class Caller:
    """A connection as the server for callers handles it, without its socket."""

    def __init__(self, memory, connections, clock, address):
        self._clock = clock
        self.reader = RequestReader(address, memory, LIMITS)
        self.tracked = connections.open(address, lambda _: self.leave())
        self._connections = connections
        self.running = []
        self.is_gone = False

    def send(self, data):
        self.tracked.enter(Phase.RUNNING, self._clock.now())
        self.reader.add(data)
        self.reader.parse(self._clock.now())
        self.take()

    def take(self):
        """Run the next request, and note what the connection waits for."""
        reader, now = self.reader, self._clock.now()
        if reader.has_requests and not self.running:
            self.running.append(reader.take())
            self.tracked.enter(Phase.RUNNING, now)
        elif not self.running and reader.partial is not None:
            self.tracked.held, self.tracked.owners = reader.partial.held, reader.partial.owners
            self.tracked.enter(Phase.READING, now, reader.partial.progress)

    def answer(self):
        while self.running:
            self.running.pop().release()
        if not self.is_gone:
            self.reader.parse(self._clock.now())
            self.take()

    def leave(self):
        self.is_gone = True
        self.reader.release()
        while self.running:
            self.running.pop().release()
        self._connections.close(self.tracked)
        return True


def read(data, memory_bytes=64 * MEBIBYTE):
    """Return the reader of a connection that has sent some bytes, and the memory."""
    clock, counters = ManualClock(), Counters()
    memory = MemoryBudget(held_bytes_limit(memory_bytes), clock, counters)
    reader = RequestReader("a", memory, LIMITS)
    reader.add(data)
    reader.parse(0.0)
    return reader, memory


# Guards against limits that a caller inside the documented ones meets while nothing else goes on.
@pytest.mark.parametrize(
    "data",
    [with_lines(line) for line in (b"a:\r\n", b"ab:\r\n", b"X-A: b\r\n", b"!~: \xe9\r\n")]
    + [with_body(LIMITS.body_bytes, LIMITS.body_bytes)]
    + [CHUNKED + 20_000 * b"2\r\nbb\r\n" + b"0\r\n\r\n"],
)
def test_a_single_request_inside_the_limits_is_read(data):
    reader, memory = read(data)
    assert reader.refusal is None
    reader.take().release()
    assert memory.held == 0


# Guards against parts of a request that no limit counted, and that grow without end.
@pytest.mark.parametrize(
    ("data", "status"),
    [
        (with_lines(b"a:\r\n")[:-2] + 100 * b"a:\r\n", 431),
        (20_000 * b"\r\n", 431),
        (CHUNKED + b"1;" + 50_000 * b"e", 431),
        (CHUNKED + b"0\r\n" + 50_000 * b"a", 431),
        (CHUNKED + b"0\r\n" + 5_000 * b"a: b\r\n", 431),
        (with_body(LIMITS.body_bytes + 1, 0), 413),
    ],
    ids=["lines", "empty lines", "chunk extension", "trailer name", "trailers", "body"],
)
def test_what_grows_without_end_is_refused(data, status):
    reader, memory = read(data)
    assert reader.refusal is not None and reader.refusal.status == status
    reader.release()
    assert memory.held == 0


# Guards against memory that stays counted for a request whose last bytes have no room.
def test_a_request_whose_end_has_no_room_is_refused_and_given_back():
    reader, memory = read(CHUNKED + b"2\r\nbb\r\n")
    assert memory.held > 0
    others = memory.open_fixed(Holder.ANSWER)
    others.grow(memory.limit)
    reader.add(LAST_CHUNKS)
    reader.parse(0.0)
    assert reader.refusal is not None and reader.refusal.status == 503
    reader.release()
    assert memory.held == others.size


# Guards against thousands of requests that were sent ahead and are kept as objects uncounted.
def test_requests_sent_ahead_stay_bytes_until_they_are_needed():
    reader, memory = read(3_000 * SHORT)
    assert 3_000 * len(SHORT) < memory.held < 4 * 3_000 * len(SHORT)
    for _ in range(3_000):
        reader.parse(0.0)
        reader.take().release()
    assert not reader.has_begun
    assert memory.held == 0


STEPS = st.lists(
    st.tuples(
        st.sampled_from(("come", "send", "send", "send", "answer", "leave", "wait", "crowd")),
        st.integers(0, 7),
        st.sampled_from(
            [
                SHORT, 200 * SHORT, SHORT[:-2], with_body(5_000, 4_999), with_body(9, 9), b"b",
                500 * b"b", with_lines(b"ab:\r\n"), with_lines(b"Host:\r\n")[:-2], CHUNKED,
                b"2\r\nbb\r\n", LAST_CHUNKS, b"0\r\n\r\n", b"0\r\na: b\r\n", b"\r\n",
                b"nonsense\r\n\r\n",
            ]
        ),
    ),
    max_size=60,
)  # fmt: skip


@settings(max_examples=300, derandomize=True, deadline=None)
@given(limit=st.sampled_from([30_000, 1_000_000]), steps=STEPS)
def test_in_any_order_of_callers_nothing_leaks_and_all_is_given_back(limit, steps):
    clock, counters = ManualClock(), Counters()
    memory = MemoryBudget(limit, clock, counters)
    connections = ConnectionBudget(clock, counters)
    memory.relieve = connections.relieve
    callers: list[Caller] = []
    for event, number, data in steps:
        callers = [item for item in callers if not item.is_gone]
        caller = callers[number % len(callers)] if callers else None
        match event:
            case "come":
                callers.append(Caller(memory, connections, clock, f"10.0.0.{number % 3}"))
            case "send" if caller and caller.reader.refusal is None:
                caller.send(data)
            case "answer" if caller:
                caller.answer()
            case "leave" if caller:
                caller.leave()
            case "wait":
                clock.advance(300.0 * number)
            case "crowd":
                connections.refusal("10.0.0.9", descriptor=1_000, limit=1_024)
        present = [item for item in callers if not item.is_gone]
        assert connections.count == len(present)
        gauges = [*memory.gauges(), *connections.gauges()]
        assert min(value for _, _, value in gauges) >= 0
        assert memory.held >= sum(item.reader.unread_bytes for item in present)
        if not present:
            assert memory.held == 0
    for caller in callers:
        caller.leave()
        caller.leave()
    assert memory.held == connections.count == 0
    share = int(OWNER_SHARE * memory.limit)
    for owner in (*(f"caller 10.0.0.{number}" for number in range(3)), "account h", "account "):
        assert memory.fits((owner,), share)
        assert not memory.fits((owner,), share + 1)
