"""Evacuation of a data centre with the platform's daemons, and its interface for operators."""

from __future__ import annotations

import signal
from contextlib import suppress
from types import SimpleNamespace
from typing import Any

import gevent
import pytest
from falcon import testing

from fulmarhold.clock import ManualClock
from fulmarhold.consensus.core import NotLeader
from fulmarhold.control import evacuations as evacuations_module
from fulmarhold.control.evacuations import EvacuationService
from fulmarhold.control.leader import DECISION_TIMEOUT
from fulmarhold.control.machine import ControlMachine
from fulmarhold.errors import PeerUnavailable
from fulmarhold.limits.memory import MemoryBudget
from fulmarhold.observe.counters import Counters
from fulmarhold.platform.encoding import CONTROL_PORT, EVACUATION_PATH
from fulmarhold.platform.interfaces import control_application
from fulmarhold.tests.platform.fleet import (
    CONTROL,
    ENTRIES,
    NETWORK,
    RECORD,
    Upstream,
    configuration,
    put_configuration,
    read_metrics,
    send_request,
    wait_for,
)
from fulmarhold.web.client import request_json
from fulmarhold.web.server import SOCKET_KEY


class Interface:
    """The platform's interface on an instance that leads, or that knows no leader."""

    def __init__(self):
        self.clock, self.counters, self.machine = ManualClock(), Counters(), ControlMachine()
        self.is_formed, self.leader_endpoint = True, None
        self.core = SimpleNamespace(is_leader=True)
        node: Any = self
        service = EvacuationService(node, self.machine, self.clock, self.counters)
        memory = MemoryBudget(1_000_000, self.clock, self.counters)
        none: Any = None
        self.client = testing.TestClient(
            control_application(
                none, none, "10.0.0.1:80", self.clock, self.counters, memory, service
            )
        )

    def propose(self, data):
        if not self.core.is_leader:
            self.clock.advance(DECISION_TIMEOUT)
            raise NotLeader(None)
        return self.machine.apply(data)

    def send(self, method, name, **options):
        return self.client.simulate_request(method, EVACUATION_PATH + name, **options)

    def orders(self, order, result):
        return self.counters.value("evacuation_orders", order=order, result=result)


@pytest.fixture
def interface():
    return Interface()


def test_orders_are_acknowledged_again_without_a_change(interface):
    for result in ("changed", "unchanged"):
        answer = interface.send("POST", "a")
        assert (answer.status_code, answer.json) == (200, {"evacuated": ["a"], "version": 1})
        assert interface.orders("evacuate", result) == 1
    assert interface.send("POST", "Unheard_of-2.x").status_code == 200
    for version in (3, 3):
        assert interface.send("DELETE", "a").json["version"] == version
    assert interface.orders("restore", "unchanged") == 1


@pytest.mark.parametrize(
    "name", ["", "a%20b", "a%2Fb", "a/b", "a/", "%C3%A9", "%00", "a%0A", "..", "-a", "a" * 65]
)
@pytest.mark.parametrize("method", ["POST", "DELETE"])
def test_an_invalid_name_is_answered_400(interface, method, name):
    assert interface.send(method, name).status_code == 400
    assert interface.machine.state.evacuation_orders == 0


@pytest.mark.parametrize("name", ["a", "7", "_", "a" * 64, "A.b-c_d"])
def test_a_valid_name_is_accepted(interface, name):
    assert interface.send("POST", name).json["evacuated"] == [name]


def test_an_order_without_a_leader_is_answered_503(interface, monkeypatch):
    monkeypatch.setattr(evacuations_module, "RETRY_PAUSE", DECISION_TIMEOUT)
    interface.core.is_leader = False
    assert interface.send("POST", "a").status_code == 503
    assert interface.orders("evacuate", "undecided") == 1


# Guards against an instance that is suspended, finds an order when it goes on, and runs it though
# the operator has sent it elsewhere and ended the evacuation since.
def test_an_order_whose_operator_has_gone_is_not_submitted(interface):
    near, far = gevent.socket.socketpair()
    assert interface.send("POST", "a", extras={SOCKET_KEY: near}).status_code == 200
    far.close()
    assert interface.send("DELETE", "a", extras={SOCKET_KEY: near}).status_code == 503
    assert interface.machine.state.evacuations.data_centres == ("a",)
    near.close()


def order(method, data_centre, control):
    answer = request_json(
        f"{control}:{CONTROL_PORT}", method, EVACUATION_PATH + data_centre, timeout=1_500.0
    )
    return answer.status


def acknowledge(method, data_centre, control):
    """Send an order again until it is acknowledged; the instance may still be starting."""
    wait_for(lambda: order(method, data_centre, control), lambda status: status == 200)


