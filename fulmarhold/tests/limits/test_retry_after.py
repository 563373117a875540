"""Load pattern: all instances start again at once, and every request of that time is refused."""

from __future__ import annotations

from random import Random

from fulmarhold.limits.retry_after import (
    OVERDUE_PAUSE,
    START_SPREAD,
    USUAL_START,
    retry_delay_after_refusal,
    retry_delay_while_starting,
)


def test_callers_return_once_the_entry_serves_whenever_they_came():
    random = Random(3)
    for arrived in range(0, 350, 10):
        returns = arrived + retry_delay_while_starting(float(arrived), random)
        assert USUAL_START <= returns <= USUAL_START + OVERDUE_PAUSE + START_SPREAD


def test_callers_of_one_moment_do_not_return_as_one_wave():
    random = Random(3)
    for pause in (
        lambda: retry_delay_while_starting(100.0, random),
        lambda: retry_delay_after_refusal(random),
    ):
        pauses = sorted(pause() for _ in range(200))
        busiest = max(
            sum(start <= pause < start + 10 for pause in pauses) for start in range(0, 600, 10)
        )
        assert busiest < 50


def test_an_overdue_entry_is_tried_again_soon():
    assert retry_delay_while_starting(10_000.0, Random(1)) <= OVERDUE_PAUSE + START_SPREAD
