"""A first start of the control processes in which one of them is killed, and starts again."""

from __future__ import annotations

import shutil
import signal

import gevent
import pytest

from fulmarhold.consensus.storage import FOUNDING_FILE, IDENTITY_FILE, LOG_FILE
from fulmarhold.tests.platform.fleet import (
    CONTROL,
    CONTROL_PORT,
    PlatformFleet,
    configuration,
    put_configuration,
    wait_for,
)
from fulmarhold.web.client import request_json

LOWEST = min(CONTROL)
# The file whose appearance is waited for, and the member that stores it.
MOMENTS = {
    "its identity is stored": (LOWEST, IDENTITY_FILE),
    "its vote is stored": (LOWEST, FOUNDING_FILE),
    "another's vote is stored": (CONTROL[1], FOUNDING_FILE),
    "the first log entry is stored": (LOWEST, LOG_FILE),
    "another has joined": (CONTROL[1], LOG_FILE),
}
# Long enough that the others go on without the member that was killed.
ABSENCE_SECONDS = 0.5


@pytest.fixture
def started(tmp_path):
    """A fleet without running processes."""
    fleet = PlatformFleet(tmp_path)
    yield fleet
    fleet.kill()


def read_back(control, version=1):
    """Wait until a member answers with the configuration; until then it must answer with none."""
    answer = wait_for(
        lambda: request_json(f"{control}:{CONTROL_PORT}", "GET", "/api/config"),
        lambda answer: answer.status == 200,
    )
    assert answer.body["version"] == version


def kill_lowest_at(fleet, folder, moment):
    for address in CONTROL:
        fleet.start(address)
    address, name = MOMENTS[moment]
    wait_for((folder / address / name).exists, bool)
    fleet.signal(LOWEST, signal.SIGKILL)
    fleet.wait(LOWEST)


def check_takes_configurations(controls=CONTROL):
    assert put_configuration(configuration(1), controls[-1]).status == 200
    for control in controls:
        read_back(control)


# Guards against a control that never forms because the member with the lowest address was killed.
@pytest.mark.parametrize("first", [False, True])
@pytest.mark.parametrize("moment", MOMENTS)
def test_control_forms_after_the_lowest_member_was_killed(started, tmp_path, moment, first):
    kill_lowest_at(started, tmp_path, moment)
    gevent.sleep(ABSENCE_SECONDS)
    started.start(LOWEST, first=first)
    check_takes_configurations()


# Guards against a control that never forms because its lowest member lost its disk.
@pytest.mark.parametrize("first", [False, True])
@pytest.mark.parametrize("moment", ["its vote is stored", "the first log entry is stored"])
def test_control_forms_after_the_lowest_member_lost_its_disk(started, tmp_path, moment, first):
    kill_lowest_at(started, tmp_path, moment)
    shutil.rmtree(tmp_path / LOWEST)
    started.start(LOWEST, first=first)
    check_takes_configurations()


# Guards against a control that needs the member with the lowest address to form.
def test_control_forms_while_the_lowest_member_is_away(started, tmp_path):
    kill_lowest_at(started, tmp_path, "its vote is stored")
    check_takes_configurations(CONTROL[1:])
    started.start(LOWEST, first=False)
    read_back(LOWEST)


# Guards against a control that needs a suspended member to form.
def test_control_forms_while_the_lowest_member_is_suspended(started, tmp_path):
    for address in CONTROL:
        started.start(address)
    wait_for((tmp_path / LOWEST / FOUNDING_FILE).exists, bool)
    started.signal(LOWEST, signal.SIGSTOP)
    check_takes_configurations(CONTROL[1:])
    started.signal(LOWEST, signal.SIGCONT)
    read_back(LOWEST)
