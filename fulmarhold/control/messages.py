"""Commands of the replicated log, and the messages between entries and control."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Literal

from fulmarhold.wire.messages import message

EntryState = Literal["starting", "serving", "leaving", "left"]


@dataclass(frozen=True)
class RosterEntry:
    """An entry instance that takes part, and where it listens."""

    name: str
    data_centre: str
    caller_endpoint: str
    peer_endpoint: str


# Commands of the replicated log; `at` is the leader's wall clock in milliseconds.


@message
class AcceptConfiguration:
    """Make a configuration the accepted one, if it is based on the present revision."""

    command_id: str
    operator: str
    base_revision: int
    document: dict[str, Any]
    at: float


@message
class AdmitEntry:
    """Take an entry instance into the roster, or change where it listens."""

    entry: RosterEntry
    at: float


@message
class RemoveEntry:
    """Take an entry instance out of the roster."""

    name: str
    at: float


@message
class ClaimKey:
    """Reserve an idempotency key for one attempt; `digest` is of service and request."""

    key: str
    digest: str
    attempt: str
    entry: str
    at: float


@message
class SettleKey:
    """Record how an attempt ended: it ran, with its answer, or it was not run."""

    key: str
    attempt: str
    ran: bool
    answer: bytes
    at: float


# Outcomes of commands.


@message
class Accepted:
    """The configuration was accepted; `version` counts changes of configuration and roster."""

    revision: int
    version: int


@message
class Superseded:
    """The base revision is not the present one; names who accepted that and when."""

    revision: int
    operator: str
    accepted_at: float


@message
class CommandRefused:
    """The command was refused for good, for the reason given."""

    reason: str


@message
class ClaimGranted:
    """The attempt holds the key and may be dispatched."""


@message
class ClaimHeld:
    """Another attempt holds the key; when it has settled, its answer is given."""

    entry: str
    settled: bool
    answer: bytes


@message
class ClaimRefused:
    """The key can't be claimed; the request was not run."""

    reason: Literal["key_invalid", "key_expired", "key_reused", "claims_full", "attempt_over"]


# Messages between entries and control.


@message
class EntrySync:
    """An entry tells what it runs, and asks whether that is still the accepted state."""

    entry: RosterEntry
    incarnation: float
    version: int
    revision: int
    state: EntryState


@message
class SyncReply:
    """The accepted state at a moment after the request was sent.

    `document` and `roster` are left out when the entry's version is the present one, `document`
    also when its revision is: most versions differ in the roster only.
    """

    version: int
    revision: int
    document: dict[str, Any] | None
    roster: tuple[RosterEntry, ...] | None


@message
class NotLeading:
    """The asked instance does not lead; names the leader's endpoint if it knows one."""

    leader: str | None
