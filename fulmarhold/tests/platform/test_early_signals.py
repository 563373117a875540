"""Signals that reach a daemon while it starts, and until it has ended."""

from __future__ import annotations

import signal
from pathlib import Path

import gevent
import pytest

from fulmarhold.platform.encoding import CALLER_PORT, INTERNAL_PORTS
from fulmarhold.tests.platform.fleet import CONTROL, ENTRIES, PlatformFleet, wait_for

# How long a daemon is observed after it has begun to start; a start takes half a second.
OBSERVED_SECONDS = 1.5


@pytest.fixture
def started(tmp_path):
    """A fleet without running processes."""
    fleet = PlatformFleet(tmp_path)
    yield fleet
    fleet.kill()


def connects(address, port):
    gevent.socket.create_connection((address, port), timeout=1.0).close()
    return True


# Guards against an entry that serves callers already and is killed by the signal of a planned stop.
def test_an_entry_that_is_told_to_stop_as_soon_as_it_listens_stops_as_planned(started):
    started.start(ENTRIES[0])
    wait_for(lambda: connects(ENTRIES[0], CALLER_PORT), bool)
    started.signal(ENTRIES[0], signal.SIGTERM)
    assert started.wait(ENTRIES[0]) == 0


# Guards against a change of the settings that ends a process which has just started.
@pytest.mark.parametrize("address", [ENTRIES[0], CONTROL[0]])
def test_a_daemon_that_is_told_to_reload_while_it_starts_goes_on(started, address):
    started.start(address)
    maps = Path(f"/proc/{started.process_id(address)}/maps")
    wait_for(maps.read_text, lambda text: "gevent" in text)
    with gevent.Timeout(OBSERVED_SECONDS, False):
        while True:
            started.signal(address, signal.SIGHUP)
            gevent.sleep(0.02)
    assert started.exit_code(address) is None


# Guards against a process that has stopped as planned and is then killed by a further signal.
def test_signals_until_the_end_of_a_stopped_process_do_not_kill_it(started):
    address = CONTROL[0]
    for _ in range(3):
        started.start(address)
        wait_for(lambda: connects(address, INTERNAL_PORTS[0]), bool)
        while started.exit_code(address) is None:
            started.signal(address, signal.SIGTERM)
            gevent.sleep(0.001)
        assert started.exit_code(address) == 0
