"""Fixtures of the tests of the platform's daemons."""

from __future__ import annotations

import pytest

from fulmarhold.tests.platform.fleet import CONTROL, ENTRIES, PlatformFleet, Upstream


@pytest.fixture
def fleet(tmp_path):
    started = PlatformFleet(tmp_path)
    for address in (*CONTROL, *ENTRIES):
        started.start(address)
    yield started
    started.kill()


@pytest.fixture
def upstreams():
    started = [Upstream("127.0.33.1", "s1"), Upstream("127.0.33.2", "s2")]
    yield started
    for upstream in started:
        upstream.stop()
