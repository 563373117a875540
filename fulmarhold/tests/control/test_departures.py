"""Departures that are held up on their way, and arrive after their upstream has started again."""

from __future__ import annotations

from dataclasses import replace

import pytest

from fulmarhold.control.continuing import ContinuingUpstreams
from fulmarhold.control.feeds import MISSED_HEARTBEATS, REPORT_PERIOD
from fulmarhold.control.machine import ControlMachine, encode_command
from fulmarhold.control.state import encode_state
from fulmarhold.membership.feed import RetireUpstream, WatchFeed
from fulmarhold.membership.statements import DRAINING, LEFT, READY, StatementStore
from fulmarhold.tests.control.test_feeds import (
    ENTRY,
    HEARTBEAT,
    clock,
    make_feeds,
    run_pending_greenlets,
)

__all__ = ("clock", "make_feeds")

HEARTBEAT_PERIOD = 1_200.0
# How long the heartbeats of an upstream that has left may still arrive.
LATENESS = MISSED_HEARTBEATS * HEARTBEAT_PERIOD
EARLIER, LATER = HEARTBEAT, replace(HEARTBEAT, born=90_000)


class Fleet:
    """One control instance and an entry that takes over its statements."""

    def __init__(self, built, clock):
        self.feeds, self.peer, self.machine = built
        self.clock = clock
        self._entry: StatementStore = StatementStore()
        self._sequence = 0

    def beat(self, statement, *, times=1):
        """Send heartbeats of a start, one a period."""
        for _ in range(times):
            self._sequence += 1
            self.feeds.record_upstream(replace(statement, sequence=self._sequence))
            self.clock.advance(HEARTBEAT_PERIOD)
            self.feeds.maintain()
            run_pending_greenlets()

    @property
    def state(self):
        """The state of the upstream as the entry knows it."""
        for statement in self.feeds.watch(WatchFeed(ENTRY, "", 0, 0, 0)).upstreams:
            self._entry.apply(statement, self.clock.now())
        (known,) = self._entry.all()
        return known.state


@pytest.fixture
def fleet(make_feeds, clock):
    return Fleet(make_feeds(), clock)


def restart(fleet):
    """Let an upstream announce that it drains, and start again under its name."""
    fleet.beat(EARLIER)
    assert fleet.feeds.record_upstream(replace(EARLIER, sequence=2, state=DRAINING))
    fleet.beat(LATER)
    assert fleet.state == READY


# Guards against a late departure of an earlier start that ends the running one for good.
def test_an_upstream_that_goes_on_after_a_departure_without_a_start_is_used_again(fleet):
    restart(fleet)
    assert fleet.feeds.deregister_upstream("u")
    # It may be leaving, so that it gets nothing before it is heard for long enough.
    fleet.beat(LATER, times=MISSED_HEARTBEATS)
    assert fleet.state == LEFT
    fleet.beat(LATER, times=2)
    assert fleet.state == READY
    assert fleet.feeds._counters.value("departures", result="taken_back") == 1
    # The next departure ends it again, and what it says by its own start still counts for it.
    assert fleet.feeds.deregister_upstream("u") and fleet.state == LEFT
    fleet.beat(LATER, times=MISSED_HEARTBEATS + 2)
    assert fleet.state == READY
    assert fleet.feeds.record_upstream(replace(LATER, sequence=500, state=DRAINING))
    fleet.beat(LATER, times=2 * MISSED_HEARTBEATS)
    assert fleet.state == DRAINING


def test_a_departure_that_names_its_start_ends_no_other_one(fleet):
    restart(fleet)
    assert fleet.feeds.deregister_upstream("u", EARLIER.born)
    assert fleet.state == READY and fleet.machine.state.retired == {"u parts": EARLIER.born}
    assert fleet.feeds.deregister_upstream("u", LATER.born)
    fleet.beat(LATER, times=2 * MISSED_HEARTBEATS)
    assert fleet.state == DRAINING


