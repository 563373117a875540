"""The replicated state machine: outcomes of commands, claims, retention and snapshots."""

from __future__ import annotations

import uuid

import msgpack
import pytest

from fulmarhold.clock import HOUR, MINUTE, SECOND
from fulmarhold.control.machine import (
    CLAIM_RETENTION,
    COMMAND_RETENTION,
    MAX_CLOCK_SKEW,
    MAX_EVACUATED,
    ControlMachine,
    encode_command,
)
from fulmarhold.control.messages import (
    AcceptConfiguration,
    Accepted,
    AdmitEntry,
    ClaimGranted,
    ClaimHeld,
    ClaimKey,
    ClaimRefused,
    CommandRefused,
    RemoveEntry,
    RosterEntry,
    SettleKey,
    Superseded,
)
from fulmarhold.errors import FulmarholdError, MalformedInput
from fulmarhold.membership.evacuation import (
    EvacuationOrdered,
    EvacuationOutdated,
    Evacuations,
    SetEvacuation,
)
from fulmarhold.membership.feed import AcceptVersion, RetireUpstream

START = 1_800_000_000_000.0


def identifier(created_at=START, number=1):
    """Return a UUID version 7 that was created at the given time."""
    return str(uuid.UUID(int=(int(created_at) << 80) | (7 << 76) | (2 << 62) | number))


def accept(command_id, base, operator="anna", document=None, at=START):
    return AcceptConfiguration(command_id, operator, base, document or {"a": 1}, at)


def claim(key, attempt, entry="e1", digest="d", at=START):
    return ClaimKey(key, digest, attempt, entry, at)


@pytest.fixture
def machine():
    """Return an empty state machine."""
    return ControlMachine()


@pytest.fixture
def apply(machine):
    """Return a function that applies a command, and then saves and restores a snapshot."""

    def run(command):
        outcome = machine.apply(encode_command(command))
        saved = machine.save()
        machine.restore(saved)
        assert machine.save() == saved
        return outcome

    return run


def test_only_the_first_of_two_commands_on_one_revision_is_accepted(apply):
    assert apply(accept(identifier(number=1), 0, "anna")) == Accepted(1, 1)
    assert apply(accept(identifier(number=2), 0, "bert")) == Superseded(1, "anna", START)


def test_a_resent_command_gets_the_first_outcome(apply, machine):
    first, second = identifier(number=1), identifier(number=2)
    assert apply(accept(first, 0)) == Accepted(1, 1)
    assert apply(accept(second, 1)) == Accepted(2, 2)
    assert apply(accept(first, 0)) == Accepted(1, 1)
    assert machine.state.revision == 2


def test_a_command_id_can_not_be_reused_for_another_command(apply):
    apply(accept(identifier(), 0))
    outcome = apply(accept(identifier(), 0, document={"b": 2}))
    assert outcome == CommandRefused("the command id was used for another command")


@pytest.mark.parametrize(
    ("created_at", "reason"),
    [
        (START - COMMAND_RETENTION - SECOND, "the command id is too old"),
        (START + MAX_CLOCK_SKEW + SECOND, "the command id is invalid"),
    ],
)
def test_a_command_id_outside_of_the_retention_is_refused(apply, created_at, reason):
    assert apply(accept(identifier(created_at), 0)) == CommandRefused(reason)


def test_after_the_retention_a_resent_command_is_refused_not_run_again(apply, machine):
    apply(accept(identifier(), 0))
    later = START + COMMAND_RETENTION + HOUR
    apply(AdmitEntry(RosterEntry("e1", "a", "x", "y"), later))
    assert not machine.state.commands
    outcome = apply(accept(identifier(), 0, at=START))
    assert outcome == CommandRefused("the command id is too old")


def test_replicated_time_never_decreases(apply, machine):
    apply(accept(identifier(), 0, at=START + HOUR))
    apply(accept(identifier(number=2), 1, at=START))
    assert machine.state.time == START + HOUR


def test_a_key_is_granted_to_one_attempt(apply):
    key = identifier()
    assert apply(claim(key, "first")) == ClaimGranted()
    assert apply(claim(key, "first")) == ClaimGranted()
    assert apply(claim(key, "second", "e2")) == ClaimHeld("e1", False, b"")


def test_a_settled_key_returns_its_answer(apply):
    key = identifier()
    apply(claim(key, "first"))
    apply(SettleKey(key, "first", True, b"answer", START))
    assert apply(claim(key, "second", "e2")) == ClaimHeld("e1", True, b"answer")
    assert apply(claim(key, "first")) == ClaimHeld("e1", True, b"answer")


def test_a_released_key_may_be_claimed_again_but_not_by_a_delayed_claim(apply):
    key = identifier()
    apply(claim(key, "first"))
    apply(SettleKey(key, "first", False, b"", START))
    assert apply(claim(key, "first")) == ClaimRefused("attempt_over")
    assert apply(claim(key, "second", "e2")) == ClaimGranted()
    apply(SettleKey(key, "first", False, b"", START))
    assert apply(claim(key, "third", "e3")) == ClaimHeld("e2", False, b"")


