"""What an upstream announces, and the messages by which entries pass it on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any, Literal

from pydantic import ConfigDict, Field

from fulmarhold.control.messages import EntryState, RosterEntry
from fulmarhold.membership.validity import MAX_INTEGER, MAX_TEXT
from fulmarhold.settings.processes import Endpoint, Name
from fulmarhold.wire.messages import checked_message

STRICT = ConfigDict(extra="forbid")

UpstreamState = Literal["starting", "serving", "draining"]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
# Bounds within which JSON is exact and messages between entries can be encoded.
Ordinal = Annotated[int, Field(ge=0, le=MAX_INTEGER)]
Version = Annotated[int, Field(ge=-MAX_INTEGER, le=MAX_INTEGER)]
DataCentre = Annotated[str, Field(max_length=MAX_TEXT)]
Label = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]


@dataclass(frozen=True)
class UpstreamRecord:
    """An upstream as it announced itself; `sequence` orders the records of one incarnation."""

    __pydantic_config__ = STRICT

    service: Name
    shard: Annotated[int, Field(ge=0, le=999_999)]
    layout: Label
    layout_shards: Count
    versions: Annotated[tuple[Version, ...], Field(max_length=16)]
    address: Endpoint
    incarnation: Ordinal
    sequence: Ordinal
    slots: Count
    connection_limit: Count
    state: UpstreamState
    load: Annotated[float, Field(ge=0, allow_inf_nan=False)] = 0.0

    @property
    def order(self) -> tuple[int, int]:
        """A sort key under which newer records of an upstream compare greater."""
        return self.incarnation, self.sequence


@dataclass(frozen=True)
class Announcement:
    """A record with the token of the last reply, which bounds how old the announcement can be.

    An upstream that names no data centre is not affected by evacuations. The name is not part of
    the record, because entries of an earlier release refuse records with unknown fields.
    """

    __pydantic_config__ = STRICT

    upstream: UpstreamRecord
    token: Annotated[str, Field(max_length=64)] = ""
    data_centre: DataCentre = ""


@checked_message
class PeerPoll:
    """Asks another entry for the records under its leases, if they changed since `set_version`."""

    sender: str
    source: str
    set_version: int


@checked_message
class PeerReply:
    """The records that hold a lease from an entry at the time of the reply.

    Usually `records` is omitted and the reply has a constant size: the set `set_version` of
    `source` is still valid as a whole.
    """

    source: str
    set_version: int
    records: tuple[UpstreamRecord, ...] | None
    state: EntryState
    version: int


@checked_message
class LocatedPeerReply(PeerReply):
    """A reply with records whose upstreams have named their data centres, by address.

    Sent only where there are such upstreams: an earlier release does not know the message.
    """

    data_centres: dict[str, DataCentre]


def located_reply(reply: PeerReply, data_centres: dict[str, str]) -> LocatedPeerReply:
    """Return a reply with the data centres of its records."""
    return LocatedPeerReply(
        reply.source, reply.set_version, reply.records, reply.state, reply.version, data_centres
    )


@checked_message
class ConfigurationRequest:
    """Asks another entry which configuration it runs; `revision` is the one the sender has."""

    revision: int


@checked_message
class ConfigurationReply:
    """What an entry runs; `document` is omitted if the requester already has that revision."""

    version: int
    revision: int
    document: dict[str, Any] | None
    roster: tuple[RosterEntry, ...]
