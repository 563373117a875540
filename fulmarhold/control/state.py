"""The state that every control member replicates, and its encoding in snapshots."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgpack

from fulmarhold.control.messages import Accepted, CommandRefused, RosterEntry, Superseded
from fulmarhold.membership.evacuation import Evacuations
from fulmarhold.wire.messages import from_values, to_values

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds

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
    # The newest incarnation of each upstream that has left, by `retirement_key`.
    retired: dict[str, int] = field(default_factory=dict)
    # Those of them that may go on, as their departure named no start: the `born` that they state.
    # It is lower than the retired incarnation if that had gone on before.
    doubted: dict[str, int] = field(default_factory=dict)
    evacuations: Evacuations = field(default_factory=Evacuations)
    # The orders that were applied, with or without a change.
    evacuation_orders: int = 0


def retirement_key(name: str, service: str) -> str:
    """Return the key of an upstream's departures; names contain no space.

    >>> retirement_key("i-7f3a", "search"), retirement_key("i-7f3a", "")
    ('i-7f3a search', 'i-7f3a')
    """
    return f"{name} {service}" if service else name


def encode_state(state: ControlState) -> bytes:
    """Serialize the whole state into a snapshot."""
    evacuations = state.evacuations
    optional: dict[str, Any] = {}
    if state.doubted:
        optional["doubted"] = list(state.doubted.items())
    if state.evacuation_orders:
        optional["evacuations"] = [
            state.evacuation_orders,
            evacuations.version,
            evacuations.data_centres,
        ]
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
            **optional,
        }
    )
    return packed


def decode_state(data: bytes) -> ControlState:
    """Return the state of a snapshot that this or an earlier release has saved."""
    values = msgpack.unpackb(data)
    revision, version, document, accepted_by, accepted_at, time, pruned_at = values["scalars"]
    # Snapshots of earlier releases contain neither routes nor retired upstreams, and those of
    # clusters without an order no evacuations.
    routes_version, routes_document = values.get("routes", (0, b""))
    orders, evacuations_version, evacuated = values.get("evacuations", (0, 0, ()))
    return ControlState(
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
        doubted=dict(values.get("doubted", ())),
        evacuations=Evacuations(evacuations_version, tuple(evacuated)),
        evacuation_orders=orders,
    )
