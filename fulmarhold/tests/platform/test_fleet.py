"""End-to-end tests of the platform's daemons: three control and two entry processes on loopback."""

from __future__ import annotations

import signal

import gevent
import pytest

from fulmarhold.control.statement_file import StatementFile
from fulmarhold.forwarding.shard_timing import MIN_COLLECTED_BYTES
from fulmarhold.observe.counters import Counters
from fulmarhold.platform.encoding import CALLER_PORT, CONTROL_PORT, DIRECTORY_PORT
from fulmarhold.tests.platform.fleet import (
    CONTROL,
    ENTRIES,
    NETWORK,
    RECORD,
    SUCCESSORS,
    TIMEOUT_SECONDS,
    UPSTREAM_HOST,
    PlatformFleet,
    Upstream,
    configuration,
    put_configuration,
    read_metrics,
    send_request,
    wait_for,
    wait_for_status,
)
from fulmarhold.web.client import request_json


def test_requests_are_served_through_changes_crashes_and_drains(fleet, upstreams, tmp_path):
    first, second = upstreams
    assert wait_for_status(ENTRIES[0], status=503)[1].count("retry-after") == 1

    assert put_configuration(configuration(3)).status == 200
    assert put_configuration({**configuration(4), "services": []}).status == 400
    for upstream in upstreams:
        assert wait_for(upstream.send_heartbeat, lambda answer: answer.status == 200)
    for entry in ENTRIES:
        status, head, body = wait_for_status(entry)
        assert (status, body) == (200, RECORD)
        assert f"x-fulmarhold-server-stamp: s-{first.name}" in head
        assert send_request(entry, "/none/")[0] == 404

    # An older version is ignored; a newer one with shards takes effect on all entries.
    shards = {"shardServices": ["s1", "s2"], "topK": 5, "minShardShare": 0.5}
    assert put_configuration(configuration(9, **shards)).status == 200
    assert put_configuration(configuration(8)).status == 200
    for entry in ENTRIES:
        answer = wait_for(
            lambda to=entry: send_request(to), lambda found: "part-stamps" in found[1]
        )
        assert answer[2] == RECORD * 2 and "x-fulmarhold-missing-parts: 0" in answer[1]

    for address in CONTROL:
        stored = StatementFile(tmp_path / address, Counters())
        wait_for(stored.load, lambda statements: len(statements) == len(upstreams))

    # Killing all control processes neither stops the entries nor loses accepted data.
    for address in CONTROL:
        fleet.signal(address, signal.SIGKILL)
        fleet.wait(address)
    assert send_request(ENTRIES[0])[0] == 200
    for address in CONTROL:
        fleet.start(address, first=False)
    read = wait_for(
        lambda: request_json(f"{CONTROL[2]}:{CONTROL_PORT}", "GET", "/api/config"),
        lambda answer: answer.status == 200,
    )
    assert read.body == configuration(9, **shards)

    # A restarted entry gets the upstreams that control has stored, before any heartbeat.
    fleet.signal(ENTRIES[1], signal.SIGKILL)
    fleet.wait(ENTRIES[1])
    fleet.start(ENTRIES[1], first=False)
    assert "x-fulmarhold-missing-parts: 0" in wait_for_status(ENTRIES[1])[1]

    # A draining upstream gets no more requests, and a late heartbeat does not reactivate it.
    assert wait_for(lambda: second.send_heartbeat("draining"), lambda answer: answer.status == 200)
    second.send_heartbeat("ready", CONTROL[2])
    for entry in ENTRIES:
        wait_for(
            lambda to=entry: send_request(to),
            lambda found: "x-fulmarhold-missing-parts: 1" in found[1],
        )
    served_before = len(second.targets)
    for _ in range(5):
        assert send_request(ENTRIES[0])[0] == 200
    assert len(second.targets) == served_before


