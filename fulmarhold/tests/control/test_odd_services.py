"""Heartbeats of other writers, with the name of a running upstream and a service nobody names."""

from __future__ import annotations

from dataclasses import replace

import pytest

from fulmarhold.control.feeds import MISSED_HEARTBEATS
from fulmarhold.membership.feed import ReportHeard, WatchFeed
from fulmarhold.membership.statements import DRAINING, READY, SILENT
from fulmarhold.membership.watcher import FleetWatcher
from fulmarhold.observe.counters import Counters
from fulmarhold.tests.control.test_feeds import (
    ENTRY,
    HEARTBEAT,
    clock,
    handlers,
    make_feeds,
    run_pending_greenlets,
)

__all__ = ("clock", "make_feeds")

HEARTBEAT_PERIOD = 1_200.0
SERVICES = (HEARTBEAT.service,)
ODD = replace(HEARTBEAT, service="nowhere", born=90_000)


class Fleet:
    """One control instance and an entry that takes over its statements."""

    def __init__(self, built, clock):
        self.feeds, self.peer, self.machine = built
        self.clock = clock
        self._watcher = FleetWatcher(
            ENTRY, lambda: (), lambda *_: None, lambda: None, clock, Counters()
        )
        self._sequence = 1

    def beat(self, *, times=1):
        for _ in range(times):
            self._sequence += 1
            self.feeds.record_upstream(replace(HEARTBEAT, sequence=self._sequence))
            self.clock.advance(HEARTBEAT_PERIOD)
            self.feeds.maintain()
            run_pending_greenlets()

    def serving(self, services=SERVICES):
        """The services and starts of the upstreams that the entry uses."""
        for statement in self.feeds.watch(WatchFeed(ENTRY, "", 0, 0, 0)).upstreams:
            self._watcher.upstreams.apply(statement, self.clock.now())
        return [(item.service, item.born) for item in self._watcher.serving_upstreams(services)]


@pytest.fixture
def fleet(make_feeds, clock):
    return Fleet(make_feeds(), clock)


LIVE = (HEARTBEAT.service, HEARTBEAT.born)


# Guards against a single heartbeat that takes a running upstream out of use for as long as it runs.
@pytest.mark.parametrize(
    "odd",
    [
        ODD,
        replace(ODD, sequence=900),
        replace(ODD, address="10.0.0.9:80"),
        replace(ODD, born=HEARTBEAT.born),
        replace(ODD, born=0, sequence=0),
        replace(ODD, state=DRAINING),
        replace(ODD, state=DRAINING, sequence=900, born=2**53),
    ],
)
@pytest.mark.parametrize("odd_first", [False, True])
def test_an_unknown_service_takes_no_name_from_a_running_upstream(fleet, odd, odd_first):
    if not odd_first:
        fleet.beat()
    assert fleet.feeds.record_upstream(odd)
    fleet.beat()
    assert fleet.serving() == [LIVE]
    fleet.beat(times=2 * MISSED_HEARTBEATS)
    assert fleet.serving() == [LIVE]


def test_the_odd_statement_falls_silent_while_the_upstream_is_heard(fleet):
    fleet.beat()
    fleet.feeds.record_upstream(ODD)
    fleet.beat(times=2 * MISSED_HEARTBEATS)
    states = {item.service: item.state for item in fleet.feeds.upstreams.named("u")}
    assert states == {"parts": READY, "nowhere": SILENT}
    assert fleet.serving() == [LIVE]


def test_reports_of_peers_count_for_the_start_that_they_name(fleet):
    fleet.beat()
    fleet.feeds.record_upstream(ODD)
    for number in range(2 * MISSED_HEARTBEATS):
        report = ReportHeard("other:1", ((HEARTBEAT.name, HEARTBEAT.born, 100 + number),))
        handlers(fleet.feeds).dispatch(report)
        fleet.clock.advance(HEARTBEAT_PERIOD)
        fleet.feeds.maintain()
    states = {item.service: item.state for item in fleet.feeds.upstreams.named("u")}
    assert states == {"parts": READY, "nowhere": SILENT}


def test_a_start_in_a_service_that_is_named_later_takes_the_name_over(fleet):
    fleet.beat()
    fleet.feeds.record_upstream(ODD)
    assert fleet.serving() == [LIVE]
    assert fleet.serving((*SERVICES, "nowhere")) == [("nowhere", ODD.born)]


def test_departures_end_the_start_that_they_name_in_any_service(fleet):
    fleet.beat()
    fleet.feeds.record_upstream(ODD)
    assert fleet.feeds.deregister_upstream("u", HEARTBEAT.born)
    assert fleet.serving((*SERVICES, "nowhere")) == [("nowhere", ODD.born)]
    assert fleet.feeds.deregister_upstream("u")
    assert fleet.serving((*SERVICES, "nowhere")) == []
    assert fleet.machine.state.retired == {"u parts": HEARTBEAT.born, "u nowhere": ODD.born}


def test_a_peer_that_was_unreachable_gets_all_statements_of_a_name(fleet):
    fleet.peer.is_up = False
    fleet.beat()
    fleet.feeds.record_upstream(ODD)
    run_pending_greenlets()
    fleet.peer.is_up = True
    fleet.beat()
    received = {item.service for item in fleet.peer.received_upstreams()}
    assert received == {"parts", "nowhere"}
