"""Faults overlap: an instance never runs twice, and no process outlives its soak."""

from __future__ import annotations

import signal
from random import Random

import gevent
import pytest

from fulmarhold.clock import SECOND
from fulmarhold.soak.environment import POLL_INTERVAL, Environment, FleetSizes
from fulmarhold.soak.faults import faults

SEED = 7
# Longer than a fault waits before it restarts what it has killed.
LONGEST_RESTART = 2.0


@pytest.fixture
def environment(tmp_path):
    environment = Environment(tmp_path, SEED, Random(SEED), FleetSizes(control=0, entries=1))
    yield environment
    environment.stop()


def test_an_instance_that_runs_is_not_started_again(environment):
    entry = environment.entries[0]
    entry.start()
    first = entry._process
    entry.start()
    assert entry._process is first and entry.incarnation == 1
    entry.kill()
    entry.start()
    assert first.poll() == -signal.SIGKILL and entry.is_running and entry.incarnation == 2


@pytest.mark.parametrize("fault", ["kill", "cut_start", "terminate"])
def test_overlapping_faults_of_one_instance_leave_one_process(environment, fault):
    entry = environment.entries[0]
    entry.start()
    started = [entry._process]
    under_way = [environment.spawn(faults.find(fault), environment) for _ in range(4)]
    while not all(item.ready() for item in under_way):
        gevent.sleep(0.01)
        if entry._process is not started[-1]:
            started.append(entry._process)
    assert len(started) > 1
    assert [item.poll() is None for item in started] == [False] * (len(started) - 1) + [True]


def test_waiting_for_the_exit_of_a_process_ends_although_another_one_was_started(environment):
    entry = environment.entries[0]
    entry.start()
    waiting = gevent.spawn(entry.wait_for_exit, 5_000.0)
    gevent.sleep(0)
    entry._process.kill()
    entry._process.wait()
    entry.start()
    assert waiting.get(timeout=1) == -signal.SIGKILL


def test_a_fault_that_is_under_way_starts_nothing_after_the_soak(environment):
    entry = environment.entries[0]
    entry.start()
    environment.spawn(faults.find("kill"), environment)
    gevent.sleep(0)
    environment.stop()
    gevent.sleep(LONGEST_RESTART)
    assert not entry.is_running


def test_a_process_that_uses_more_memory_than_it_may_is_noticed(environment, monkeypatch):
    entry = environment.entries[0]
    entry.start()
    environment.spawn(environment._supervise)
    gevent.sleep(2 * POLL_INTERVAL / SECOND)
    assert environment.observations.violations == []
    monkeypatch.setattr("fulmarhold.soak.processes.MEMORY_MEBIBYTES", 1)
    while not environment.observations.violations:
        gevent.sleep(POLL_INTERVAL / SECOND)
    assert "used more memory than it may" in environment.observations.violations[0]