@pytest.mark.parametrize(
    ("key", "reason"),
    [
        ("plain text", "key_invalid"),
        (str(uuid.UUID(int=4 << 76 | 2 << 62)), "key_invalid"),
        (identifier(START - CLAIM_RETENTION - SECOND), "key_expired"),
        (identifier(START + MAX_CLOCK_SKEW + SECOND), "key_invalid"),
    ],
)
def test_a_key_outside_the_retention_or_without_a_time_is_refused(apply, key, reason):
    assert apply(claim(key, "first")) == ClaimRefused(reason)


def test_a_key_for_another_request_is_refused(apply):
    apply(claim(identifier(), "first"))
    assert apply(claim(identifier(), "second", digest="other")) == ClaimRefused("key_reused")


def test_an_expired_key_is_refused_not_granted_again(apply, machine):
    key = identifier()
    apply(claim(key, "first"))
    late = START + CLAIM_RETENTION + 2 * MINUTE
    apply(claim(identifier(late, 2), "other", at=late))
    assert key not in machine.state.claims
    assert apply(claim(key, "second", at=late)) == ClaimRefused("key_expired")


def test_the_version_increases_only_if_the_roster_changes(apply, machine):
    entry = RosterEntry("e1", "a", "127.0.0.1:1", "127.0.0.1:2")
    for expected, command in [
        (1, AdmitEntry(entry, START)),
        (1, AdmitEntry(entry, START)),
        (2, RemoveEntry("e1", START)),
        (2, RemoveEntry("e1", START)),
    ]:
        apply(command)
        assert machine.state.version == expected


# Guards against control that ends at each start, because its log holds a command it can't read.
@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xc1",
        b"\xc0\xc0",
        b"\xa1\xff",
        b"\x91" * 5_000 + b"\xc0",
        msgpack.packb(7),
        msgpack.packb(["RetireUpstream"]),
        msgpack.packb([7, {}]),
        msgpack.packb(["RetireUpstream", {"name": "u"}]),
        msgpack.packb(["RetireUpstream", {"name": 7, "born": 1, "at": 1.0}]),
        msgpack.packb(["RetireUpstream", {"name": "u", "born": "then", "at": 1.0}]),
        msgpack.packb(["AcceptVersion", {"version": 7, "document": "text", "at": None}]),
    ],
    ids=lambda data: data[:12].hex(),
)
def test_a_command_that_cannot_be_read_changes_nothing_and_the_next_ones_hold(machine, data):
    before = machine.save()
    assert machine.apply(data) is None
    assert machine.save() == before
    machine.apply(encode_command(RetireUpstream("u", 7, START)))
    assert machine.state.retired == {"u": 7}


def test_a_command_of_a_later_release_is_not_skipped(machine):
    # A member that skipped it would hold another state than those that know it.
    with pytest.raises(FulmarholdError, match="Later"):
        machine.apply(msgpack.packb(["Later", {"at": START}]))


@pytest.mark.parametrize(
    "command",
    [RetireUpstream("u", 2**64, START), RetireUpstream("\ud800", 1, START),
     AcceptVersion(2**64, b"", START)], ids=ascii,
)  # fmt: skip
def test_a_command_that_cannot_be_encoded_is_not_logged(command):
    with pytest.raises(MalformedInput, match=type(command).__name__):
        encode_command(command)


def test_orders_change_the_evacuated_data_centres_and_the_version_only_if_they_differ(apply):
    for base, (data_centre, is_evacuated, expected) in enumerate(
        [
            ("a", False, Evacuations()),
            ("b", True, Evacuations(1, ("b",))),
            ("b", True, Evacuations(1, ("b",))),
            ("a", True, Evacuations(2, ("a", "b"))),
            ("b", False, Evacuations(3, ("a",))),
            ("b", False, Evacuations(3, ("a",))),
            ("a", False, Evacuations(4)),
        ]
    ):
        outcome = apply(SetEvacuation(data_centre, is_evacuated, base, START))
        assert outcome.evacuations == expected


# Guards against an order that is delayed and undoes one that was acknowledged after it.
@pytest.mark.parametrize("later", [("a", False), ("a", True), ("b", True)])
def test_a_delayed_order_has_no_effect_once_another_one_was_applied(apply, machine, later):
    data_centre, is_evacuated = later
    assert apply(SetEvacuation(data_centre, is_evacuated, 0, START)).evacuations
    before = machine.state.evacuations
    assert apply(SetEvacuation("a", True, 0, START)) == EvacuationOutdated(1)
    assert machine.state.evacuations == before


# Guards against odd orders that fill the memory of control and the feeds.
def test_the_number_of_evacuated_data_centres_is_bounded(apply, machine):
    for number in range(MAX_EVACUATED):
        machine.apply(encode_command(SetEvacuation(f"c{number}", True, number, START)))
    refused = apply(SetEvacuation("one-more", True, MAX_EVACUATED, START))
    assert isinstance(refused, CommandRefused)
    ended = apply(SetEvacuation("c0", False, MAX_EVACUATED, START))
    assert isinstance(ended, EvacuationOrdered) and ended.is_change


def test_a_snapshot_without_orders_is_that_of_an_earlier_release(machine):
    machine.apply(encode_command(RetireUpstream("u", 7, START)))
    saved = machine.save()
    assert b"evacuations" not in saved
    machine.apply(encode_command(SetEvacuation("a", True, 0, START)))
    machine.restore(saved)
    assert machine.state.evacuations == Evacuations() and machine.state.retired == {"u": 7}
