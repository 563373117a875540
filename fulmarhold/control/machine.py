"""The replicated state machine: accepted configuration, entry roster, command outcomes and claims.

Applying a command depends only on the state and the command, never on a clock, so that every
member reaches the same state.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING, Any

import msgpack
import xxhash

from fulmarhold.clock import HOUR, MINUTE
from fulmarhold.control.identifiers import identifier_time
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
from fulmarhold.errors import MalformedInput
from fulmarhold.membership.feed import AcceptVersion, RetireUpstream
from fulmarhold.observe.logs import get_logger
from fulmarhold.registry import Registry
from fulmarhold.wire.messages import from_values, to_values

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.clock import Milliseconds

log = get_logger("machine")

COMMAND_RETENTION: Milliseconds = 24 * HOUR
CLAIM_RETENTION: Milliseconds = 2 * HOUR
MAX_CLOCK_SKEW: Milliseconds = 5 * MINUTE
PRUNE_PERIOD: Milliseconds = MINUTE
MAX_CLAIMS = 100_000
MAX_STORED_ANSWER_BYTES = 4_096
# Retired upstreams that are kept; beyond this number the oldest are dropped. It is many times what
# an hour of releases retires, at about 60 bytes each.
MAX_RETIRED_UPSTREAMS = 4_096

Outcome = Accepted | Superseded | CommandRefused


@dataclass(frozen=True)
class RecordedOutcome:
    """The first outcome of a command id, with a digest of the command that had it."""

    digest: str
    outcome: Outcome


@dataclass(frozen=True)
class Claim:
    """The claim of an idempotency key: the attempt that holds it, and its answer once settled.

    `ended_attempts` were not run; a delayed claim of one of them is refused.
    """

    digest: str
    attempt: str
    entry: str
    settled: bool = False
    answer: bytes = b""
    ended_attempts: tuple[str, ...] = ()


@dataclass
class ControlState:
    """The state that every control member replicates."""

    revision: int = 0
    version: int = 0
    document: dict[str, Any] | None = None
    accepted_by: str = ""
    accepted_at: Milliseconds = 0.0
    time: Milliseconds = 0.0
    pruned_at: Milliseconds = 0.0
    roster: dict[str, RosterEntry] = field(default_factory=dict)
    commands: dict[str, RecordedOutcome] = field(default_factory=dict)
    claims: dict[str, Claim] = field(default_factory=dict)
    routes_version: int = 0
    routes_document: bytes = b""
    retired: dict[str, int] = field(default_factory=dict)


appliers: Registry[Callable[[ControlState, Any], Any]] = Registry("command")


def encode_command(command: Any) -> bytes:
    """Serialize a command for the replicated log; raises `MalformedInput` if that can't be done."""
    try:
        packed: bytes = msgpack.packb(to_values(command))
    except (OverflowError, ValueError, RecursionError) as error:
        name = type(command).__name__
        raise MalformedInput(f"{name} can't be encoded: {error!s:.200}", step="encoding") from error
    return packed


def _decode_command(data: bytes) -> Any:
    """Return a command; raises `MalformedInput` if it can't be read, another error if unknown."""
    try:
        values = msgpack.unpackb(data)
    except (msgpack.UnpackException, ValueError, RecursionError) as error:
        raise MalformedInput(f"not msgpack: {error!s:.200}", step="decoding") from error
    if isinstance(values, list) and values and isinstance(values[0], str):
        appliers.find(values[0])
    return from_values(values)


