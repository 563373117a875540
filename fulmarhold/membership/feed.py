"""Messages by which control instances share statements and tell entries what changed."""

from __future__ import annotations

from fulmarhold.membership.statements import InstanceStatement, UpstreamStatement
from fulmarhold.wire.messages import message


@message
class WatchFeed:
    """Asks a control instance for what changed; answered at once if anything did.

    `source` and the positions are those of the last reply; `version` is the newest configuration
    that the watcher holds.
    """

    watcher: InstanceStatement
    source: str
    upstream_position: int
    instance_position: int
    version: int


@message
class FeedReply:
    """What changed since the positions asked for.

    `confirmed_age` tells how many milliseconds ago a majority stood behind this instance's
    leader; `configuration` is left out unless it is newer than the one asked for.
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


@message
class AskConfirmation:
    """Asks a control instance whether it may be followed."""


@message
class Confirmation:
    """Tells whether entries are fed, and how long ago a majority stood behind the leader."""

    is_ready: bool
    confirmed_age: float


@message
class ShareStatements:
    """Passes statements on to another control instance."""

    upstreams: tuple[UpstreamStatement, ...]
    instances: tuple[InstanceStatement, ...]


@message
class AskStatements:
    """Asks another control instance for every statement that it holds."""

    sender: str


@message
class AllStatements:
    """Every statement of a control instance; `is_ready` unless it is itself still asking."""

    is_ready: bool
    upstreams: tuple[UpstreamStatement, ...]
    instances: tuple[InstanceStatement, ...]


@message
class ReportHeard:
    """Tells another control instance that `sender` runs and which upstreams it has heard.

    Only the leader, which judges silence, is told of upstreams: `(name, born, sequence)` each.
    `serving` is a digest of the upstreams that serve as far as the sender knows; an earlier release
    sends none.
    """

    sender: str
    heard: tuple[tuple[str, int, int], ...]
    serving: str = ""


@message
class JoinCluster:
    """Asks to be taken into the cluster as a member that does not vote yet."""

    identity: str
    endpoint: str


@message
class IdentityRequest:
    """Asks a control instance who it is, before a cluster is formed."""


@message
class IdentityReply:
    """Tells identity and, where it belongs to one, the cluster of a control instance."""

    identity: str
    cluster: str


@message
class SubmitVersion:
    """Passes an operator's configuration on to the leader."""

    version: int
    document: bytes


@message
class VersionStored:
    """A majority holds `version`, the highest one accepted."""

    version: int


@message
class ReadVersion:
    """Asks the leader for the newest configuration, confirmed by a majority after the question."""


@message
class VersionRead:
    """The newest configuration."""

    version: int
    document: bytes


@message
class RetireUpstream:
    """Remembers durably that an incarnation of an upstream leaves; a command of the log."""

    name: str
    born: int
    at: float


@message
class AcceptVersion:
    """Makes a configuration the accepted one if its version is the highest; a command."""

    version: int
    document: bytes
    at: float