def test_a_planned_stop_leaves_the_directory_at_once_and_completes_requests(fleet, upstreams):
    upstreams[0].delay = 0.8
    assert put_configuration(configuration(3)).status == 200
    wait_for(upstreams[0].send_heartbeat, lambda answer: answer.status == 200)
    wait_for_status(ENTRIES[0])

    def directory():
        path = "/api/lookup?name=h.example&region=r&zone=a"
        return request_json(f"{ENTRIES[1]}:{DIRECTORY_PORT}", "GET", path)

    wait_for(directory, lambda answer: answer.status == 200 and len(answer.body["addrs"]) == 2)
    under_way = gevent.spawn(send_request, ENTRIES[0])
    wait_for(lambda: len(upstreams[0].targets), lambda sent: sent > 1)
    fleet.signal(ENTRIES[0], signal.SIGTERM)
    left = wait_for(directory, lambda answer: len(answer.body["addrs"]) == 1)
    assert left.body["addrs"] == [f"{ENTRIES[1]}:{CALLER_PORT}"]
    # Callers with an old directory answer are still served, but told to connect elsewhere.
    status, head, _ = send_request(ENTRIES[0])
    assert status == 200 and "connection: close" in head
    assert under_way.get(timeout=TIMEOUT_SECONDS)[0] == 200
    assert fleet.wait(ENTRIES[0]) == 0


def test_a_second_signal_and_a_new_configuration_cut_no_request_of_a_planned_stop(fleet, upstreams):
    upstreams[0].delay = 1.2
    assert put_configuration(configuration(3)).status == 200
    wait_for(upstreams[0].send_heartbeat, lambda answer: answer.status == 200)
    wait_for_status(ENTRIES[0])
    under_way = [gevent.spawn(send_request, ENTRIES[0]) for _ in range(3)]
    wait_for(lambda: len(upstreams[0].targets), lambda sent: sent > 3)
    fleet.signal(ENTRIES[0], signal.SIGTERM)
    assert put_configuration(configuration(4)).status == 200
    fleet.signal(ENTRIES[0], signal.SIGTERM)
    accepted_late = gevent.spawn(send_request, ENTRIES[0])
    fleet.signal(ENTRIES[0], signal.SIGHUP)
    for request in (*under_way, accepted_late):
        assert request.get(timeout=TIMEOUT_SECONDS)[0] == 200
    assert fleet.wait(ENTRIES[0]) == 0


def is_voter(address):
    """Whether a control instance knows three voters and a recent majority, itself among them."""
    metrics = read_metrics(address)
    lines = (line.partition(" ") for line in metrics.splitlines())
    values = {name: value for name, _, value in lines}
    return values.get("fulmarhold_control_votes") == "1.0" and (
        values.get("fulmarhold_control_voters") == "3.0"
        and float(values["fulmarhold_control_confirmed_age_ms"]) < 1_000.0
    )


def test_control_instances_are_replaced_until_none_of_the_first_seeds_is_left(fleet, upstreams):
    leaving, staying = upstreams
    shards = {"shardServices": ["s1", "s2"], "topK": 5, "minShardShare": 0.5}
    assert put_configuration(configuration(3, **shards)).status == 200
    for upstream in upstreams:
        wait_for(upstream.send_heartbeat, lambda answer: answer.status == 200)
    for entry in ENTRIES:
        wait_for(lambda to=entry: send_request(to), lambda found: "parts: 0" in found[1])
    wait_for(lambda: leaving.send_heartbeat("draining"), lambda answer: answer.status == 200)

    present = list(CONTROL)
    for number, successor in enumerate(SUCCESSORS):
        # Alternately with and without a planned stop; the disk does not come back.
        lost = present.pop(0)
        fleet.signal(lost, signal.SIGTERM if number % 2 else signal.SIGKILL)
        fleet.wait(lost)
        present.append(successor)
        fleet.start(successor, first=False, seeds=tuple(present))
        assert put_configuration(configuration(10 + number, **shards), present[0]).status == 200
        wait_for(lambda new=successor: is_voter(new), lambda votes: votes)

    # Entries follow instances that their settings never named, and obey what these accept.
    for entry in ENTRIES:
        assert wait_for(lambda to=entry: send_request(to), lambda found: found[0] == 200)
    assert put_configuration(configuration(20, "/b/", **shards), SUCCESSORS[2]).status == 200
    for entry in ENTRIES:
        found = wait_for_status(entry, "/b/x")
        assert "x-fulmarhold-missing-parts: 1" in found[1], "the drained upstream stays out"
        assert send_request(entry)[0] == 404
    fleet.signal(ENTRIES[1], signal.SIGKILL)
    fleet.wait(ENTRIES[1])
    fleet.start(ENTRIES[1], first=False, seeds=tuple(present))
    assert "x-fulmarhold-missing-parts: 1" in wait_for_status(ENTRIES[1], "/b/x")[1]
    for address in SUCCESSORS:
        read = wait_for(
            lambda to=address: request_json(f"{to}:{CONTROL_PORT}", "GET", "/api/config"),
            lambda answer: answer.status == 200,
        )
        assert read.body == configuration(20, "/b/", **shards)
    # A heartbeat reaches a successor, too.
    assert staying.send_heartbeat(control=SUCCESSORS[1]).status == 200


