"""Stand-in announcers keep their leases although an entry is unresponsive."""

from __future__ import annotations

import socket

import gevent
import pytest
from gevent.event import Event

from fulmarhold.clock import Clock
from fulmarhold.conftest import small_questionnaire
from fulmarhold.membership.announced import AnnouncedSet
from fulmarhold.membership.records import Announcement, UpstreamRecord
from fulmarhold.observe.counters import Counters
from fulmarhold.questionnaire.derive import derive_configuration
from fulmarhold.settings.loading import type_adapter
from fulmarhold.standin.announcer import Announcer
from fulmarhold.standin.behaviour import Behaviour
from fulmarhold.web.serving import make_application, read_json, start_server

TIMINGS = derive_configuration(small_questionnaire()).timings
LEASE = TIMINGS.announcement_lease_ms
ANNOUNCEMENTS = 8


class FakeUpstream:
    record = UpstreamRecord("s", 0, "l", 4, (1,), "127.0.0.1:9", 5, 1, 4, 10, "serving")
    behaviour = Behaviour()
    is_running = True
    load = 0.0


class FakeFinder:
    def __init__(self, addresses):
        self.addresses = addresses

    def find(self):
        return self.addresses


class FakeEntry:
    """The announcement endpoint of an entry; counts the leases that ended."""

    def __init__(self):
        self.counters = Counters()
        self.heard = 0
        self.done = Event()
        self._announced = AnnouncedSet(Clock(), self.counters)
        application = make_application(self.counters, lambda: "")
        application.add_route("/announce", self)
        self.server = start_server(application, "127.0.0.1", 0)
        self.endpoint = f"127.0.0.1:{self.server.server_port}"

    def on_post(self, request, response):
        self._announced.expire()
        announcement = type_adapter(Announcement).validate_python(read_json(request))
        is_held = self._announced.apply(announcement, LEASE)
        self.heard += is_held
        if self.heard >= ANNOUNCEMENTS:
            self.done.set()
        response.media = {
            "token": self._announced.issue_token(),
            "lease_ms": LEASE,
            "period_ms": TIMINGS.announcement_period_ms,
            "is_held": is_held,
        }


@pytest.fixture
def entry():
    entry = FakeEntry()
    yield entry
    entry.server.stop(timeout=0)


@pytest.fixture
def unresponsive():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(64)
        yield f"127.0.0.1:{listener.getsockname()[1]}"


def announce(upstream, finder, entry):
    task = gevent.spawn(Announcer(upstream, finder).run)
    try:
        assert entry.done.wait(timeout=ANNOUNCEMENTS * 2)
    finally:
        task.kill()
    return entry.counters.value("leases_ended", reason="silence")


def test_an_unresponsive_entry_ends_no_lease_at_the_other(entry, unresponsive):
    assert announce(FakeUpstream(), FakeFinder((unresponsive, entry.endpoint)), entry) == 0


def test_a_slow_lookup_of_entries_ends_no_lease(entry):
    class SlowFinder(FakeFinder):
        def find(self):
            gevent.sleep(0.4)
            return self.addresses

    assert announce(FakeUpstream(), SlowFinder((entry.endpoint,)), entry) == 0
