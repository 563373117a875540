"""Tests that callers get local entries, and always more than one address if possible."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from fulmarhold.membership.preference import (
    active_entries,
    hosting_data_centres,
    preferred_entries,
)
from fulmarhold.membership.statements import READY, InstanceStatement, UpstreamStatement


def entries(**count):
    return [
        InstanceStatement(f"{place}{n}", 1, 1, READY, "entry", place, f"{place}{n}:80")
        for place, total in count.items()
        for n in range(total)
    ]


def data_centres(chosen):
    return sorted(endpoint[0] for endpoint in chosen)


def test_callers_with_enough_local_entries_get_only_those():
    assert data_centres(preferred_entries(entries(a=2, b=2, c=1), "a", 64, Random(1))) == ["a", "a"]


def test_a_single_local_entry_comes_with_a_remote_alternative():
    chosen = data_centres(preferred_entries(entries(a=2, b=2, c=1), "c", 64, Random(1)))
    assert len(chosen) == 2 and "c" in chosen


def test_callers_without_local_entries_get_all_entries():
    assert len(preferred_entries(entries(a=3, b=2), "z", 64, Random(1))) == 5
    assert preferred_entries([], "a", 64, Random(1)) == []


def test_the_number_of_addresses_is_limited():
    assert len(preferred_entries(entries(a=100), "a", 64, Random(1))) == 64


def test_only_as_many_entries_are_active_as_get_enough_connections():
    everyone = entries(a=13, b=13, c=13, d=13, e=13)
    active = active_entries(everyone, 64)
    assert len(active) == 15
    assert active_entries(list(reversed(everyone)), 64) == active
    assert len(active_entries(entries(a=2, b=2, c=1, d=1), 25)) == 6


def test_a_removed_entry_is_replaced_and_the_others_stay_active():
    everyone = entries(a=13, b=13)
    before = active_entries(everyone, 30)
    after = active_entries([item for item in everyone if item != before[0]], 30)
    assert set(before[1:]) < set(after) and len(after) == len(before)


def test_standby_entries_are_used_while_the_active_ones_are_busy():
    everyone = entries(a=13, b=13)
    active = active_entries(everyone, 30)
    busy = [replace(item, is_busy=item in active[:2]) for item in everyone]
    assert data_centres(item.endpoint for item in active_entries(busy, 30)).count("a") == 13
    assert data_centres(item.endpoint for item in active_entries(busy, 30)).count("b") == 3


# Load pattern: queries over many shards from data centres that host none of them.


def upstreams(**count):
    return [
        UpstreamStatement(f"{place}{n}", 1, 1, READY, f"s{n}", f"{place}{n}:80", place, 2)
        for place, total in count.items()
        for n in range(total)
    ]


def test_callers_get_entries_in_the_data_centres_that_host_the_shards():
    shards = {f"s{n}" for n in range(10)}
    hosting = hosting_data_centres(upstreams(a=10, b=8, c=5), shards)
    assert hosting == {"a", "b"}
    active = active_entries(entries(a=4, b=4, c=4, d=4), 25, hosting)
    assert {item.data_centre for item in active} == {"a", "b"}
    assert set(data_centres(preferred_entries(active, "d", 64, Random(1)))) == {"a", "b"}


def test_all_entries_serve_when_those_near_the_shards_are_too_few_or_all_busy():
    everyone = entries(a=1, b=1, c=4)
    assert {item.data_centre for item in active_entries(everyone, 30, {"a"})} == {"a", "b", "c"}
    busy = [replace(item, is_busy=item.data_centre in "ab") for item in everyone]
    assert {item.data_centre for item in active_entries(busy, 30, {"a", "b"})} == {"a", "b", "c"}


def test_without_shards_no_data_centre_is_preferred():
    assert hosting_data_centres(upstreams(a=3), set()) == frozenset()
    assert len(active_entries(entries(a=1, b=1, c=1), 30)) == 3
