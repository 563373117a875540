"""Tests of leases and confirmations, on a manual clock."""

from __future__ import annotations

from dataclasses import replace

import pytest

from fulmarhold.clock import ManualClock
from fulmarhold.configuration import configuration_to_document
from fulmarhold.conftest import small_questionnaire
from fulmarhold.control.messages import RosterEntry
from fulmarhold.errors import MalformedInput
from fulmarhold.membership.announced import AnnouncedSet
from fulmarhold.membership.directory import Directory
from fulmarhold.membership.records import Announcement, PeerReply, UpstreamRecord
from fulmarhold.membership.running import CONFIRMATION_LEASE, RunningState
from fulmarhold.observe.counters import Counters
from fulmarhold.questionnaire.derive import derive_configuration

LEASE = 1_400.0
RECORD = UpstreamRecord("s", 0, "l", 4, (1,), "127.0.0.1:9", 5, 1, 4, 10, "serving")


@pytest.fixture
def clock():
    return ManualClock(10_000.0)


@pytest.fixture
def announced(clock):
    return AnnouncedSet(clock, Counters())


@pytest.fixture
def directory(announced, clock):
    return Directory(announced, clock)


def live(directory, clock):
    return [item.record for item in directory.known() if item.is_live(clock.now())]


def test_an_announcement_without_a_token_gets_no_lease(announced):
    assert not announced.apply(Announcement(RECORD), LEASE)
    assert announced.apply(Announcement(RECORD, announced.issue_token()), LEASE)


def test_the_lease_runs_from_the_token_however_late_the_announcement_arrives(announced, clock):
    token = announced.issue_token()
    clock.advance(LEASE - 1)
    assert announced.apply(Announcement(RECORD, token), LEASE)
    clock.advance(1)
    announced.expire()
    assert announced.held() == ()
    assert not announced.apply(Announcement(replace(RECORD, sequence=2), token), LEASE)


@pytest.mark.parametrize("lost", ["none", "announcement", "answer"])
@pytest.mark.parametrize("latency", [0.0, 100.0])
def test_one_lost_announcement_or_answer_ends_no_lease(announced, clock, lost, latency):
    timings = derive_configuration(small_questionnaire()).timings
    token, held = announced.issue_token(), []
    for number in range(8):
        clock.advance(latency if number % 2 else 0.0)
        announced.expire()
        held.append(bool(announced.held()))
        is_lost = number == 4
        if not (is_lost and lost == "announcement"):
            record = replace(RECORD, sequence=number)
            announced.apply(Announcement(record, token), timings.announcement_lease_ms)
            if not (is_lost and lost == "answer"):
                token = announced.issue_token()
        clock.advance(timings.announcement_period_ms - (latency if number % 2 else 0.0))
    assert held == [False] + [True] * 7


@pytest.mark.parametrize("token", ["", "x", "other:99999999", "{source}:text", "{source}:99e99"])
def test_a_forged_token_gives_no_lease_beyond_now(announced, clock, token):
    announced.apply(Announcement(RECORD, token.format(source=announced.source)), LEASE)
    clock.advance(LEASE)
    announced.expire()
    assert announced.held() == ()


def test_an_older_sequence_or_incarnation_is_refused(announced):
    def apply(**changes):
        return announced.apply(
            Announcement(replace(RECORD, **changes), announced.issue_token()), LEASE
        )

    assert apply(sequence=5)
    assert not apply(sequence=4)
    assert apply(incarnation=6, sequence=0)
    assert not apply(incarnation=5, sequence=99)


@pytest.mark.parametrize(
    ("changes", "pattern"),
    [
        ({"shard": 4}, "outside of a layout of 4"),
        ({"address": "127.0.0.1:10", "layout_shards": 8}, "has 4 shards, not 8"),
    ],
)
def test_a_record_that_contradicts_the_layout_is_refused(announced, changes, pattern):
    announced.apply(Announcement(RECORD, announced.issue_token()), LEASE)
    with pytest.raises(MalformedInput, match=pattern):
        announced.apply(Announcement(replace(RECORD, **changes), announced.issue_token()), LEASE)


def reply(version, records):
    return PeerReply("source", version, records, "serving", 1)


def test_a_relayed_set_is_live_for_one_lease_from_its_last_poll(directory, clock):
    directory.apply_reply("p", reply(1, (RECORD,)), clock.now(), LEASE)
    clock.advance(1_000)
    directory.apply_reply("p", reply(1, None), clock.now() - 500, LEASE)
    clock.advance(LEASE - 501)
    assert live(directory, clock) == [RECORD]
    clock.advance(1)
    assert live(directory, clock) == []


def test_an_unchanged_reply_for_an_unknown_set_renews_no_lease(directory, clock):
    directory.apply_reply("p", reply(1, (RECORD,)), clock.now(), LEASE)
    clock.advance(LEASE)
    directory.apply_reply("p", reply(2, None), clock.now(), LEASE)
    assert live(directory, clock) == []


