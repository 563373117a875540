"""The progress of unfinished requests: who is stalled, and who is too slow."""

from __future__ import annotations

import pytest

from fulmarhold.limits.progress import MIN_BYTES_PER_SECOND, Progress

IDLE = 15_000.0


# Guards against callers that keep a request unfinished by a byte now and then, and against ending
# one that only pauses for as long as it may.
@pytest.mark.parametrize(
    ("pieces", "now", "is_stalled", "is_too_slow"),
    [
        ([], 900.0, False, False),
        ([(100, 14_900.0), (100, 29_800.0)], 29_900.0, True, False),
        ([(1, 500.0 * item) for item in range(70)], 35_000.0, True, True),
        ([(256, 500.0 * item) for item in range(70)], 34_600.0, False, True),
        ([(MIN_BYTES_PER_SECOND, 1_000.0 * item) for item in range(70)], 69_100.0, False, False),
        ([(262_144, 100.0)], 200_000.0, True, False),
    ],
    ids=[
        "just begun",
        "pauses",
        "single bytes",
        "below the rate",
        "at the rate",
        "all but the end",
    ],
)
def test_progress_is_measured_in_bytes_over_time(pieces, now, is_stalled, is_too_slow):
    progress = Progress(0.0, IDLE)
    for size, at in pieces:
        progress.add(size, at)
    assert (progress.is_stalled(now), progress.is_too_slow(now)) == (is_stalled, is_too_slow)