@pytest.fixture
def two_data_centres(tmp_path):
    """A fleet with one entry in `a` and one in `b`, and the upstreams of four shards in `b`."""
    started = PlatformFleet(tmp_path)
    for address in (*CONTROL, ENTRIES[0]):
        started.start(address)
    started.start(ENTRIES[1], data_centre="b")
    # Only large parts are worth collecting.
    upstreams = [
        Upstream(
            f"{NETWORK}.{UPSTREAM_HOST + n}",
            f"s{n}",
            data_centre="b",
            records=MIN_COLLECTED_BYTES // 16,
        )
        for n in range(1, 5)
    ]
    yield started, upstreams
    started.kill()
    for upstream in upstreams:
        upstream.stop()


def test_parts_come_through_an_entry_beside_their_shards_also_while_it_stops(two_data_centres):
    fleet, upstreams = two_data_centres
    names = [upstream.service for upstream in upstreams]
    shards = {"shardServices": names, "topK": 5, "minShardShare": 1.0}
    document = configuration(3, **shards)
    document["services"] = [{"name": name, "maxConnections": 20} for name in names]
    assert put_configuration(document).status == 200
    for upstream in upstreams:
        wait_for(upstream.send_heartbeat, lambda answer: answer.status == 200)
    for entry in ENTRIES:
        wait_for(lambda to=entry: send_request(to), lambda found: "parts: 0" in found[1])

    def collected_bytes():
        lines = read_metrics(ENTRIES[0]).splitlines()
        return [line for line in lines if "peer_bytes" in line and 'purpose="collect"' in line]

    def ask_until_collected():
        status, head, body = send_request(ENTRIES[0])
        assert (status, body) == (200, RECORD * 5)
        assert all(f"s-{upstream.name}" in head for upstream in upstreams)
        return collected_bytes()

    wait_for(ask_until_collected, bool)
    # Work for another entry is completed by a planned stop, like that for callers.
    for upstream in upstreams:
        upstream.delay = 0.8
    before = len(upstreams[0].targets)
    under_way = gevent.spawn(send_request, ENTRIES[0])
    wait_for(lambda: len(upstreams[0].targets), lambda sent: sent > before)
    fleet.signal(ENTRIES[1], signal.SIGTERM)
    status, head, body = under_way.get(timeout=TIMEOUT_SECONDS)
    assert (status, body) == (200, RECORD * 5)
    assert "x-fulmarhold-missing-parts: 0" in head
    assert len(upstreams[0].targets) == before + 1
    for _ in range(3):
        assert send_request(ENTRIES[0])[0] == 200
    assert fleet.wait(ENTRIES[1]) == 0
    status, _, body = send_request(ENTRIES[0])
    assert (status, body) == (200, RECORD * 5)
