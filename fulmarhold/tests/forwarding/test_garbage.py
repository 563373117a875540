"""Requests leave nothing for the garbage collector, which runs seldom in a daemon."""

from __future__ import annotations

import gc

from hdrh.histogram import HdrHistogram

from fulmarhold.tests.forwarding.test_accounts import Forwarding

REQUESTS = 20


# Guards against a histogram for each request: 19 KB in a cycle of references.
def test_requests_of_one_outcome_share_a_histogram():
    forwarding = Forwarding()
    gc.collect()
    gc.disable()
    try:
        known = {id(item) for item in gc.get_objects() if isinstance(item, HdrHistogram)}
        for _ in range(REQUESTS):
            forwarding.send("/none/x")
        histograms = [item for item in gc.get_objects() if isinstance(item, HdrHistogram)]
    finally:
        gc.enable()
    assert len([item for item in histograms if id(item) not in known]) == 1
