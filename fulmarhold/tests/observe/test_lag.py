"""The lag of the event loop."""

from __future__ import annotations

import time

import gevent

from fulmarhold.clock import Clock
from fulmarhold.observe.lag import LoopLag

PASSING_BOUND_S = 20.0


def test_the_lag_is_seen_while_something_holds_the_loop_and_passes_after_it():
    lag = LoopLag(Clock())
    task = gevent.spawn(lag.run)
    gevent.sleep(0)
    for _ in range(10):
        time.sleep(0.06)
        # A pause of zero need not let timers run.
        gevent.sleep(0.001)
    held = lag.value
    with gevent.Timeout(PASSING_BOUND_S):
        while lag.value > held / 4:
            gevent.sleep(0.02)
    task.kill()
    assert held > 10.0
