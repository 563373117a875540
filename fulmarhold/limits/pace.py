"""Pace of an entry's requests to an upstream that has started, recovered or become slow.

Handles these loads: an upstream that starts with a cold cache, all replicas of a shard that come
back at once while all entries wait for them, and an upstream that slows down for seconds. Without
a pace, the entry that finds a replica empty sends it everything at once; with a fixed ramp, a fast
upstream is left idle and a slow one is overloaded.

The pace is a share of the upstream's slots. The slots are divided by the number of entries that use
the upstream, and the result is a number of requests that this entry may keep open on average. By
Little's law, the sum over all entries then stays within the slots however long the work takes, so
entries that probe upward at the same time don't need to know of each other. The number may be far
below one, and is therefore enforced as a rate: one request for each `latency / open` ms.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds

# Half of the slots don't queue, and leave room for entries that have already reached their full
# pace. With a quarter, 16 entries refuse work for seconds after the loss of all replicas.
START_SHARE = 0.5
# Where the entry's own replies have been slow, the upstream still worked at its former load.
SLOWDOWN_SHARE = 0.7
MIN_SHARE = 0.05
FULL_SHARE = 1.0
# Growth for each good round before the first fall, and what is added after it.
GROWTH_FACTOR = 1.5
GROWTH_STEP = 0.1
FALL_FACTOR = 0.7
# A second fall in this time would answer the same queue, or the same short slowness.
MIN_FALL_INTERVAL: Milliseconds = 500.0
# A round ends after this many replies to requests that were sent in it, or after ROUND_TIME if
# there was any reply. It lasts at least MIN_ROUND, so that the load of other entries that probe at
# the same time shows in it.
ROUND_REPLIES = 3
ROUND_TIME: Milliseconds = 300.0
MIN_ROUND: Milliseconds = 100.0
# A round has queued if even its fastest reply took this multiple of the usual latency.
QUEUED_FACTOR = 1.5
QUEUED_MARGIN: Milliseconds = 2.0
# A round in which this share of the replies were errors or refusals counts as queued.
FAILED_SHARE = 0.5
# Above this multiple of the latency of its kind, the first replies may have queued behind the
# requests of other entries, and the usual latency that they give may be too high.
KIND_FACTOR = 2.0
# Before the first reply, the latency is taken as this multiple of what is usual for its kind.
UNKNOWN_FACTOR = 2.0
DEFAULT_LATENCY: Milliseconds = 20.0
MIN_LATENCY: Milliseconds = 1.0
# Even with a tiny share, an entry sends one request in this time, or it would not see a recovery.
MAX_INTERVAL: Milliseconds = 5_000.0
# At full pace, all replies for this long must be slow before the pace falls: longer than short
# slowness (0.6 s) and pauses (250 ms) of healthy upstreams.
SLOWDOWN_TIME: Milliseconds = 1_000.0
SLOWDOWN_REPLIES = 5
SLOWDOWN_FACTOR = 2.0
# Weights of one reply or round in the usual latency: of a faster round, of a good one, of one that
# has queued, and of a reply at full pace. Queued rounds count a little, so that an upstream that
# stays slower is measured against its new latency after some time.
FASTER_WEIGHT = 0.5
GOOD_WEIGHT = 0.2
QUEUED_WEIGHT = 0.05
FULL_PACE_WEIGHT = 0.05
LATENCY_WEIGHT = 0.3
# After this long without a reply, latencies are learned anew; the share is kept.
MEMORY: Milliseconds = 30_000.0


class PaceReason(Enum):
    """Why an upstream is not used at full pace."""

    STARTED = "started"
    RECOVERED = "recovered"
    SLOW = "slow"


class Pace:
    """Decides how many requests an entry sends to one upstream; has no clock of its own.

    At full pace nothing is limited. `phase`, from 0 to 1, spreads the first requests of many
    entries.

    >>> pace = Pace(slots=4, entries=2)
    >>> pace.has_room(0.0)
    True
    >>> pace.restart(PaceReason.STARTED, 10.0, 0.0)
    >>> pace.note_sent(0.0)
    >>> pace.has_room(1.0), pace.has_room(100.0)
    (False, True)
    """

    __slots__ = ("_credit", "_credited_at", "_entries", "_failed", "_fallen_at", "_fastest",
                 "_has_fallen", "_is_latency_known", "_latency", "_replied_at", "_replies",
                 "_round_started_at", "_share", "_slots", "_slow_replies", "_slow_since",
                 "_total", "_usual", "phase", "reason")  # fmt: skip

    def __init__(self, slots: int, entries: int = 1, phase: float = 1.0) -> None:
        self.phase = phase
        # Why the pace is limited; None at full pace.
        self.reason: PaceReason | None = None
        self.resize(slots, entries)
        self._share = FULL_SHARE
        self._credit = 0.0
        self._credited_at: Milliseconds = 0.0
        self._usual: Milliseconds | None = None
        self._latency: Milliseconds = DEFAULT_LATENCY
        self._is_latency_known = False
        self._replied_at: Milliseconds = float("-inf")
        self._slow_since: Milliseconds | None = None
        self._slow_replies = 0
        self._has_fallen = False
        self._fallen_at: Milliseconds = float("-inf")
        self._fastest: Milliseconds = float("inf")
        self._begin_round(0.0)

    @property
    def is_full(self) -> bool:
        return self.reason is None

    @property
    def share(self) -> float:
        """The share of the upstream's slots that all entries together may use, 1 at full pace."""
        return self._share

    @property
    def usual_latency(self) -> Milliseconds | None:
        """The latency without queueing, as far as it is known."""
        return self._usual

    @property
    def is_held_back(self) -> bool:
        """Whether it has started or recovered, so that work beyond its pace should be left out.

        A slowdown only makes other replicas preferable.
        """
        return self.reason is not None and self.reason is not PaceReason.SLOW

    def resize(self, slots: int, entries: int) -> None:
        """Set the upstream's slots and the number of entries that share them."""
        self._slots, self._entries = max(1, slots), max(1, entries)

    def restart(
        self,
        reason: PaceReason,
        typical: Milliseconds,
        now: Milliseconds,
        *,
        share: float = START_SHARE,
    ) -> None:
        """Limit the pace, because the upstream has started or recovered.

        `typical` is the usual latency of upstreams of its kind. What was learned about the latency
        of this upstream is kept unless it has just started.
        """
        self.reason = reason
        self._share = min(self._share, share) if reason is PaceReason.SLOW else share
        if reason is PaceReason.STARTED or self._usual is None:
            self._usual = None
            self._is_latency_known = False
            self._latency = UNKNOWN_FACTOR * max(MIN_LATENCY, typical)
        self._credit = self.phase
        self._credited_at = now
        self._has_fallen = reason is PaceReason.SLOW
        self._fallen_at = float("-inf")
        self._slow_since = None
        self._begin_round(now)

    def has_room(self, now: Milliseconds) -> bool:
        """Whether one more request may be sent now."""
        return self.reason is None or self._credit_at(now) >= 1

    def room_at(self, now: Milliseconds) -> Milliseconds:
        """Return when the next request may be sent, `now` if one may be sent at once."""
        if self.reason is None:
            return now
        return now + max(0.0, 1 - self._credit_at(now)) * self._interval

    def note_sent(self, now: Milliseconds) -> None:
        """Record that a request is sent, also if there was no room for it."""
        if self.reason is not None:
            self._credit = max(0.0, self._credit_at(now) - 1)
            self._credited_at = now

    def note_success(
        self, latency: Milliseconds, typical: Milliseconds | None, now: Milliseconds
    ) -> None:
        """Record a successful reply; `typical` is the usual latency of its kind, if known."""
        if now - self._replied_at > MEMORY:
            self._usual = None
        self._replied_at = now
        if self.reason is None:
            self._note_at_full_pace(latency, now)
            return
        weight = LATENCY_WEIGHT if self._is_latency_known else 1.0
        self._is_latency_known = True
        self._latency += weight * (latency - self._latency)
        if now - latency >= self._round_started_at:
            self._replies += 1
            self._total += latency
            self._fastest = min(self._fastest, latency)
            self._end_round(typical, now)

    def note_failure(self, now: Milliseconds, elapsed: Milliseconds = 0.0) -> None:
        """Record an error or a refusal; however fast it came, it does not count as a good reply."""
        if self.reason is not None and now - elapsed >= self._round_started_at:
            self._failed += 1
            self._end_round(None, now)

    @property
    def _interval(self) -> Milliseconds:
        """The time between two requests."""
        open_requests = self._share * self._slots / self._entries
        return min(MAX_INTERVAL, max(MIN_LATENCY, self._latency) / open_requests)

    def _credit_at(self, now: Milliseconds) -> float:
        # An entry may keep its share of the slots open, but at least one request.
        most = max(1.0, self._share * self._slots / self._entries)
        return min(most, self._credit + (now - self._credited_at) / self._interval)

    def _note_at_full_pace(self, latency: Milliseconds, now: Milliseconds) -> None:
        usual = self._usual
        if usual is None:
            self._usual = latency
        elif latency <= SLOWDOWN_FACTOR * usual + QUEUED_MARGIN:
            self._usual = usual + FULL_PACE_WEIGHT * (latency - usual)
            self._slow_since = None
        elif self._slow_since is None:
            self._slow_since, self._slow_replies = now - latency, 1
        else:
            self._slow_replies += 1
            is_long = now - self._slow_since > SLOWDOWN_TIME + latency
            if is_long and self._slow_replies >= SLOWDOWN_REPLIES:
                self._latency = latency
                self.restart(PaceReason.SLOW, usual, now, share=SLOWDOWN_SHARE)

    def _begin_round(self, now: Milliseconds) -> None:
        self._round_started_at = now
        self._replies = self._failed = 0
        self._total = 0.0
        self._fastest = float("inf")

    def _end_round(self, typical: Milliseconds | None, now: Milliseconds) -> None:
        """Change the pace if the round has enough replies."""
        count, lasted = self._replies + self._failed, now - self._round_started_at
        if lasted < (MIN_ROUND if count >= ROUND_REPLIES else ROUND_TIME):
            return
        has_failed = self._failed >= FAILED_SHARE * count
        if has_failed or self._has_queued():
            self._fall(now, is_certain=has_failed)
        else:
            self._rise(typical)
        self._learn_usual()
        self._begin_round(now)

    def _has_queued(self) -> bool:
        return (
            self._usual is not None and self._fastest > QUEUED_FACTOR * self._usual + QUEUED_MARGIN
        )

    def _fall(self, now: Milliseconds, *, is_certain: bool) -> None:
        if is_certain or now - self._fallen_at >= MIN_FALL_INTERVAL:
            self._share = max(MIN_SHARE, FALL_FACTOR * self._share)
            self._has_fallen = True
            self._fallen_at = now

    def _rise(self, typical: Milliseconds | None) -> None:
        mean = self._total / self._replies
        is_careful = self._has_fallen or (typical is not None and mean > KIND_FACTOR * typical)
        if is_careful:
            self._share += GROWTH_STEP
        else:
            self._share *= GROWTH_FACTOR
        if self._share >= FULL_SHARE:
            self._share = FULL_SHARE
            self.reason = None
            self._slow_since = None

    def _learn_usual(self) -> None:
        if not self._replies:
            return
        mean = self._total / self._replies
        if self._usual is None:
            self._usual = mean
            return
        weight = FASTER_WEIGHT if mean < self._usual else GOOD_WEIGHT
        if self._has_queued():
            weight = QUEUED_WEIGHT
        self._usual += weight * (mean - self._usual)


class FullPace(Pace):
    """The pace of an upstream whose service doesn't ask for one: always full."""

    __slots__ = ()

    def restart(
        self,
        reason: PaceReason,
        typical: Milliseconds,
        now: Milliseconds,
        *,
        share: float = START_SHARE,
    ) -> None:
        """Stay at full pace."""

    def note_success(
        self, latency: Milliseconds, typical: Milliseconds | None, now: Milliseconds
    ) -> None:
        """Stay at full pace, however slow replies are."""
