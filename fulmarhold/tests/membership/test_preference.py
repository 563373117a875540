"""Callers are sent to entries at home, and are never left with a single address."""

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


def places(chosen):
    return sorted(endpoint[0] for endpoint in chosen)


def test_entries_of_the_callers_data_centre_suffice():
    assert places(preferred_entries(entries(a=2, b=2, c=1), "a", 64, Random(1))) == ["a", "a"]


def test_one_at_home_is_joined_by_another_for_when_it_dies():
    chosen = places(preferred_entries(entries(a=2, b=2, c=1), "c", 64, Random(1)))
    assert len(chosen) == 2 and "c" in chosen


def test_callers_of_elsewhere_are_told_what_there_is():
    assert len(preferred_entries(entries(a=3, b=2), "z", 64, Random(1))) == 5
    assert preferred_entries([], "a", 64, Random(1)) == []


def test_an_answer_is_bounded():
    assert len(preferred_entries(entries(a=100), "a", 64, Random(1))) == 64


def test_as_many_are_active_as_have_enough_connections():
    everyone = entries(a=13, b=13, c=13, d=13, e=13)
    active = active_entries(everyone, 64)
    assert len(active) == 15
    assert active_entries(list(reversed(everyone)), 64) == active
    assert len(active_entries(entries(a=2, b=2, c=1, d=1), 25)) == 6


def test_one_that_goes_is_replaced_and_the_others_stay():
    everyone = entries(a=13, b=13)
    before = active_entries(everyone, 30)
    after = active_entries([item for item in everyone if item != before[0]], 30)
    assert set(before[1:]) < set(after) and len(after) == len(before)


def test_those_that_stand_by_are_named_while_the_active_are_busy():
    everyone = entries(a=13, b=13)
    active = active_entries(everyone, 30)
    busy = [replace(item, is_busy=item in active[:2]) for item in everyone]
    assert places(item.endpoint for item in active_entries(busy, 30)).count("a") == 13
    assert places(item.endpoint for item in active_entries(busy, 30)).count("b") == 3


# Load pattern: queries over many shards from data centres that hold none of them.


def upstreams(**count):
    return [
        UpstreamStatement(f"{place}{n}", 1, 1, READY, f"s{n}", f"{place}{n}:80", place, 2)
        for place, total in count.items()
        for n in range(total)
    ]


def test_callers_are_sent_to_entries_beside_the_shards():
    shards = {f"s{n}" for n in range(10)}
    hosting = hosting_data_centres(upstreams(a=10, b=8, c=5), shards)
    assert hosting == {"a", "b"}
    active = active_entries(entries(a=4, b=4, c=4, d=4), 25, hosting)
    assert {item.data_centre for item in active} == {"a", "b"}
    assert set(places(preferred_entries(active, "d", 64, Random(1)))) == {"a", "b"}


def test_all_entries_serve_when_those_beside_the_shards_are_few_or_all_busy():
    everyone = entries(a=1, b=1, c=4)
    assert {item.data_centre for item in active_entries(everyone, 30, {"a"})} == {"a", "b", "c"}
    busy = [replace(item, is_busy=item.data_centre in "ab") for item in everyone]
    assert {item.data_centre for item in active_entries(busy, 30, {"a", "b"})} == {"a", "b", "c"}


def test_without_shards_no_data_centre_is_preferred():
    assert hosting_data_centres(upstreams(a=3), set()) == frozenset()
    assert len(active_entries(entries(a=1, b=1, c=1), 30)) == 3
