"""Load pattern: all instances restart at once, and every request is refused in the meantime."""

from __future__ import annotations

from random import Random

from fulmarhold.limits.retry_after import (
    MIN_STARTUP_DELAY,
    STARTUP_JITTER,
    TYPICAL_STARTUP_TIME,
    retry_delay_after_refusal,
    retry_delay_while_starting,
)


def test_callers_retry_after_the_entry_serves_whenever_they_were_refused():
    random = Random(3)
    for refused_at in range(0, 350, 10):
        retried_at = refused_at + retry_delay_while_starting(float(refused_at), random)
        assert (
            TYPICAL_STARTUP_TIME
            <= retried_at
            <= TYPICAL_STARTUP_TIME + MIN_STARTUP_DELAY + STARTUP_JITTER
        )


def test_callers_refused_together_do_not_retry_in_one_burst():
    random = Random(3)
    for delay in (
        lambda: retry_delay_while_starting(100.0, random),
        lambda: retry_delay_after_refusal(random),
    ):
        delays = sorted(delay() for _ in range(200))
        busiest = max(
            sum(start <= delay < start + 10 for delay in delays) for start in range(0, 600, 10)
        )
        assert busiest < 50


def test_callers_retry_soon_when_startup_takes_longer_than_usual():
    assert retry_delay_while_starting(10_000.0, Random(1)) <= MIN_STARTUP_DELAY + STARTUP_JITTER
