"""Messages by which control instances share statements and feed changes to entries."""

from __future__ import annotations

from msgspec import UNSET, UnsetType

from fulmarhold.membership.evacuation import Evacuations
from fulmarhold.membership.packing import Statements, unpack_statements
from fulmarhold.membership.statements import InstanceStatement, UpstreamStatement
from fulmarhold.wire.messages import message


@message
class WatchFeed:
    """Asks a control instance for changes; answered at once if there are any.

    `source` and the positions are those of the last reply; `version` is the newest configuration
    that the watcher has. `accepts_packed` tells that the watcher can unpack statements; an earlier
    release cannot. `evacuations_version` is that of the set of evacuated data centres that the
    watcher has; it is unset, and not sent, while that is the empty first one.
    """

    watcher: InstanceStatement
    source: str
    upstream_position: int
    instance_position: int
    version: int
    accepts_packed: bool = False
    evacuations_version: int | UnsetType = UNSET


@message
class FeedReply:
    """The changes since the requested positions, or all statements if `is_whole`.

    `confirmed_age` tells how many milliseconds ago a majority confirmed the leader of this
    instance; `configuration` is omitted unless it is newer than the watcher's. Many statements are
    in `packed` instead of `upstreams` and `instances`. `evacuations` is unset, and not sent, unless
    it is newer than the watcher's.
    """

    source: str
    is_whole: bool
    confirmed_age: float
    upstream_position: int
    instance_position: int
    upstreams: tuple[UpstreamStatement, ...]
    instances: tuple[InstanceStatement, ...]
    version: int
    configuration: bytes | None
    packed: bytes = b""
    evacuations: Evacuations | UnsetType = UNSET

    def statements(self) -> Statements:
        """Return the statements of the reply; raises `MalformedInput` if they can't be unpacked."""
        if self.packed:
            return unpack_statements(self.packed)
        return self.upstreams, self.instances


@message
class AskConfirmation:
    """Asks a control instance whether an entry in `data_centre` can follow it."""

    data_centre: str = ""


@message
class Confirmation:
    """Tells whether entries are fed, and how long ago a majority confirmed the leader.

    `local_endpoint` names a running control instance in the data centre of the entry, if any.
    """

    is_ready: bool
    confirmed_age: float
    local_endpoint: str = ""


@message
class ShareStatements:
    """Forwards statements to another control instance."""

    upstreams: tuple[UpstreamStatement, ...]
    instances: tuple[InstanceStatement, ...]


@message
class AskStatements:
    """Asks another control instance for all its statements."""

    sender: str


@message
class AllStatements:
    """All statements of a control instance; `is_ready` once it no longer asks for them itself."""

    is_ready: bool
    upstreams: tuple[UpstreamStatement, ...]
    instances: tuple[InstanceStatement, ...]


@message
class ReportHeard:
    """Tells another control instance that `sender` runs and which upstreams it has heard from.

    Upstreams, as `(name, born, sequence)`, are sent only to the leader, which declares upstreams
    silent. `serving` is a digest of the upstreams that serve as far as the sender knows; an earlier
    release sends none.
    """

    sender: str
    heard: tuple[tuple[str, int, int], ...]
    serving: str = ""


@message
class JoinCluster:
    """Asks to join the cluster as a non-voting member."""

    identity: str
    endpoint: str


@message
class SubmitVersion:
    """Forwards an operator's configuration to the leader."""

    version: int
    document: bytes


@message
class VersionStored:
    """Tells that a majority has stored `version`, the highest one accepted."""

    version: int


@message
class ReadVersion:
    """Asks the leader for the newest configuration, confirmed by a majority after the request."""


@message
class VersionRead:
    """The newest configuration."""

    version: int
    document: bytes


@message
class RetireUpstream:
    """A log command that records durably that an incarnation of an upstream leaves.

    `names_start` is false if the departure did not tell which incarnation it ends. Then it may have
    been that of an earlier one, and the incarnation goes on if it is heard for long enough. Earlier
    releases don't know the field, and end the incarnation for good. They name no service either, so
    that their departures are of any service.
    """

    name: str
    born: int
    at: float
    names_start: bool = True
    service: str = ""


@message
class AcceptVersion:
    """A log command that accepts a configuration if its version is the highest."""

    version: int
    document: bytes
    at: float
