"""Whether new work may go to an upstream now, and why not.

Loads: a rolling release, in which every replica of a shard leaves within seconds; overloaded
replicas that all ask for a pause at once, and want work again at the same moment. An upstream that
is overloaded or leaves must get no request at all, also if that means that a caller is refused: it
has said so, and each further request makes its state last longer.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from fulmarhold.clock import Milliseconds

# An upstream that names no or a very short pause still gets this much time between two attempts.
MIN_PAUSE: Milliseconds = 50.0
# By how much of its length a pause is prolonged at most, and by how much in all, so that entries
# which were told the same do not return at the same moment.
END_SPREAD_SHARE = 0.1
MAX_END_SPREAD: Milliseconds = 250.0
# After a pause one request is open at a time until one is answered well. One more is allowed after
# each of these periods, since an answer may be lost.
RETURN_PERIOD: Milliseconds = 1_000.0
# Then the number of open requests may double in each step, from `FIRST_STEP`. The last step allows
# more than an entry has open at a healthy upstream.
STEP_TIME: Milliseconds = 100.0
FIRST_STEP = 2
STEPS = 4
# A pause that ended this long ago, without any good answer since, no longer limits anything.
RETURN_LIMIT: Milliseconds = 10_000.0

HEARTBEAT = "heartbeat"


class Reason(Enum):
    """Why an upstream should get no new work."""

    DRAINING = "draining"
    LEAVING = "leaving"
    PAUSED = "paused"
    COLD = "cold"
    EVACUATED = "evacuated"
    EJECTED = "ejected"
    SUPERSEDED = "superseded"
    UNRESPONSIVE = "unresponsive"
    AT_LIMIT = "at_limit"


# The other reasons only prefer replicas without them: the last replica of a shard is still used.
_FORBIDDING = frozenset(
    (Reason.DRAINING, Reason.LEAVING, Reason.PAUSED, Reason.COLD, Reason.EVACUATED,
     Reason.SUPERSEDED)
)  # fmt: skip
_DISCONNECTING = frozenset((Reason.LEAVING, Reason.PAUSED, Reason.EVACUATED))


@dataclass(frozen=True)
class Availability:
    """Why an upstream should get no new work, if there is a reason.

    `until` is when the reason ends, if known. `source` is the request id of the answer that gave
    the reason, `heartbeat` or `operator`; empty if this entry concluded it from its own requests.
    """

    reason: Reason | None = None
    since: Milliseconds | None = None
    until: Milliseconds | None = None
    source: str = ""

    @property
    def is_forbidden(self) -> bool:
        """Whether the upstream gets no request even if there is no other."""
        return self.reason in _FORBIDDING

    @property
    def may_connect(self) -> bool:
        """Whether connections may be opened to the upstream."""
        return self.reason not in _DISCONNECTING

    def describe(self) -> str:
        """Return the reason and its source, for events."""
        reason = self.reason.value if self.reason else "available"
        return f"{reason} by {self.source}" if self.source else reason


AVAILABLE = Availability()
DRAINED = Availability(Reason.DRAINING, source=HEARTBEAT)


class AnswerSignals:
    """What the answers of one incarnation of an upstream have said about leaving and pausing.

    Several replicas share it if the incarnation changes its address or is lost and found again.

    >>> signals = AnswerSignals()
    >>> signals.note_pause(400.0, "request-1", 1_000.0)
    True
    >>> [signals.held_back(0, now).reason for now in (1_399.0, 1_400.0)]
    [<Reason.PAUSED: 'paused'>, None]
    """

    __slots__ = ("_leaving", "_paused", "_returned_at", "_until", "is_clear")

    def __init__(self) -> None:
        # Whether nothing holds the upstream back. Not computed, because it is read for every
        # candidate of every request.
        self.is_clear = True
        self._leaving: Availability | None = None
        # Kept until the load has returned in full; `_until` is when the pause itself ends.
        self._paused: Availability | None = None
        self._until: Milliseconds = float("-inf")
        # When the first good answer to a request arrived that was sent after the pause.
        self._returned_at: Milliseconds | None = None

    @property
    def is_leaving(self) -> bool:
        return self._leaving is not None

    def is_paused(self, now: Milliseconds) -> bool:
        """Whether the upstream wants no work now."""
        return now < self._until

    def held_back(self, load: int, now: Milliseconds) -> Availability:
        """Return why the upstream gets no request now while `load` are open, if it gets none."""
        if self._leaving is not None:
            return self._leaving
        paused = self._paused
        if paused is None:
            return AVAILABLE
        if now < self._until:
            return paused
        if load < self._return_limit(now) or self._has_returned(now):
            return AVAILABLE
        return replace(paused, until=None)

    def note_leaving(self, source: str, now: Milliseconds) -> bool:
        """Record that an answer says that the upstream leaves; returns whether that is new."""
        if self._leaving is not None:
            return False
        self._leaving = Availability(Reason.LEAVING, now, None, source)
        self.is_clear = False
        return True

    def note_pause(
        self, length: Milliseconds, source: str, now: Milliseconds, spread: float = 0.0
    ) -> bool:
        """Record that an answer asks for no work for `length` ms; returns whether a pause begins.

        `spread`, at least 0 and less than 1, differs between entries and prolongs the pause.
        """
        length = max(MIN_PAUSE, length)
        until = now + length + spread * min(MAX_END_SPREAD, END_SPREAD_SHARE * length)
        self._until = max(until, self._until)
        held = self._paused
        is_new = held is None or self._returned_at is not None
        self._returned_at = None
        self.is_clear = False
        if held is None or is_new:
            self._paused = Availability(Reason.PAUSED, now, self._until, source)
        else:
            # The first answer stays the source, since it is the one that is logged.
            self._paused = replace(held, until=self._until)
        return is_new

    def note_good_answer(self, sent_at: Milliseconds, now: Milliseconds) -> None:
        """Record an answer that shows that the upstream takes work again."""
        if self._paused is not None and self._returned_at is None and sent_at >= self._until:
            self._returned_at = now

    def end_pause(self, now: Milliseconds) -> Availability | None:
        """Forget a pause after which the load has returned in full; returns that pause."""
        paused = self._paused
        if paused is None or not self._has_returned(now):
            return None
        self._paused = self._returned_at = None
        self.is_clear = self._leaving is None
        return paused

    def _return_limit(self, now: Milliseconds) -> int:
        """Return how many requests may be open, some time after the pause."""
        if self._returned_at is None:
            return 1 + int((now - self._until) // RETURN_PERIOD)
        return int(FIRST_STEP << int((now - self._returned_at) // STEP_TIME))

    def _has_returned(self, now: Milliseconds) -> bool:
        if self._returned_at is None:
            return now >= self._until + RETURN_LIMIT
        return now >= self._returned_at + STEPS * STEP_TIME