def evacuated_data_centres(entry):
    lines = read_metrics(entry).splitlines()
    values = dict(line.rpartition(" ")[::2] for line in lines)
    return float(values["fulmarhold_entry_evacuated_data_centres"])


@pytest.fixture
def upstreams():
    """A replica of `s1` and the only one of `s2` beside the entries, and one of `s1` elsewhere."""
    places = (("s1", "a"), ("s2", "a"), ("s1", "b"))
    started = [
        Upstream(f"{NETWORK}.{41 + number}", service, data_centre=place)
        for number, (service, place) in enumerate(places)
    ]
    heartbeats = [gevent.spawn(send_heartbeats, upstream) for upstream in started]
    yield started
    gevent.killall(heartbeats)
    for upstream in started:
        upstream.stop()


def send_heartbeats(upstream):
    while True:
        for control in CONTROL:
            with suppress(PeerUnavailable):
                upstream.send_heartbeat(control=control)
                break
        gevent.sleep(0.5)


class Load:
    """Callers of both entries, which ask for one upstream and for all shards in turn."""

    def __init__(self):
        self.answers, self._greenlets = [], []

    def start(self):
        self._greenlets = [gevent.spawn(self._run, entry) for entry in ENTRIES for _ in range(3)]

    def _run(self, entry):
        while True:
            for path in ("/a/x", "/all/x"):
                self.answers.append(send_request(entry, path))
            gevent.sleep(0.01)

    def take(self):
        answers, self.answers = self.answers, []
        return answers

    def stop(self):
        gevent.killall(self._greenlets)


def routes(version):
    document = configuration(version)
    shards = {"shardServices": ["s1", "s2"], "topK": 5, "minShardShare": 0.5}
    document["routes"] += configuration(version, "/all/", name="r2", **shards)["routes"]
    return document


def test_an_acknowledged_evacuation_outlives_all_of_control_and_binds_entries_that_start(
    fleet, upstreams
):
    near, only, away = upstreams
    assert put_configuration(routes(3)).status == 200
    for entry in ENTRIES:
        wait_for(lambda to=entry: send_request(to, "/all/x"), lambda found: "parts: 0" in found[1])
    load = Load()
    load.start()
    wait_for(lambda: min(len(near.targets), len(only.targets)), lambda count: count > 20)

    # All of control is lost right after the acknowledgement, and comes back with the order.
    assert order("POST", "a", CONTROL[1]) == 200
    for address in CONTROL:
        fleet.signal(address, signal.SIGKILL)
    for address in CONTROL:
        fleet.wait(address)
        fleet.start(address, first=False)
    for entry in ENTRIES:
        wait_for(lambda to=entry: evacuated_data_centres(to), lambda count: count == 1)
    # Everything that was under way ends, and connections without work are closed.
    wait_for(lambda: near.connections + only.connections, lambda count: count == 0)
    before = len(near.targets), len(only.targets)
    load.take()
    gevent.sleep(1.0)
    answers = load.take()
    assert len(answers) > 20 and all(status == 200 for status, _, _ in answers)
    gathered = [head for _, head, _ in answers if "parts:" in head]
    assert gathered and all("parts: 1" in head for head in gathered)

    # An entry that starts meanwhile sends nothing there either.
    load.stop()
    fleet.signal(ENTRIES[1], signal.SIGKILL)
    fleet.wait(ENTRIES[1])
    fleet.start(ENTRIES[1], first=False)
    served = wait_for(lambda: send_request(ENTRIES[1], "/all/x"), lambda found: found[0] == 200)
    assert "parts: 1" in served[1] and served[2] == RECORD
    for _ in range(5):
        assert send_request(ENTRIES[1])[0] == 200
    assert (len(near.targets), len(only.targets)) == before
    assert near.connections + only.connections == 0

    # A second evacuation is allowed; without an upstream, requests are refused at once.
    acknowledge("POST", "b", CONTROL[2])
    for entry in ENTRIES:
        wait_for(lambda to=entry: evacuated_data_centres(to), lambda count: count == 2)
        refused = wait_for(lambda to=entry: send_request(to), lambda found: found[0] != 200)
        assert refused[0] == 503
    assert (len(near.targets), len(only.targets)) == before

    # Orders may be sent again, to any instance; their end brings the upstreams back.
    for control in CONTROL:
        acknowledge("DELETE", "b", control)
        acknowledge("DELETE", "a", control)
    for entry in ENTRIES:
        wait_for(lambda to=entry: send_request(to, "/all/x"), lambda found: "parts: 0" in found[1])
    assert away.targets and len(near.targets) > before[0]

    # Without a majority an order is refused in time.
    for address in CONTROL[:2]:
        fleet.signal(address, signal.SIGKILL)
        fleet.wait(address)
    assert order("POST", "b", CONTROL[2]) == 503
