"""Control processes whose disks are full in turn, while changes are sent to all of them."""

from __future__ import annotations

import itertools
import re
from contextlib import suppress

import gevent
import pytest

from fulmarhold.clock import SECOND, Clock
from fulmarhold.control.voter_changes import VOTER_SILENCE_LIMIT
from fulmarhold.errors import PeerUnavailable
from fulmarhold.tests.platform.fleet import (
    CONTROL,
    CONTROL_PORT,
    SUCCESSORS,
    PlatformFleet,
    configuration,
    read_metrics,
    wait_for,
)
from fulmarhold.web.client import request_json

# One more than the voters, so that a voter that is silent for long is replaced.
MEMBERS = (*CONTROL, SUCCESSORS[0])
ACKNOWLEDGEMENT_BOUND = 5_000.0
CHANGE_PERIOD = 60.0
# Long enough that a leader whose disk is full is replaced as leader, and then as voter.
FULL_FOR = VOTER_SILENCE_LIMIT + 2_000.0
SHORTLY_FULL_FOR = 1_200.0


class Operator:
    """Sends changes with rising versions to the members in turn, each once."""

    def __init__(self):
        self.acknowledged = [0]
        self._versions = itertools.count(1)
        self._greenlet = gevent.spawn(self._run)

    def change(self, address):
        """Send one change; returns its version if it was acknowledged and 0 otherwise."""
        version = next(self._versions)
        with suppress(PeerUnavailable, OSError):
            answer = request_json(
                f"{address}:{CONTROL_PORT}", "PUT", "/api/config", body=configuration(version)
            )
            if answer.status == 200:
                self.acknowledged.append(version)
                return version
        return 0

    def stop(self):
        self._greenlet.kill()

    def _run(self):
        for address in itertools.cycle(MEMBERS):
            gevent.spawn(self.change, address)
            gevent.sleep(CHANGE_PERIOD / SECOND)


@pytest.fixture
def core(tmp_path):
    started = PlatformFleet(tmp_path)
    for address in MEMBERS:
        started.start(address)
    operator = Operator()
    wait_for(lambda: max(operator.acknowledged), lambda version: version > 0)
    for address in MEMBERS:
        wait_for(lambda to=address: gauge(to, "commit_index"), lambda index: index > 0)
    yield started, operator
    operator.stop()
    started.kill()


def gauge(address, name):
    """Return a gauge of a control process; raises `OSError` if it can't be read."""
    found = re.search(
        rf"^fulmarhold_control_{name} ([0-9.]+)$", read_metrics(address), re.MULTILINE
    )
    return float(found[1]) if found else 0.0


def leader():
    return wait_for(
        lambda: [address for address in MEMBERS if gauge(address, "leads")], lambda found: found
    )[0]


def fill_for(fleet, address, duration):
    fleet.set_disk_full(address, is_full=True)
    gevent.sleep(duration / SECOND)
    fleet.set_disk_full(address, is_full=False)


def check_recovered(fleet, operator):
    for address in MEMBERS:
        version, until = 0, Clock().now() + ACKNOWLEDGEMENT_BOUND
        while not version and Clock().now() < until:
            version = operator.change(address)
        assert version, f"{address} gets no change through"
        read = wait_for(
            lambda to=address: request_json(f"{to}:{CONTROL_PORT}", "GET", "/api/config"),
            lambda answer: answer.status == 200,
        )
        assert read.body["version"] >= max(operator.acknowledged[:-1])
    operator.stop()
    wait_for(
        lambda: {gauge(address, "commit_index") for address in MEMBERS},
        lambda indexes: len(indexes) == 1,
    )
    wait_for(
        lambda: [sum(gauge(item, name) for item in MEMBERS) for name in ("can_store", "votes")],
        lambda counts: counts == [len(MEMBERS), len(CONTROL)],
    )
    for address in MEMBERS:
        assert fleet.is_running(address)
        answer = request_json(f"{address}:{CONTROL_PORT}", "GET", "/api/config")
        assert answer.body["version"] >= max(operator.acknowledged)


def test_changes_go_on_after_the_disk_of_each_leader_in_turn_was_full(core):
    # Guards against members that don't come back to work after they were replaced as voters.
    fleet, operator = core
    for _ in MEMBERS:
        fill_for(fleet, leader(), FULL_FOR)
    check_recovered(fleet, operator)


def test_changes_go_on_after_the_disk_of_each_member_was_full_twice(core):
    fleet, operator = core
    for address in (*MEMBERS, *reversed(MEMBERS)):
        fill_for(fleet, address, SHORTLY_FULL_FOR)
    check_recovered(fleet, operator)
