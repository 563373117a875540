"""What an upstream announces, and the messages by which entries pass it on."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated, Any, Literal

from pydantic import ConfigDict, Field

from fulmarhold.control.messages import EntryState, RosterEntry
from fulmarhold.settings.processes import Endpoint, Name
from fulmarhold.wire.messages import checked_message

STRICT = ConfigDict(extra="forbid")

UpstreamState = Literal["starting", "serving", "draining"]
Count = Annotated[int, Field(ge=1, le=1_000_000)]
Label = Annotated[str, Field(pattern=r"^[A-Za-z0-9._-]{1,64}$")]


@dataclass(frozen=True)
class UpstreamRecord:
    """One upstream as it announced itself; `sequence` orders what one incarnation said."""

    __pydantic_config__ = STRICT

    service: Name
    shard: Annotated[int, Field(ge=0, le=999_999)]
    layout: Label
    layout_shards: Count
    versions: Annotated[tuple[int, ...], Field(max_length=16)]
    address: Endpoint
    incarnation: Annotated[int, Field(ge=0)]
    sequence: Annotated[int, Field(ge=0)]
    slots: Count
    connection_limit: Count
    state: UpstreamState
    load: Annotated[float, Field(ge=0)] = 0.0

    @property
    def order(self) -> tuple[int, int]:
        """Newer statements of an upstream compare greater."""
        return self.incarnation, self.sequence


@dataclass(frozen=True)
class Announcement:
    """A record with the token of the last reply, which shows when it was made at the earliest."""

    __pydantic_config__ = STRICT

    upstream: UpstreamRecord
    token: Annotated[str, Field(max_length=64)] = ""


@checked_message
class PeerPoll:
    """Asks another entry for the upstreams it vouches for, if they changed since `set_version`."""

    sender: str
    source: str
    set_version: int


@checked_message
class PeerReply:
    """What an entry vouches for at the moment of the reply.

    In the normal case `records` is left out and the reply has a constant size: the set of
    `set_version` from `source` still stands as a whole.
    """

    source: str
    set_version: int
    records: tuple[UpstreamRecord, ...] | None
    state: EntryState
    version: int


@checked_message
class ConfigurationRequest:
    """Asks another entry for what it runs; `revision` is the configuration the asker has."""

    revision: int


@checked_message
class ConfigurationReply:
    """What an entry runs; `document` is left out where the asker has that revision."""

    version: int
    revision: int
    document: dict[str, Any] | None
    roster: tuple[RosterEntry, ...]
