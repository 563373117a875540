"""The connections of callers to one process: who is refused, and who gives way."""

from __future__ import annotations

import pytest

from fulmarhold.clock import ManualClock
from fulmarhold.limits.connections import ConnectionBudget, Phase, Refusal
from fulmarhold.limits.memory import Holder, MemoryBudget
from fulmarhold.limits.progress import Progress
from fulmarhold.observe.counters import Counters

LIMIT = 1_024
SHORT = 900
EXHAUSTED = 970
IDLE = 15_000.0


class Fixture:
    """A budget, and the names of connections that gave way."""

    def __init__(self, max_connections=4_100):
        self.clock, self.counters = ManualClock(), Counters()
        self.budget = ConnectionBudget(self.clock, self.counters, max_connections)
        self.memory = MemoryBudget(1_000, self.clock, self.counters)
        self.memory.relieve = self.budget.relieve
        self.gone = []
        # Connections that could go on, which only this process has not come to.
        self.ready: set[str] = set()

    def open(self, name, phase=Phase.IDLE, caller="a", held=0):
        connection = self.budget.open(caller, lambda why: self._end(name, connection))
        progress = Progress(self.clock.now(), IDLE) if phase is Phase.READING else None
        connection.enter(phase, self.clock.now(), progress)
        connection.owners = (f"caller {caller}",)
        connection.held = self.memory.open_fixed(Holder.REQUEST, connection.owners)
        connection.held.grow(held)
        return connection

    def _end(self, name, connection):
        if name in self.ready:
            return False
        self.gone.append(name)
        connection.held.release()
        return True

    def refusal(self, caller="b", descriptor=SHORT):
        return self.budget.refusal(caller, descriptor, LIMIT)


@pytest.fixture
def callers():
    return Fixture()


# Guards against unfinished requests that hold every descriptor, and against ending sound ones.
def test_the_stalled_give_way_first_and_running_requests_never(callers):
    callers.open("running", Phase.RUNNING)
    callers.open("idle")
    callers.open("sending", Phase.SENDING)
    callers.open("reading", Phase.READING)
    callers.clock.advance(2_000.0)
    fresh = callers.open("fresh", Phase.READING)
    assert [callers.refusal() for _ in range(3)] == [None] * 3
    assert callers.gone == ["reading", "sending", "idle"]
    callers.clock.advance(900.0)
    fresh.progress.add(1_000, callers.clock.now())
    callers.clock.advance(900.0)
    assert callers.refusal(descriptor=EXHAUSTED) is Refusal.DESCRIPTORS
    assert callers.gone == ["reading", "sending", "idle"]
    assert callers.counters.value("caller_connections_refused", reason="descriptors") == 1


def test_the_address_with_most_connections_gives_way_first(callers):
    callers.open("single", Phase.READING, caller="single")
    for number in range(3):
        callers.clock.advance(1.0)
        callers.open(f"many {number}", Phase.READING, caller="many")
    callers.clock.advance(2_000.0)
    assert callers.refusal() is None
    assert callers.gone == ["many 0"]


# Guards against refusing callers because upstreams use the descriptors, and against one that has
# all but the last reserve.
@pytest.mark.parametrize(
    ("others", "descriptor", "expected"),
    [
        (0, 800, None),
        (0, SHORT, None),
        (300, 800, None),
        (300, SHORT, Refusal.DESCRIPTORS),
        (0, EXHAUSTED, Refusal.DESCRIPTORS),
    ],
)
def test_callers_keep_a_share_of_the_descriptors(callers, others, descriptor, expected):
    for number in range(others):
        callers.open(str(number), Phase.RUNNING, caller=str(number))
    assert callers.refusal(descriptor=descriptor) is expected


@pytest.mark.parametrize(
    ("phase", "expected"), [(Phase.RUNNING, Refusal.ADDRESS), (Phase.READING, None)]
)
def test_one_address_does_not_take_the_places_of_all(callers, phase, expected):
    for number in range(784):
        callers.open(str(number), phase, caller="many")
    callers.clock.advance(2_000.0)
    assert callers.refusal("many", descriptor=800) is expected
    assert callers.refusal("other", descriptor=800) is None
    assert len(callers.gone) == (expected is None)


def test_the_number_of_connections_is_bounded_in_all():
    callers = Fixture(max_connections=2)
    callers.open("running", Phase.RUNNING)
    callers.open("stalled", Phase.READING)
    assert callers.refusal(descriptor=10) is Refusal.TOTAL
    callers.clock.advance(2_000.0)
    assert callers.refusal(descriptor=10) is None
    assert callers.gone == ["stalled"]


# Guards against bodies that stop short of their end and keep out those of others: the costliest of
# them gives way, for an owner's share only the owner's.
@pytest.mark.parametrize(
    ("caller", "size", "expected"),
    [("c", 100, ["large"]), ("a", 150, ["mine"]), ("c", 10, [])],
    ids=["all", "share", "room"],
)
def test_stalled_requests_give_way_where_memory_is_short(callers, caller, size, expected):
    callers.open("mine", Phase.READING, caller="a", held=300)
    callers.open("large", Phase.READING, caller="b", held=380 if caller == "c" else 200)
    callers.clock.advance(2_000.0)
    owners = (f"caller {caller}",)
    assert callers.memory.fits(owners, size)
    assert callers.gone == expected


def test_requests_that_make_progress_do_not_give_way(callers):
    for name in ("a", "b"):
        callers.open(name, Phase.READING, caller=name, held=390)
    callers.clock.advance(900.0)
    assert not callers.memory.fits(("caller c",), 100)
    assert callers.gone == []


# Guards against a process that was held up, and takes all of its callers for stalled.
def test_a_connection_that_could_go_on_does_not_give_way(callers):
    for name in ("first", "second", "third"):
        callers.open(name, Phase.READING, caller=name, held=240)
    callers.ready |= {"first", "third"}
    callers.clock.advance(2_000.0)
    assert callers.memory.fits(("caller x",), 200)
    callers.ready.add("second")
    callers.clock.advance(2_000.0)
    assert callers.refusal(descriptor=EXHAUSTED) is Refusal.DESCRIPTORS
    assert callers.gone == ["second"]
    assert callers.budget.count == 2
