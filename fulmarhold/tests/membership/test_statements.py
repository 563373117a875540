"""Tests that the newest statement of an upstream wins, in whatever order statements arrive."""

from __future__ import annotations

from dataclasses import replace
from itertools import permutations

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarhold.membership.statements import (
    DRAINING,
    LEFT,
    READY,
    RETENTION_AFTER_END,
    SILENT,
    StatementStore,
    UpstreamStatement,
    owners_by_address,
)

FIRST = UpstreamStatement("u", 100, 1, READY, "parts", "10.0.0.1:80", "a", 2)


def store_of(*statements):
    store: StatementStore[UpstreamStatement] = StatementStore()
    for statement in statements:
        store.apply(statement, 0.0)
    return store


def test_a_late_statement_does_not_revive_a_draining_upstream():
    leaving = replace(FIRST, sequence=5, state=DRAINING)
    for order in permutations([FIRST, leaving, replace(FIRST, sequence=9)]):
        assert store_of(*order).find("u").state == DRAINING, order


def test_a_new_incarnation_supersedes_every_statement_of_the_old_one():
    left = replace(FIRST, sequence=9, state=LEFT)
    successor = replace(FIRST, born=200, sequence=1)
    for order in permutations([FIRST, left, successor]):
        assert store_of(*order).find("u") == successor, order


def test_only_a_later_statement_ends_silence():
    silent = replace(FIRST, state=SILENT)
    assert store_of(FIRST, silent).find("u").state == SILENT
    assert store_of(FIRST, silent, FIRST).find("u").state == SILENT
    assert store_of(FIRST, silent, replace(FIRST, sequence=2)).find("u").state == READY


def test_a_repeated_statement_is_no_change():
    store = store_of(FIRST)
    position = store.position
    assert not store.apply(replace(FIRST, sequence=7), 1.0)
    assert store.position == position
    assert store.since(position) == []
    assert store.find("u").sequence == 7


# Guards against entries that don't learn that an upstream is cold again, and against a feed that
# passes on each heartbeat of one that warms up.
def test_only_a_warm_up_that_begins_or_grows_is_a_change():
    store = store_of(FIRST)
    # With the time of each heartbeat. A long silence is that of a reader that hears only changes.
    stated = [
        (0, 0.0, False),
        (1_000, 9_000.0, True),
        (2_200, 8_100.0, False),
        (5_000, 9_000.0, True),
        (13_900, 0.0, False),
        (15_000, 7_000.0, True),
        (60_000, 6_000.0, True),
    ]
    for number, (now, warm_up, is_change) in enumerate(stated):
        statement = replace(FIRST, sequence=2 + number, warm_up=warm_up)
        assert store.apply(statement, float(now)) is is_change, (now, warm_up)


# Guards against an entry that starts and takes an upstream for cold that was so minutes ago.
def test_a_warm_up_runs_down_where_no_further_heartbeat_is_heard():
    store = store_of()
    store.apply(replace(FIRST, warm_up=9_000.0), 0.0)
    for now, left in ((2_000.0, 7_000.0), (8_000.0, 1_000.0), (9_500.0, 0.0)):
        store.run_down(now)
        assert store.find("u").warm_up == left and store.has_cold is (left > 0)


def test_an_address_belongs_to_the_upstream_that_started_last():
    newer = replace(FIRST, name="v", born=300, service="other")
    late = replace(FIRST, sequence=50)
    for order in permutations([FIRST, newer, late]):
        assert owners_by_address(store_of(*order).all())["10.0.0.1:80"].name == "v"


def test_ended_upstreams_are_forgotten_and_serving_ones_are_kept():
    store = store_of(FIRST, replace(FIRST, name="gone", state=LEFT))
    store.forget_ended(RETENTION_AFTER_END + 1)
    assert [item.name for item in store.all()] == ["u"]


def test_a_name_has_a_statement_in_each_service():
    other = replace(FIRST, service="other", born=200, warm_up=50.0)
    store = store_of(FIRST, other)
    assert store.named("u") == [FIRST, other] and store.find("u") == other and len(store) == 2
    assert store.find_same(replace(FIRST, born=7)) == FIRST
    assert store.has_cold
    store.apply(replace(FIRST, sequence=2), 0.0)
    assert store.has_cold
    store.run_down(60.0)
    assert not store.has_cold
    store.apply(replace(other, state=LEFT), 0.0)
    store.forget_ended(RETENTION_AFTER_END + 1)
    assert store.all() == [replace(FIRST, sequence=2)]
    store.apply(replace(FIRST, sequence=3, state=LEFT), 0.0)
    store.forget_ended(RETENTION_AFTER_END + 1)
    assert store.named("u") == [] and store.find("u") is None and len(store) == 0


statements = st.builds(
    UpstreamStatement,
    st.just("u"),
    st.integers(1, 3),
    st.integers(0, 4),
    st.sampled_from([READY, DRAINING, SILENT, LEFT]),
    st.sampled_from(["parts", "parts", "other"]),
    st.just("10.0.0.1:80"),
    st.just("a"),
    st.just(2),
)


@settings(max_examples=2_000, deadline=None)
@given(st.lists(statements, min_size=1, max_size=8), st.randoms(use_true_random=False))
def test_two_stores_agree_in_any_order(received, random):
    """Compares incarnation, finality and sequence; either of two equal sequences may win."""
    shuffled = list(received)
    random.shuffle(shuffled)
    stores = store_of(*received), store_of(*shuffled)
    for statement in received:
        one, other = (store.find_same(statement) for store in stores)
        assert one.service == other.service == statement.service
        assert one.born == other.born
        assert (one.state in (DRAINING, LEFT)) == (other.state in (DRAINING, LEFT))
        assert (one.state == LEFT) == (other.state == LEFT)
        assert one.sequence == other.sequence or one.state in (DRAINING, LEFT)
    assert stores[0].find("u").born == stores[1].find("u").born == max(i.born for i in received)
    assert len(stores[0]) == len(stores[1]) == len({item.service for item in received})