class ControlMachine:
    """Applies committed commands to the replicated state."""

    def __init__(self) -> None:
        self.state = ControlState()

    def apply(self, data: bytes) -> Any:
        """Apply one committed command and return its outcome.

        A command that can't be read changes nothing, on every member alike. One that is unknown is
        an error: a later release may have logged it, and others may apply it.
        """
        try:
            command = _decode_command(data)
        except MalformedInput as error:
            log.error("skipped a command of the log: {}", error)
            return None
        self.state.time = max(self.state.time, command.at)
        outcome = appliers.find(type(command).__name__)(self.state, command)
        _prune(self.state)
        return outcome

    def save(self) -> bytes:
        """Serialize the whole state into a snapshot."""
        state = self.state
        packed: bytes = msgpack.packb(
            {
                "scalars": [
                    state.revision,
                    state.version,
                    state.document,
                    state.accepted_by,
                    state.accepted_at,
                    state.time,
                    state.pruned_at,
                ],
                "roster": [
                    [item.name, item.data_centre, item.caller_endpoint, item.peer_endpoint]
                    for item in state.roster.values()
                ],
                "commands": [
                    [command_id, item.digest, to_values(item.outcome)]
                    for command_id, item in state.commands.items()
                ],
                "claims": [
                    [
                        key,
                        item.digest,
                        item.attempt,
                        item.entry,
                        item.settled,
                        item.answer,
                        item.ended_attempts,
                    ]
                    for key, item in state.claims.items()
                ],
                "routes": [state.routes_version, state.routes_document],
                "retired": list(state.retired.items()),
            }
        )
        return packed

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot that `save` returned."""
        values = msgpack.unpackb(data)
        revision, version, document, accepted_by, accepted_at, time, pruned_at = values["scalars"]
        # Snapshots of earlier releases contain neither routes nor retired upstreams.
        routes_version, routes_document = values.get("routes", (0, b""))
        self.state = ControlState(
            revision,
            version,
            document,
            accepted_by,
            accepted_at,
            time,
            pruned_at,
            roster={item[0]: RosterEntry(*item) for item in values["roster"]},
            commands={
                command_id: RecordedOutcome(digest, from_values(outcome))
                for command_id, digest, outcome in values["commands"]
            },
            claims={
                key: Claim(digest, attempt, entry, settled, answer, tuple(ended_attempts))
                for key, digest, attempt, entry, settled, answer, ended_attempts in values["claims"]
            },
            routes_version=routes_version,
            routes_document=routes_document,
            retired=dict(values.get("retired", ())),
        )


@appliers.register(AcceptConfiguration.__name__)
def _accept(state: ControlState, command: AcceptConfiguration) -> Outcome:
    digest = _digest([command.operator, command.base_revision, command.document])
    recorded = state.commands.get(command.command_id)
    if recorded is not None:
        if recorded.digest != digest:
            return CommandRefused("the command id was used for another command")
        return recorded.outcome
    refusal = _identifier_refusal(state, command.command_id, COMMAND_RETENTION)
    if refusal is not None:
        return CommandRefused(f"the command id is {refusal}")
    outcome = _decide_accept(state, command)
    state.commands[command.command_id] = RecordedOutcome(digest, outcome)
    return outcome


def _decide_accept(state: ControlState, command: AcceptConfiguration) -> Outcome:
    if command.base_revision != state.revision:
        return Superseded(state.revision, state.accepted_by, state.accepted_at)
    state.revision += 1
    state.version += 1
    state.document = command.document
    state.accepted_by = command.operator
    state.accepted_at = command.at
    return Accepted(state.revision, state.version)


@appliers.register(AdmitEntry.__name__)
def _admit(state: ControlState, command: AdmitEntry) -> None:
    if state.roster.get(command.entry.name) != command.entry:
        state.roster[command.entry.name] = command.entry
        state.version += 1


@appliers.register(RemoveEntry.__name__)
def _remove(state: ControlState, command: RemoveEntry) -> None:
    if state.roster.pop(command.name, None) is not None:
        state.version += 1


@appliers.register(ClaimKey.__name__)
def _claim(state: ControlState, command: ClaimKey) -> ClaimGranted | ClaimHeld | ClaimRefused:
    claim = state.claims.get(command.key)
    if claim is None:
        refusal = _identifier_refusal(state, command.key, CLAIM_RETENTION)
        if refusal is not None:
            return ClaimRefused("key_invalid" if refusal == "invalid" else "key_expired")
        if len(state.claims) >= MAX_CLAIMS:
            return ClaimRefused("claims_full")
        state.claims[command.key] = Claim(command.digest, command.attempt, command.entry)
        return ClaimGranted()
    if claim.digest != command.digest:
        return ClaimRefused("key_reused")
    if command.attempt in claim.ended_attempts:
        return ClaimRefused("attempt_over")
    if claim.attempt == command.attempt and not claim.settled:
        return ClaimGranted()
    if not claim.attempt:
        state.claims[command.key] = replace(claim, attempt=command.attempt, entry=command.entry)
        return ClaimGranted()
    return ClaimHeld(claim.entry, claim.settled, claim.answer)


@appliers.register(SettleKey.__name__)
def _settle(state: ControlState, command: SettleKey) -> None:
    claim = state.claims.get(command.key)
    if claim is None or claim.settled or claim.attempt != command.attempt:
        return
    if command.ran:
        answer = command.answer if len(command.answer) <= MAX_STORED_ANSWER_BYTES else b""
        state.claims[command.key] = replace(claim, settled=True, answer=answer)
    else:
        # Releases the key; a delayed claim of this attempt must not acquire it again.
        ended_attempts = (*claim.ended_attempts, command.attempt)
        state.claims[command.key] = replace(
            claim, attempt="", entry="", ended_attempts=ended_attempts
        )


@appliers.register(AcceptVersion.__name__)
def _accept_version(state: ControlState, command: AcceptVersion) -> int:
    """Store the configuration unless a version as high is stored; returns the stored version."""
    if command.version > state.routes_version:
        state.routes_version = command.version
        state.routes_document = command.document
    return state.routes_version


@appliers.register(RetireUpstream.__name__)
def _retire(state: ControlState, command: RetireUpstream) -> None:
    state.retired.pop(command.name, None)
    state.retired[command.name] = command.born
    while len(state.retired) > MAX_RETIRED_UPSTREAMS:
        del state.retired[next(iter(state.retired))]


def _identifier_refusal(
    state: ControlState, identifier: str, retention: Milliseconds
) -> str | None:
    created_at = identifier_time(identifier)
    if created_at is None or created_at > state.time + MAX_CLOCK_SKEW:
        return "invalid"
    if created_at < state.time - retention:
        return "too old"
    return None


def _prune(state: ControlState) -> None:
    if state.time < state.pruned_at + PRUNE_PERIOD:
        return
    state.pruned_at = state.time
    oldest_command = state.time - COMMAND_RETENTION
    oldest_claim = state.time - CLAIM_RETENTION
    state.commands = {
        key: item
        for key, item in state.commands.items()
        if (identifier_time(key) or 0.0) >= oldest_command
    }
    state.claims = {
        key: item
        for key, item in state.claims.items()
        if (identifier_time(key) or 0.0) >= oldest_claim
    }


def _digest(value: Any) -> str:
    return str(xxhash.xxh3_128_hexdigest(msgpack.packb(value)))
