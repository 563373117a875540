"""The newest word about an upstream wins, in whatever order words arrive."""

from __future__ import annotations

from dataclasses import replace
from itertools import permutations

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarhold.membership.statements import (
    DRAINING,
    LEFT,
    READY,
    REMEMBERED_AFTER_END,
    SILENT,
    StatementStore,
    UpstreamStatement,
    owners,
)

FIRST = UpstreamStatement("u", 100, 1, READY, "parts", "10.0.0.1:80", "a", 2)


def ledger_of(*statements):
    ledger: StatementStore[UpstreamStatement] = StatementStore()
    for statement in statements:
        ledger.apply(statement, 0.0)
    return ledger


def test_a_late_word_does_not_bring_a_leaving_upstream_back():
    leaving = replace(FIRST, sequence=5, state=DRAINING)
    for order in permutations([FIRST, leaving, replace(FIRST, sequence=9)]):
        assert ledger_of(*order).find("u").state == DRAINING, order


def test_a_new_life_supersedes_whatever_the_old_one_said():
    left = replace(FIRST, sequence=9, state=LEFT)
    reborn = replace(FIRST, born=200, sequence=1)
    for order in permutations([FIRST, left, reborn]):
        assert ledger_of(*order).find("u") == reborn, order


def test_silence_is_taken_back_by_a_later_word_only():
    silent = replace(FIRST, state=SILENT)
    assert ledger_of(FIRST, silent).find("u").state == SILENT
    assert ledger_of(FIRST, silent, FIRST).find("u").state == SILENT
    assert ledger_of(FIRST, silent, replace(FIRST, sequence=2)).find("u").state == READY


def test_a_mere_repetition_is_no_change():
    ledger = ledger_of(FIRST)
    position = ledger.position
    assert not ledger.apply(replace(FIRST, sequence=7, warm_up=3.0), 1.0)
    assert ledger.position == position
    assert ledger.since(position) == []
    assert ledger.find("u").sequence == 7


def test_an_address_belongs_to_whoever_started_last():
    newer = replace(FIRST, name="v", born=300, service="other")
    late = replace(FIRST, sequence=50)
    for order in permutations([FIRST, newer, late]):
        assert owners(ledger_of(*order).all())["10.0.0.1:80"].name == "v"


def test_the_ended_are_forgotten_after_a_while_and_the_serving_never():
    ledger = ledger_of(FIRST, replace(FIRST, name="gone", state=LEFT))
    ledger.forget_ended(REMEMBERED_AFTER_END + 1)
    assert [item.name for item in ledger.all()] == ["u"]


statements = st.builds(
    UpstreamStatement,
    st.just("u"),
    st.integers(1, 3),
    st.integers(0, 4),
    st.sampled_from([READY, DRAINING, SILENT, LEFT]),
    st.just("parts"),
    st.just("10.0.0.1:80"),
    st.just("a"),
    st.just(2),
)


@settings(max_examples=2_000, deadline=None)
@given(st.lists(statements, min_size=1, max_size=8), st.randoms(use_true_random=False))
def test_two_ledgers_agree_whatever_the_order(words, random):
    """Holds for lives and finality; which of two equal sequences of one life came is moot."""
    shuffled = list(words)
    random.shuffle(shuffled)
    one, other = ledger_of(*words).find("u"), ledger_of(*shuffled).find("u")
    assert one.born == other.born
    assert (one.state in (DRAINING, LEFT)) == (other.state in (DRAINING, LEFT))
    assert (one.state == LEFT) == (other.state == LEFT)
    assert one.sequence == other.sequence or one.state in (DRAINING, LEFT)
