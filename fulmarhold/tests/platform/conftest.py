"""Fixtures of the tests of the platform's daemons."""

from __future__ import annotations

import pytest

from fulmarhold.tests.platform.fleet import (
    CONTROL,
    ENTRIES,
    NETWORK,
    UPSTREAM_HOST,
    PlatformFleet,
    Upstream,
)


@pytest.fixture
def fleet(tmp_path):
    started = PlatformFleet(tmp_path)
    for address in (*CONTROL, *ENTRIES):
        started.start(address)
    yield started
    started.kill()


@pytest.fixture
def upstreams():
    started = [Upstream(f"{NETWORK}.{UPSTREAM_HOST + number}", f"s{number}") for number in (1, 2)]
    yield started
    for upstream in started:
        upstream.stop()
