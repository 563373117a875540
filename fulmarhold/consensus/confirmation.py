"""When a follower last knew that it had all commits of the leader.

The moment at which a message arrives says nothing: it may have been on its way for seconds, or its
recipient may have been suspended, and its sender may be deposed since. So a follower stamps its
replies with its own time. The leader's next request repeats the newest stamp, and tells how long
before the arrival of that stamp a quorum had confirmed that it leads. The stamp was made before it
arrived, so the commits that the request names are all that existed that long before the stamp.
"""

from __future__ import annotations

import secrets
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds
    from fulmarhold.consensus.messages import AppendRequest, Stamp

TOKEN_BITS = 48


class Confirmation:
    """When this member last knew that it had all commits of its leader, by its own clock."""

    def __init__(self) -> None:
        # Tells the stamps of this run from those of earlier runs, whose clock may have restarted.
        self._token = secrets.randbits(TOKEN_BITS)
        self._confirmed_at: Milliseconds = float("-inf")

    @property
    def confirmed_at(self) -> Milliseconds:
        return self._confirmed_at

    def stamp(self, now: Milliseconds) -> Stamp:
        """Return the stamp of a reply that is sent now or later."""
        return self._token, now

    def record(self, message: AppendRequest, now: Milliseconds) -> None:
        """Record a request whose commits this member has all committed too."""
        if not message.echoes:
            # A leader of an earlier release repeats no stamps.
            self._confirmed_at = now
        elif message.echo is not None:
            token, stamped_at, quorum_age = message.echo
            if token == self._token and stamped_at <= now and quorum_age >= 0:
                self._confirmed_at = max(self._confirmed_at, stamped_at - quorum_age)