def test_the_newest_statement_counts_and_a_drain_is_not_forgotten(directory, clock):
    drained = replace(RECORD, sequence=3, state="draining")
    directory.apply_reply("p", reply(1, (RECORD,)), clock.now(), LEASE)
    directory.apply_reply("q", reply(1, (drained,)), clock.now(), LEASE)
    assert live(directory, clock) == []
    directory.apply_reply("q", reply(2, ()), clock.now(), LEASE)
    assert live(directory, clock) == [], "an older statement must not revive it"
    directory.apply_reply("q", reply(3, (replace(RECORD, incarnation=6),)), clock.now(), LEASE)
    assert [record.incarnation for record in live(directory, clock)] == [6]


def test_a_response_that_says_it_is_leaving_counts_for_that_incarnation(directory, clock):
    directory.apply_reply("p", reply(1, (RECORD,)), clock.now(), LEASE)
    directory.note_left(RECORD.address, RECORD.incarnation)
    assert live(directory, clock) == []
    directory.apply_reply("p", reply(2, (replace(RECORD, incarnation=6),)), clock.now(), LEASE)
    assert len(live(directory, clock)) == 1


DOCUMENT = configuration_to_document(derive_configuration(small_questionnaire()))
ROSTER = tuple(RosterEntry(name, "a", f"{name}:1", f"{name}:2") for name in "abcde")


@pytest.fixture
def running(clock):
    """Entry `a` of five, with version 7 confirmed by control."""
    running = RunningState("a", clock)
    running.apply(7, 1, DOCUMENT, ROSTER)
    running.confirm_by_control(7, clock.now())
    return running


def test_a_confirmation_by_control_lasts_one_lease_from_its_request(running, clock):
    clock.advance(CONFIRMATION_LEASE - 1)
    assert running.is_confirmed
    clock.advance(1)
    assert not running.is_confirmed


@pytest.mark.parametrize(
    ("versions", "confirmed"),
    [
        ({"b": 7, "c": 7}, True),
        ({"b": 7}, False),
        ({"b": 7, "c": 6}, False),
        ({"b": 7, "c": 8}, False),
        ({"b": 7, "x": 7}, False),
        ({"b": 8, "c": 8, "d": 7, "e": 7}, True),
    ],
)
def test_without_control_a_majority_of_the_roster_at_the_same_version_confirms(
    running, clock, versions, confirmed
):
    clock.advance(CONFIRMATION_LEASE)
    for peer, version in versions.items():
        running.confirm_by_peer(peer, version, clock.now())
    assert running.is_confirmed is confirmed


def test_a_restarted_entry_is_not_confirmed_by_others_before_control_did(clock):
    running = RunningState("a", clock)
    running.apply(7, 1, DOCUMENT, ROSTER)
    for peer in "bcde":
        running.confirm_by_peer(peer, 7, clock.now())
    assert not running.is_confirmed


def test_versions_only_grow(running):
    assert not running.apply(6, 1, DOCUMENT, ROSTER)
    assert not running.apply(7, 1, DOCUMENT, ROSTER)
    assert running.apply(8, 2, DOCUMENT, ROSTER)
    assert (running.version, running.revision) == (8, 2)


def test_a_newer_version_does_not_extend_an_older_confirmation(running, clock):
    clock.advance(CONFIRMATION_LEASE - 100)
    running.apply(8, 2, DOCUMENT, ROSTER)
    assert running.is_confirmed
    clock.advance(100)
    assert not running.is_confirmed


NAMED = ("s", "t")
ODD = replace(RECORD, service="nowhere", incarnation=900, sequence=900, layout="m")


@pytest.fixture
def among_services(clock):
    announced = AnnouncedSet(clock, Counters(), lambda: NAMED)
    return announced, Directory(announced, clock, lambda: NAMED)


# Guards against an upstream that is out of use because another writer has announced its address for
# a service that no configuration names.
@pytest.mark.parametrize("has_token", [False, True])
@pytest.mark.parametrize("odd_first", [False, True])
def test_an_unknown_service_takes_no_address(among_services, clock, has_token, odd_first):
    announced, directory = among_services
    odd = lambda: announced.apply(  # noqa: E731
        Announcement(ODD, announced.issue_token() if has_token else ""), LEASE
    )
    if odd_first:
        odd()
    for number in range(3):
        record = replace(RECORD, sequence=2 + number)
        assert announced.apply(Announcement(record, announced.issue_token()), LEASE)
        assert not odd()
        clock.advance(500.0)
        announced.expire()
        assert live(directory, clock) == [record]


def test_a_named_service_takes_an_address_over(among_services, clock):
    announced, directory = among_services
    announced.apply(Announcement(RECORD, announced.issue_token()), LEASE)
    successor = replace(RECORD, service="t", incarnation=6)
    assert announced.apply(Announcement(successor, announced.issue_token()), LEASE)
    assert not announced.apply(Announcement(RECORD, announced.issue_token()), LEASE)
    assert live(directory, clock) == [successor]


def test_a_relayed_record_of_an_unknown_service_takes_no_address(among_services, clock):
    announced, directory = among_services
    announced.apply(Announcement(RECORD, announced.issue_token()), LEASE)
    reply = PeerReply("p", 1, (ODD,), "serving", 1)
    directory.apply_reply("p", reply, clock.now(), LEASE)
    assert live(directory, clock) == [RECORD]
