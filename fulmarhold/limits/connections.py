"""The connections of callers to one process: how many, and which give way to others.

Handles more connections than there are descriptors for, from one caller address or from many, and
unfinished requests that hold memory which others need. A connection is never ended for that while
its request is running or is making progress: the stalled ones give way first, then those that wait
for a request. Instances, control and operators have descriptors of their own.
"""

from __future__ import annotations

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

from fulmarhold.clock import Milliseconds
from fulmarhold.limits.memory import held_bytes_limit
from fulmarhold.limits.progress import STALLED_AFTER
from fulmarhold.observe.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarhold.clock import Clock
    from fulmarhold.limits.holdings import FixedHolding
    from fulmarhold.limits.progress import Progress
    from fulmarhold.observe.counters import Counters, Gauge

log = get_logger("connections")

# The part of the descriptors that callers leave to instances, control, operators and files, and
# at least as many as a process without callers has open.
RESERVED_SHARE = 1 / 8
MIN_RESERVED = 64
# Callers may take this part of the descriptors even if upstreams use the rest, down to this part
# of the reserve: a connection that gives way is closed a little later.
GUARANTEED_SHARE = 1 / 4
LAST_RESERVE_SHARE = 1 / 2
# The part of the descriptors for callers that one address may use: many callers may share one.
ADDRESS_SHARE = 7 / 8
# Descriptors are no longer reported as short once new ones have numbers below this part.
RELIEVED_SHARE = 1 / 2
# The memory of a connection: its greenlet, socket and parser.
CONNECTION_BYTES = 16 * 1024
# Connections that a process of any size accepts: some thousands of callers may use one entry.
MIN_CONNECTIONS = 4_100
# Looking through all connections in vain is not repeated for this long.
RESCAN_PAUSE: Milliseconds = 20.0


