"""Messages between an entry and the collectors that it asks for parts."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from fulmarhold.wire.messages import message


class Unserved(Enum):
    """Why a collector has no part of an upstream."""

    # The request was not sent to the upstream.
    DECLINED = "declined"
    # It was sent, and the upstream said that it did not run it.
    NOT_RUN = "not_run"
    # It may have run.
    FAILED = "failed"


class Decline(Enum):
    """Why a collector did not send a request to an upstream."""

    UNKNOWN = "unknown"
    # Its data centre is evacuated, which the asking entry may not know yet.
    EVACUATED = "evacuated"
    EJECTED = "ejected"
    UNRESPONSIVE = "unresponsive"
    # It has as much work as it finishes in time.
    CONGESTED = "congested"
    # It has said that it leaves, or that it wants no work for a while.
    LEAVING = "leaving"
    PAUSED = "paused"
    # It is cold, and the collector's part of what it bears is used up.
    COLD = "cold"
    # The collector is about to stop.
    STOPPING = "stopping"


@message
class CollectParts:
    """Asks a collector to send a request to `upstreams`, by name, and to merge their parts.

    `left` is the time in milliseconds until the deadline, `useful_for` that until the asking entry
    may answer without the parts that are missing. `account` is the client account of the request,
    if there is one, and `rank` its priority; an earlier release names none.
    """

    request_id: str
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    upstreams: tuple[str, ...]
    top_records: int
    left: float
    useful_for: float
    is_urgent: bool
    account: str = ""
    rank: int = 0


@dataclass(frozen=True)
class HeldBackUpstream:
    """An incarnation of the upstream at `position` in the request that leaves or pauses.

    `reason` is `leaving` or `paused`, the latter for `left` more milliseconds; the answer to the
    request `source` has said so.
    """

    position: int
    born: int
    reason: str
    left: float
    source: str


@message
class CollectedParts:
    """Parts that were collected since the last reply to the same request.

    Each of `parts` is the position of an upstream in the request, the signature of its part, and
    its latency in milliseconds; `records` are the greatest ones of these parts together. Each of
    `unserved` is a position, a value of `Unserved` and a reason. `signals` names those of these
    upstreams that leave or pause.
    """

    parts: tuple[tuple[int, str, int], ...]
    records: bytes
    unserved: tuple[tuple[int, str, str], ...]
    is_last: bool
    signals: tuple[HeldBackUpstream, ...] = ()
