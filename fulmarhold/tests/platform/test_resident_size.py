"""What the daemons take at rest, which is most of what a deployment of small instances pays for."""

from __future__ import annotations

import subprocess
import sys
import tomllib
from pathlib import Path

import gevent
import pytest
from gevent.pool import Pool

import fulmarhold
from fulmarhold.clock import Clock
from fulmarhold.limits.memory import MEBIBYTE
from fulmarhold.membership.statements import READY, InstanceStatement
from fulmarhold.membership.watcher import FleetWatcher
from fulmarhold.observe.counters import Counters
from fulmarhold.platform.encoding import CONTROL_PORT, INTERNAL_PORTS
from fulmarhold.tests.platform.fleet import (
    CONTROL,
    ENTRIES,
    PlatformFleet,
    configuration,
    put_configuration,
    read_metrics,
    wait_for,
)
from fulmarhold.web.client import request_json

ENTRY = ENTRIES[0]
# Modules that only a part of the work needs, or none, and that cost much at rest.
UNUSED_MODULES = (
    "argparse", "brotli", "certifi", "concurrent.futures.process", "cyclopts", "difflib",
    "encodings.idna", "gevent.resolver", "gevent.ssl", "gevent.threadpool", "geventhttpclient",
    "hdrh", "multiprocessing", "prometheus_client", "pydantic", "statistics",
    "uuid6", "yaml",
)  # fmt: skip
# The size of the deployment: its smallest instances, all processes, and what these may take in all.
INSTANCE_MEBIBYTES = 152
PROCESSES = 105
TOTAL_BYTES = 4.5 * 1024 * MEBIBYTE
SERVICES, UPSTREAMS, OTHER_ENTRIES = 90, 270, 100


@pytest.fixture
def fleet(tmp_path):
    started = PlatformFleet(tmp_path)
    yield started
    started.kill()


# Guards against an import that comes back, also by way of a library.
@pytest.mark.parametrize("role", ["entry", "control"])
def test_a_daemon_at_rest_has_not_imported_what_it_does_not_use(role):
    code = (
        "import sys; before = set(sys.modules);"
        f"import fulmarhold.platform.__main__, fulmarhold.platform.{role};"
        "import fulmarhold.platform.interfaces, fulmarhold.web.serving;"
        f"print(sorted((set(sys.modules) - before) & set({UNUSED_MODULES!r})))"
    )
    result = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    assert result.stdout.strip() == b"[]"


def large_configuration():
    document = configuration(1)
    [route] = document["routes"]
    document["services"] = [{"name": f"s{n}", "maxConnections": 20} for n in range(SERVICES)]
    document["routes"] = [
        {**route, "name": f"r{n}", "pathPrefix": f"/{n}/", "service": f"s{n}"}
        for n in range(SERVICES)
    ]
    return document


def report_upstream(number):
    body = {
        "service": f"s{number % SERVICES}",
        "address": f"127.61.{number // 250}.{number % 250 + 1}:9000",
        "zone": "abcde"[number % 5],
        "version": "v1",
        "slots": 4,
        "state": "ready",
        "warmupLeftMs": 0,
        "sequence": 1,
        "born": 1_700_000_000_000,
    }
    endpoint = f"{CONTROL[number % len(CONTROL)]}:{CONTROL_PORT}"
    path = f"/api/instances/i-{number}"
    wait_for(
        lambda: request_json(endpoint, "PUT", path, body=body), lambda answer: answer.status == 200
    )


def follow_as_entry(number):
    own = InstanceStatement(
        f"other-{number}", 1_700_000_000_000, 1, READY, "entry", "abcde"[number % 5],
        f"127.62.0.{number + 1}:80",
    )  # fmt: skip
    seeds = tuple(f"{address}:{INTERNAL_PORTS[0]}" for address in CONTROL)
    watcher = FleetWatcher(own, lambda: seeds, lambda *_: None, lambda: None, Clock(), Counters())
    return gevent.spawn(watcher.run), watcher


def status(fleet, address, field):
    lines = Path(f"/proc/{fleet.process_id(address)}/status").read_text().splitlines()
    return int(next(line.split()[1] for line in lines if line.startswith(f"{field}:")))


# Guards against daemons that take more with a fleet of usual size than their deployment pays for.
def test_the_daemons_of_a_fleet_of_usual_size_stay_within_their_memory(fleet):
    # As the deployment does: compilation at the start takes memory that is kept.
    package = Path(fulmarhold.__file__).parent
    subprocess.run([sys.executable, "-m", "compileall", "-q", str(package)], check=True)
    for address in (*CONTROL, ENTRY):
        fleet.start(address, memory_mebibytes=INSTANCE_MEBIBYTES)
    put_configuration(large_configuration())
    followers = [follow_as_entry(number) for number in range(OTHER_ENTRIES)]
    Pool(10).map(report_upstream, range(UPSTREAMS))
    expected = f"fulmarhold_entry_upstreams {UPSTREAMS:.1f}"
    wait_for(lambda: read_metrics(ENTRY), lambda metrics: expected in metrics)
    for _, watcher in followers:
        wait_for(lambda each=watcher: len(each.entries()), lambda n: n >= OTHER_ENTRIES)
    for address in (*CONTROL, ENTRY):
        read_metrics(address)
        peak = fleet.peak_memory(address)
        assert peak <= TOTAL_BYTES / PROCESSES, f"{address}: {peak / MEBIBYTE:.1f} MiB"
    # A resolver would start threads, each with memory of its own. Control has some for its disk.
    assert status(fleet, ENTRY, "Threads") == 1
    gevent.killall([greenlet for greenlet, _ in followers])


# Guards against options of the interpreter with which a daemon doesn't find or run its code.
@pytest.mark.parametrize("role", ["entry", "control"])
def test_a_daemon_starts_with_the_options_of_the_deployment(fleet, role):
    deployment = Path(fulmarhold.__file__).parents[1] / "deploy" / "system.toml"
    command = tomllib.loads(deployment.read_text())["roles"][role]["run"].split()
    options = tuple(command[1 : command.index("-m")])
    address = ENTRY if role == "entry" else CONTROL[0]
    fleet.start(address, options=options)
    wait_for(
        lambda: read_metrics(address),
        lambda metrics: "fulmarhold_" in metrics,
    )
    assert fleet.is_running(address)
