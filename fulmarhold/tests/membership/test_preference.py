"""Callers are sent to entries at home, and are never left with a single address."""

from __future__ import annotations

from random import Random

from fulmarhold.membership.preference import preferred_entries
from fulmarhold.membership.statements import READY, InstanceStatement


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
    assert len(preferred_entries(entries(a=1, b=1), "z", 64, Random(1))) == 2
    assert preferred_entries([], "a", 64, Random(1)) == []


def test_an_answer_is_bounded():
    assert len(preferred_entries(entries(a=100), "a", 64, Random(1))) == 64