def connection_limit(process_bytes: int) -> int:
    """Return how many connections of callers a process may have that may use so much memory.

    They take as much as is left to requests and answers together.

    >>> from fulmarhold.limits.memory import MEBIBYTE
    >>> connection_limit(152 * MEBIBYTE), connection_limit(512 * MEBIBYTE)
    (4100, 13824)
    """
    return max(MIN_CONNECTIONS, held_bytes_limit(process_bytes) // CONNECTION_BYTES)


class Phase(Enum):
    """What a connection is doing."""

    # It waits for a request of which nothing has arrived.
    IDLE = "idle"
    # It has a part of a request.
    READING = "reading"
    # Its request is waiting or running.
    RUNNING = "running"
    # An answer is being sent.
    SENDING = "sending"


class GaveWay(Enum):
    """Why a connection was ended in favour of others."""

    DESCRIPTORS = "descriptors"
    ADDRESS = "address_share"
    MEMORY = "memory"
    TOTAL = "connections"


class Refusal(Enum):
    """Why a new connection is refused."""

    DESCRIPTORS = "descriptors"
    ADDRESS = "address_share"
    TOTAL = "connections"


# The order in which phases give way where descriptors are short: an idle caller may be about to
# send a request, while a stalled one has had the time to go on.
_ORDER = {Phase.READING: 0, Phase.SENDING: 1, Phase.IDLE: 2}


class TrackedConnection:
    """The state of one connection.

    `give_way` has to end it and to release what it holds, and returns whether it did: bytes that
    have arrived, and a response that can go on, are progress that this process has not made yet.
    """

    __slots__ = ("caller", "give_way", "held", "owners", "phase", "progress", "since")

    def __init__(self, caller: str, now: Milliseconds, give_way: Callable[[GaveWay], bool]) -> None:
        self.caller = caller
        self.give_way = give_way
        self.phase = Phase.IDLE
        self.since = now
        self.progress: Progress | None = None
        self.held: FixedHolding | None = None
        self.owners: tuple[str, ...] = ()

    def enter(self, phase: Phase, now: Milliseconds, progress: Progress | None = None) -> None:
        """Note what the connection is doing from now on."""
        self.phase = phase
        self.since = now
        self.progress = progress

    def stalled_since(self, now: Milliseconds) -> Milliseconds | None:
        """Return since when it has made no progress, or `None` if it must not give way."""
        if self.phase is Phase.RUNNING:
            return None
        since = self.progress.marked_at if self.progress is not None else self.since
        return since if now - since >= STALLED_AFTER else None


class ConnectionBudget:
    """The connections of callers to one process, over all of its ports for them.

    >>> from fulmarhold.clock import ManualClock
    >>> from fulmarhold.observe.counters import Counters
    >>> clock = ManualClock()
    >>> budget = ConnectionBudget(clock, Counters())
    >>> budget.refusal("10.0.0.1", descriptor=1_000, limit=1_024)
    <Refusal.DESCRIPTORS: 'descriptors'>
    >>> stalled = budget.open("10.0.0.1", lambda why: why is GaveWay.DESCRIPTORS)
    >>> clock.advance(2_000.0)
    >>> budget.refusal("10.0.0.2", descriptor=900, limit=1_024), budget.count
    (None, 0)
    """

    def __init__(
        self, clock: Clock, counters: Counters, max_connections: int = MIN_CONNECTIONS
    ) -> None:
        self._clock = clock
        self._counters = counters
        self._max_connections = max_connections
        self._connections: set[TrackedConnection] = set()
        self._by_caller: dict[str, int] = {}
        self._candidates: deque[TrackedConnection] = deque()
        self._rescan_at: Milliseconds = 0.0
        self._address_rescan_at: Milliseconds = 0.0
        self._relieve_at: Milliseconds = 0.0
        self._is_short = False

    @property
    def count(self) -> int:
        return len(self._connections)

    def open(self, caller: str, give_way: Callable[[GaveWay], bool]) -> TrackedConnection:
        """Add a connection of a caller address."""
        connection = TrackedConnection(caller, self._clock.now(), give_way)
        self._connections.add(connection)
        self._by_caller[caller] = self._by_caller.get(caller, 0) + 1
        return connection

    def close(self, connection: TrackedConnection) -> None:
        """Remove a connection; may be called more than once."""
        if connection not in self._connections:
            return
        self._connections.remove(connection)
        left = self._by_caller[connection.caller] - 1
        if left:
            self._by_caller[connection.caller] = left
        else:
            del self._by_caller[connection.caller]

    def refusal(self, caller: str, descriptor: int, limit: int) -> Refusal | None:
        """Return why a new connection has to be refused, or `None` after others gave way.

        `descriptor` is its own number: the kernel gives the lowest one, so that all below are in
        use. `limit` is how many the process may open.
        """
        reserve = max(MIN_RESERVED, int(RESERVED_SHARE * limit))
        usable = max(1, limit - reserve)
        if self._by_caller.get(caller, 0) >= ADDRESS_SHARE * usable:
            own = (item for item in self._connections if item.caller == caller)
            if not self._end_one(own, GaveWay.ADDRESS):
                return self._refuse(Refusal.ADDRESS)
        if self.count >= self._max_connections and not self._end_one(
            self._connections, GaveWay.TOTAL
        ):
            return self._refuse(Refusal.TOTAL)
        if descriptor < usable:
            self._check_relief(descriptor, usable)
            return None
        has_ended = self._end_one(self._connections, GaveWay.DESCRIPTORS)
        has_last_reserve = descriptor < limit - LAST_RESERVE_SHARE * reserve
        if has_last_reserve and (has_ended or self.count < GUARANTEED_SHARE * limit):
            return None
        return self._refuse(Refusal.DESCRIPTORS)

    def relieve(self, owners: tuple[str, ...], size: int) -> bool:
        """End stalled unfinished requests of `owners`, of all if there are none, that hold `size`.

        Returns whether any was ended; called by the memory budget where it is short.
        """
        now = self._clock.now()
        if now < self._relieve_at:
            return False
        stalled = [
            (item.held.size * (now - since), item.held.size, number, item)
            for number, item in enumerate(self._connections)
            if item.phase is Phase.READING
            and item.held is not None
            and item.held.size
            and (not owners or any(owner in owners for owner in item.owners))
            and (since := item.stalled_since(now)) is not None
        ]
        freed = 0
        for _, held, _, item in sorted(stalled, reverse=True):
            freed += held if self._end(item, GaveWay.MEMORY) else 0
            if freed >= size:
                break
        if not freed:
            self._relieve_at = now + RESCAN_PAUSE
        return freed > 0

    def gauges(self) -> Iterable[Gauge]:
        """Yield the number of connections by what they are doing."""
        counts = dict.fromkeys(Phase, 0)
        for item in self._connections:
            counts[item.phase] += 1
        for phase, count in counts.items():
            yield "caller_connections_open", {"phase": phase.value}, float(count)

    def _end_one(self, connections: Iterable[TrackedConnection], why: GaveWay) -> bool:
        """End the connection that has to give way first; returns whether there is one."""
        now = self._clock.now()
        if why is GaveWay.ADDRESS:
            if now < self._address_rescan_at:
                return False
            candidates = self._in_order(connections, now)
        else:
            if not self._candidates and now >= self._rescan_at:
                self._candidates.extend(self._in_order(connections, now))
                self._rescan_at = now + RESCAN_PAUSE
            candidates = self._candidates
        while candidates:
            item = candidates.popleft()
            is_stalled = item in self._connections and item.stalled_since(now) is not None
            if is_stalled and self._end(item, why):
                return True
        if why is GaveWay.ADDRESS:
            self._address_rescan_at = now + RESCAN_PAUSE
        return False

    def _in_order(
        self, connections: Iterable[TrackedConnection], now: Milliseconds
    ) -> deque[TrackedConnection]:
        """Return those that may give way: by phase, those of the busiest address first."""
        stalled = [item for item in connections if item.stalled_since(now) is not None]
        stalled.sort(
            key=lambda item: (
                _ORDER[item.phase],
                -self._by_caller[item.caller],
                item.stalled_since(now),
            )
        )
        return deque(stalled)

    def _end(self, connection: TrackedConnection, why: GaveWay) -> bool:
        """Let a connection give way; returns whether it was stalled indeed, and has."""
        phase = connection.phase.value
        if not connection.give_way(why):
            return False
        self.close(connection)
        self._counters.add("caller_connections_gave_way", reason=why.value, phase=phase)
        self._report(f"a connection that was {phase} gave way, {why.value}")
        return True

    def _refuse(self, why: Refusal) -> Refusal:
        self._counters.add("caller_connections_refused", reason=why.value)
        self._report(f"a new connection was refused, {why.value}")
        return why

    def _check_relief(self, descriptor: int, usable: int) -> None:
        if self._is_short and descriptor < RELIEVED_SHARE * usable:
            self._is_short = False
            log.info("connections of callers no longer give way, {} are open", self.count)

    def _report(self, result: str) -> None:
        if not self._is_short:
            self._is_short = True
            log.warning(
                "connections of callers give way or are refused: {} from {} addresses are open; "
                "first result: {}",
                self.count,
                len(self._by_caller),
                result,
            )
