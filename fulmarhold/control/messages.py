"""Commands of the replicated log, their outcomes, and messages between entries and control."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Literal

from msgspec import UNSET, UnsetType

from fulmarhold.membership.evacuation import Evacuations
from fulmarhold.wire.messages import message

EntryState = Literal["starting", "serving", "leaving", "left"]


@dataclass(frozen=True)
class RosterEntry:
    """An entry instance in the roster, and the endpoints on which it listens."""

    name: str
    data_centre: str
    caller_endpoint: str
    peer_endpoint: str


# Commands of the replicated log; `at` is the leader's wall clock in milliseconds.


@message
class AcceptConfiguration:
    """Accept a configuration, if it is based on the current revision."""

    command_id: str
    operator: str
    base_revision: int
    document: dict[str, Any]
    at: float


@message
class AdmitEntry:
    """Add an entry instance to the roster, or change its endpoints."""

    entry: RosterEntry
    at: float


@message
class RemoveEntry:
    """Remove an entry instance from the roster."""

    name: str
    at: float


@message
class ClaimKey:
    """Reserve an idempotency key for one attempt; `digest` covers service and request."""

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
    """The base revision is outdated; names the current one, who accepted it and when."""

    revision: int
    operator: str
    accepted_at: float


@message
class CommandRefused:
    """The command was permanently refused, for the reason given."""

    reason: str


@message
class ClaimGranted:
    """The attempt holds the key and may be dispatched."""


@message
class ClaimHeld:
    """Another attempt holds the key; once that has settled, its answer is included."""

    entry: str
    settled: bool
    answer: bytes


@message
class ClaimRefused:
    """The key can't be claimed, and the request was not run."""

    reason: Literal["key_invalid", "key_expired", "key_reused", "claims_full", "attempt_over"]


# Messages between entries and control.


@message
class EntrySync:
    """Reports the state that an entry runs, and asks whether it is still the accepted one.

    `evacuations_version` is unset, and not sent, while the entry has the empty first set of
    evacuated data centres.
    """

    entry: RosterEntry
    incarnation: float
    version: int
    revision: int
    state: EntryState
    evacuations_version: int | UnsetType = UNSET


@message
class SyncReply:
    """The accepted state at some time after the request was sent.

    `document` and `roster` are omitted if the entry's version is current, `document` also if its
    revision is current, since most versions differ in the roster only. `evacuations` is unset, and
    not sent, unless it is newer than the entry's.
    """

    version: int
    revision: int
    document: dict[str, Any] | None
    roster: tuple[RosterEntry, ...] | None
    evacuations: Evacuations | UnsetType = UNSET


@message
class CommandPending:
    """The command is in the log of a leader that holds its lease; ask again for the outcome."""


@message
class NotLeading:
    """The instance does not lead; names the leader's endpoint if it knows one."""

    leader: str | None
