"""Tests of which control instance an entry follows."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import replace
from types import SimpleNamespace

import gevent
import pytest

from fulmarhold.clock import ManualClock
from fulmarhold.errors import PeerUnavailable
from fulmarhold.membership import watcher as watching
from fulmarhold.membership.evacuation import Evacuations
from fulmarhold.membership.feed import AskConfirmation, Confirmation, FeedReply
from fulmarhold.membership.statements import (
    DRAINING,
    READY,
    STARTING,
    InstanceStatement,
    UpstreamStatement,
)
from fulmarhold.membership.watcher import FAILURE_COOLDOWN, FleetWatcher
from fulmarhold.observe.counters import Counters
from fulmarhold.tests.control.test_feeds import ODD_STATEMENTS

SEEDS = ("far:1", "farther:1")
OWN = InstanceStatement("e", 1, 1, STARTING, "entry", "home", "e:80")
CONTROL = tuple(
    InstanceStatement(name, 1, 1, READY, "control", place, f"{name}:1")
    for name, place in (("far", "b"), ("farther", "c"), ("near", "home"))
)
FRESH_AGE, STALE_AGE = 10.0, 5_000.0


class FakeControlInstances:
    """Replies of control instances; every feed request runs a step and advances the clock."""

    def __init__(self, clock):
        self.clock, self.asked, self.down, self.ages = clock, [], set(), {}
        self.silent = set()
        self.upstreams, self.instances = (), CONTROL
        self.counters = Counters()
        self.local_endpoint = ""
        self.steps: deque = deque()

    def link(self, endpoint):
        fleet = self

        class Link:
            def __init__(self):
                self.endpoint = endpoint

            def call(self, request, timeout):
                age = fleet.ages.get(endpoint, FRESH_AGE)
                if isinstance(request, AskConfirmation):
                    if endpoint in fleet.silent:
                        gevent.sleep(timeout / 1_000)
                    if endpoint in fleet.silent | fleet.down:
                        raise PeerUnavailable("no reply", step="asking", peer=endpoint)
                    return Confirmation(True, age, fleet.local_endpoint)
                fleet.asked.append(endpoint)
                fleet.clock.advance(400.0)
                if not fleet.steps:
                    raise gevent.GreenletExit
                fleet.steps.popleft()()
                if endpoint in fleet.down:
                    raise PeerUnavailable("down", step="WatchFeed", peer=endpoint)
                return FeedReply("s", False, age, 1, 1, fleet.upstreams, fleet.instances, 0, None)

            def take_bytes(self):
                return 100

            def close(self):
                pass

        return Link()


@pytest.fixture
def fleet(monkeypatch):
    instances = FakeControlInstances(ManualClock())
    monkeypatch.setattr(watching, "Link", instances.link)
    monkeypatch.setattr(
        watching, "Links", lambda: SimpleNamespace(to=instances.link, close=nothing)
    )
    monkeypatch.setattr(watching, "RETRY_PAUSE", 0.0)
    return instances


def make_watcher(fleet, apply_configuration=lambda *_: None):
    return FleetWatcher(
        OWN, lambda: SEEDS, apply_configuration, lambda: None, fleet.clock, fleet.counters
    )


def follow(fleet, steps):
    fleet.steps = deque(steps)
    watcher = make_watcher(fleet)
    gevent.spawn(watcher.run).join(timeout=5)
    return fleet.asked


def nothing():
    pass


def test_an_entry_switches_to_the_control_instance_of_its_data_centre(fleet):
    assert follow(fleet, [nothing] * 4) == ["far:1", "far:1", "near:1", "near:1", "near:1"]


def test_feed_bytes_are_counted_by_the_data_centre_of_the_source(fleet):
    follow(fleet, [nothing] * 4)
    counted = [
        fleet.counters.value("peer_bytes", purpose="feed", data_centre=place)
        for place in ("same", "other", "unknown")
    ]
    assert counted[0] >= 200 and counted[1] >= 200 and counted[2] == 0


def test_a_lost_local_source_is_followed_again_when_it_returns(fleet):
    asked = follow(
        fleet,
        [nothing] * 3 + [lambda: fleet.down.add("near:1"), fleet.down.clear] + [nothing] * 12,
    )
    lost = len(asked) - 1 - asked[::-1].index("far:1")
    away = [endpoint for endpoint in asked[4 : lost + 1]]
    assert set(away) <= {"far:1", "farther:1"} and len(away) * 400.0 >= FAILURE_COOLDOWN - 400
    assert asked[-1] == "near:1"


def test_a_source_without_a_confirmed_leader_is_left_even_if_it_is_local(fleet):
    fleet.ages["near:1"] = STALE_AGE
    asked = follow(fleet, [nothing] * 8)
    assert asked.count("near:1") <= 2 and asked[-1] != "near:1"


def test_a_starting_entry_does_not_wait_for_a_source_that_never_answers(fleet):
    fleet.silent.add("far:1")
    started = time.monotonic()
    assert follow(fleet, [nothing])[0] == "farther:1"
    assert time.monotonic() - started < 0.1


# Load pattern: all entries of a large fleet start at once, and the seeds are in other data centres.
# Each entry gets the whole state from the first instance that it follows.
def test_a_starting_entry_gets_the_whole_state_in_its_data_centre(fleet):
    fleet.local_endpoint = "near:1"
    assert follow(fleet, [nothing] * 2) == ["near:1"] * 3


@pytest.mark.parametrize("trouble", ["down", "silent", "stale"])
def test_a_starting_entry_follows_another_one_if_the_local_one_can_not_be_followed(fleet, trouble):
    fleet.local_endpoint = "near:1"
    if trouble == "stale":
        fleet.ages["near:1"] = STALE_AGE
    else:
        getattr(fleet, trouble).add("near:1")
    started = time.monotonic()
    assert follow(fleet, [nothing])[0] == "far:1"
    assert time.monotonic() - started < 0.1


UPSTREAM = UpstreamStatement("u", 100, 1, READY, "parts", "10.0.0.1:80", "a", 2)


# Guards against entries that end or lose each source, because one fed statement can't be used.
@pytest.mark.parametrize("changes", ODD_STATEMENTS.values(), ids=ODD_STATEMENTS)
def test_a_fed_statement_that_cannot_be_used_is_skipped_and_the_others_hold(fleet, changes):
    odd = replace(UPSTREAM, **{"name": "odd", **changes})
    fleet.upstreams = (odd, UPSTREAM)
    watcher = make_watcher(fleet)
    fleet.steps = deque([nothing, nothing])
    gevent.spawn(watcher.run).join(timeout=5)
    assert watcher.upstreams.all() == watcher.serving_upstreams(("parts",)) == [UPSTREAM]
    assert fleet.asked == ["far:1", "far:1", "near:1"]
    assert fleet.counters.value("statements_skipped", subject="upstream") == 2


# Guards against an entry that ends because another instance's statement names no endpoint.
@pytest.mark.parametrize("changes", [{"born": 2**64}, {"data_centre": "\ud800"}], ids=ascii)
def test_a_fed_instance_that_cannot_be_used_is_skipped_and_the_others_hold(fleet, changes):
    odd = replace(OWN, **{"name": "odd", **changes})
    fleet.instances = (odd, replace(OWN, born=2**64), *CONTROL)
    watcher = make_watcher(fleet)
    fleet.steps = deque([nothing, nothing])
    gevent.spawn(watcher.run).join(timeout=5)
    assert watcher.instances.find("odd") is None
    assert watcher.own.born == OWN.born
    assert watcher.instances.find("near") is not None


# Guards against an upstream that is out of use because another writer has stated its address.
def test_a_statement_of_an_unknown_service_takes_no_address_from_an_upstream(fleet):
    stranger = replace(UPSTREAM, name="stranger", service="unnamed", born=UPSTREAM.born + 1)
    successor = replace(UPSTREAM, name="successor", service="more", born=UPSTREAM.born + 2)
    fleet.upstreams = (UPSTREAM, stranger)
    watcher = make_watcher(fleet)
    fleet.steps = deque([nothing, nothing])
    gevent.spawn(watcher.run).join(timeout=5)
    assert watcher.serving_upstreams({"parts"}) == [UPSTREAM]
    watcher.upstreams.apply(successor, 0.0)
    assert watcher.serving_upstreams({"parts", "more"}) == [successor]


# Guards against an upstream that is out of use because another writer has stated its name.
def test_a_statement_of_an_unknown_service_takes_no_name_from_an_upstream(fleet):
    stranger = replace(UPSTREAM, service="unnamed", born=UPSTREAM.born + 1)
    successor = replace(UPSTREAM, service="more", born=UPSTREAM.born + 2)
    fleet.upstreams = (UPSTREAM, stranger)
    watcher = make_watcher(fleet)
    fleet.steps = deque([nothing, nothing])
    gevent.spawn(watcher.run).join(timeout=5)
    assert watcher.serving_upstreams({"parts"}) == [UPSTREAM]
    watcher.upstreams.apply(successor, 0.0)
    assert watcher.serving_upstreams({"parts", "more"}) == [successor]
    watcher.upstreams.apply(replace(successor, state=DRAINING), 0.0)
    assert watcher.serving_upstreams({"parts", "more"}) == []


def reply_with(evacuations=None, *, version=0, age=FRESH_AGE):
    reply = FeedReply("s", False, age, 1, 1, (), (), version, b"c" if version else None)
    return replace(reply, evacuations=evacuations) if evacuations else reply


# Guards against a starting entry that serves before it knows what is evacuated.
def test_the_set_is_known_before_the_first_configuration_is_applied(fleet):
    seen: list[Evacuations] = []
    watcher: FleetWatcher = make_watcher(fleet, lambda *_: seen.append(watcher.evacuations))
    watcher._apply_reply(reply_with(Evacuations(2, ("a",)), version=5), 0.0)
    assert seen == [Evacuations(2, ("a",))]


@pytest.mark.parametrize(
    ("later", "kept"),
    [
        (reply_with(), 2),
        (reply_with(Evacuations(1, ("z",))), 2),
        (reply_with(Evacuations(2, ("z",))), 2),
        (reply_with(Evacuations(3)), 3),
        (reply_with(Evacuations(3), age=STALE_AGE), 3),
    ],
)
def test_only_a_newer_set_is_taken_over_and_asked_for(fleet, later, kept):
    watcher = make_watcher(fleet)
    watcher._apply_reply(reply_with(Evacuations(2, ("a",))), 0.0)
    watcher._apply_reply(later, 0.0)
    assert watcher.evacuations.version == watcher._feed_request().evacuations_version == kept
