"""The product's own interface under callers outside our control: see `fulmarhold.tests.crowd`."""

from __future__ import annotations

import pytest

from fulmarhold.tests.crowd import KINDS, PROCESS_MEBIBYTES, Target, check_crowd
from fulmarhold.web.client import request_json

ALL_KINDS = ("whole bodies", "requests sent ahead", "header lines")
CASES = [*((name,) for name in KINDS), ALL_KINDS]
NAMES = [*KINDS, "all together"]
BODY_BYTES = 64 * 1024


# Guards against callers whose requests, sent or answered in part, take the memory, the descriptors
# or the places of an entry, so that it ends or serves nobody else.
@pytest.mark.parametrize("kinds", CASES, ids=NAMES)
def test_an_entry_outlives_callers_outside_our_control(make_fleet, kinds):
    fleet = make_fleet(plan={"entry_options": {"memory_mebibytes": PROCESS_MEBIBYTES}})
    fleet.start()
    entry = fleet.entries[0]
    address, _, port = entry.endpoint.rpartition(":")
    headers = {"Fulmarhold-Deadline-Ms": "4000"}

    def ask():
        path = "/query/lookup/search"
        return request_json(entry.endpoint, "POST", path, body={}, headers=headers).status

    check_crowd(
        Target((address, int(port)), "POST /query/lookup/search", BODY_BYTES, b"", True),
        kinds,
        entry.process_id,
        lambda: entry.is_running,
        ask,
    )