def test_a_named_departure_ends_a_start_that_was_in_doubt(fleet):
    restart(fleet)
    fleet.feeds.deregister_upstream("u")
    fleet.feeds.deregister_upstream("u", LATER.born)
    fleet.beat(LATER, times=2 * MISSED_HEARTBEATS)
    assert fleet.state == DRAINING and fleet.machine.state.doubted == {}


def test_a_named_departure_ends_a_start_that_went_on(fleet):
    restart(fleet)
    fleet.feeds.deregister_upstream("u")
    fleet.beat(LATER, times=MISSED_HEARTBEATS + 2)
    assert fleet.state == READY
    fleet.feeds.deregister_upstream("u", LATER.born)
    fleet.beat(LATER, times=2 * MISSED_HEARTBEATS)
    assert fleet.state == DRAINING


# Guards against using an upstream that has left, because its last heartbeats come late.
@pytest.mark.parametrize(
    "arrivals",
    [
        # All at once, also long after: the instance was suspended.
        [(2_000.0, sequence) for sequence in range(10, 20)],
        [(30_000.0, sequence) for sequence in range(10, 20)],
        # Spread over the time for which they may be late.
        [(LATENESS * step / 10, 10 + step) for step in range(10)],
        # The same one again, and out of order.
        [(1_000.0 * step, 10) for step in range(20)],
        [(1_000.0 * step, 30 - step) for step in range(20)],
        # A few that are later than that.
        [(0.0, 10), (LATENESS - 1, 11), (2 * LATENESS - 2, 12)],
    ],
)
def test_late_heartbeats_do_not_revive_an_upstream(fleet, clock, arrivals):
    fleet.beat(LATER)
    fleet.feeds.deregister_upstream("u")
    started_at = clock.now()
    for at, sequence in arrivals:
        clock.advance(max(0.0, started_at + at - clock.now()))
        fleet.feeds.record_upstream(replace(LATER, sequence=sequence))
        assert fleet.state == LEFT


def test_a_new_start_is_used_at_once_after_a_departure_without_a_start(fleet):
    restart(fleet)
    fleet.feeds.deregister_upstream("u")
    fleet.beat(replace(LATER, born=LATER.born + 5_000))
    assert fleet.state == READY


# Guards against an instance that starts anew and takes a running upstream for one that has left.
def test_a_restarted_instance_knows_that_an_upstream_went_on(make_feeds, clock):
    fleet = Fleet(make_feeds(), clock)
    restart(fleet)
    fleet.feeds.deregister_upstream("u")
    fleet.beat(LATER, times=MISSED_HEARTBEATS + 2)
    fleet.feeds._statement_file._saver.join()
    kept = encode_state(fleet.machine.state)
    other = Fleet(make_feeds(catches_up=False), clock)
    other.machine.restore(kept)
    other.feeds.catch_up()
    other.beat(LATER)
    assert other.state == READY


def test_the_log_keeps_which_departures_named_no_start():
    machine = ControlMachine()

    def retire(born, *, names_start):
        machine.apply(encode_command(RetireUpstream("u", born, 0.0, names_start)))
        return machine.state.retired["u"], machine.state.doubted.get("u")

    assert retire(100, names_start=False) == (100, 100)
    # It went on, and a further departure without a start came.
    assert retire(101, names_start=False) == (101, 100)
    assert retire(101, names_start=False) == (101, 100)
    restored = ControlMachine()
    restored.restore(encode_state(machine.state))
    assert restored.state == machine.state
    assert retire(100, names_start=True) == (101, 100)
    assert retire(101, names_start=True) == (101, None)
    assert retire(101, names_start=False) == (101, None)
    assert retire(900, names_start=False) == (900, 900)


def test_counts_of_heartbeats_are_forgotten():
    continuing = ContinuingUpstreams(LATENESS)
    for number in range(50):
        continuing.note(replace(HEARTBEAT, name=f"u{number}"), number * REPORT_PERIOD)
    assert len(continuing) == 50
    continuing.forget_ended(49 * REPORT_PERIOD + LATENESS)
    assert len(continuing) == 1
    continuing.end(replace(HEARTBEAT, name="u49"))
    assert len(continuing) == 0
