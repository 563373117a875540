"""Measurement of the event loop lag."""

from __future__ import annotations

import time

import gevent

from fulmarhold.clock import Clock
from fulmarhold.observe.lag import LoopLag

RECOVERY_TIMEOUT_S = 20.0


def test_the_lag_rises_while_the_loop_is_blocked_and_falls_afterwards():
    lag = LoopLag(Clock())
    task = gevent.spawn(lag.run)
    gevent.sleep(0)
    for _ in range(10):
        time.sleep(0.06)
        # sleep(0) doesn't necessarily let timers run.
        gevent.sleep(0.001)
    held = lag.value
    with gevent.Timeout(RECOVERY_TIMEOUT_S):
        while lag.value > held / 4:
            gevent.sleep(0.02)
    task.kill()
    assert held > 10.0
