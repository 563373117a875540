"""Recognizes upstreams that go on after a departure that did not name the start it ends.

Such a departure may be that of an earlier start under the same name, held up on its way. It has to
be obeyed at once all the same, as the upstream may be leaving. Heartbeats of one that is leaving
may still arrive for as long as they can be late; one that is running goes on sending them.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds
    from fulmarhold.membership.statements import UpstreamStatement

# Late heartbeats that a suspended instance finds at its end are handled at the same moment.
LEAST_HEARTBEATS = 4


@dataclass
class _Run:
    """Heartbeats of one incarnation with rising sequences, since a departure."""

    born: int
    first_at: Milliseconds
    last_at: Milliseconds
    sequence: int
    count: int = 1


class ContinuingUpstreams:
    """Counts the heartbeats that upstreams send after a departure.

    `lateness` is for how long, in milliseconds, the heartbeats of an upstream that has left may
    still arrive; a pause of that length between two heartbeats begins a new count.

    >>> from fulmarhold.membership.statements import READY, UpstreamStatement
    >>> continuing = ContinuingUpstreams(lateness=3_000.0)
    >>> heartbeats = [
    ...     UpstreamStatement("u", 1, number, READY, "s", "10.0.0.1:80", "a", 2)
    ...     for number in range(4)
    ... ]
    >>> [continuing.note(item, 1_000.0 * item.sequence) for item in heartbeats]
    [False, False, False, True]
    """

    def __init__(self, lateness: Milliseconds) -> None:
        self._lateness = lateness
        self._runs: dict[tuple[str, str], _Run] = {}

    def __len__(self) -> int:
        return len(self._runs)

    def note(self, statement: UpstreamStatement, now: Milliseconds) -> bool:
        """Count a heartbeat; returns whether it shows that the upstream goes on."""
        key = statement.name, statement.service
        run = self._runs.get(key)
        if run is None or run.born != statement.born or now > run.last_at + self._lateness:
            self._runs[key] = _Run(statement.born, now, now, statement.sequence)
            return False
        if statement.sequence > run.sequence:
            run.sequence, run.last_at = statement.sequence, now
            run.count += 1
        return run.count >= LEAST_HEARTBEATS and now >= run.first_at + self._lateness

    def end(self, statement: UpstreamStatement) -> None:
        """Forget the count of an upstream, which goes on."""
        self._runs.pop((statement.name, statement.service), None)

    def forget_ended(self, now: Milliseconds) -> None:
        """Forget the counts of upstreams that send no more heartbeats."""
        for key in [key for key, run in self._runs.items() if now > run.last_at + self._lateness]:
            del self._runs[key]
