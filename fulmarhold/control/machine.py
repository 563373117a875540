"""The replicated state machine: accepted configuration, entry roster, command outcomes and claims.

Applying a command depends only on the state and the command, never on a clock, so that every
member reaches the same state.
"""

from __future__ import annotations

from dataclasses import replace
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
    SettleKey,
    Superseded,
)
from fulmarhold.control.state import (
    Claim,
    ControlState,
    Outcome,
    RecordedOutcome,
    decode_state,
    encode_state,
    retirement_key,
)
from fulmarhold.errors import MalformedInput
from fulmarhold.membership.evacuation import (
    EvacuationOrdered,
    EvacuationOutdated,
    SetEvacuation,
)
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
# Evacuated data centres; many times what a deployment has, so that odd orders fill no memory.
MAX_EVACUATED = 256

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
        return encode_state(self.state)

    def restore(self, data: bytes) -> None:
        """Replace the state by a snapshot that `save` returned."""
        self.state = decode_state(data)


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
    if has_retired(state, command):
        return
    key = retirement_key(command.name, command.service)
    retired = state.retired.pop(key, -1)
    if command.names_start:
        state.doubted.pop(key, None)
    elif key not in state.doubted or command.born > retired + 1:
        state.doubted[key] = command.born
    state.retired[key] = command.born
    while len(state.retired) > MAX_RETIRED_UPSTREAMS:
        oldest = next(iter(state.retired))
        del state.retired[oldest]
        state.doubted.pop(oldest, None)


def has_retired(state: ControlState, command: RetireUpstream) -> bool:
    """Whether a departure is recorded already, so that the command would change nothing."""
    key = retirement_key(command.name, command.service)
    retired = state.retired.get(key, -1)
    ends_doubt = command.names_start and key in state.doubted
    return command.born < retired or (command.born == retired and not ends_doubt)


@appliers.register(SetEvacuation.__name__)
def _set_evacuation(
    state: ControlState, command: SetEvacuation
) -> EvacuationOrdered | EvacuationOutdated | CommandRefused:
    if command.base != state.evacuation_orders:
        return EvacuationOutdated(state.evacuation_orders)
    before = state.evacuations
    after = before.with_order(command.data_centre, is_evacuated=command.is_evacuated)
    if len(after.data_centres) > MAX_EVACUATED:
        return CommandRefused(f"{MAX_EVACUATED} data centres are evacuated already")
    state.evacuation_orders += 1
    state.evacuations = after
    return EvacuationOrdered(after != before, after)


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
