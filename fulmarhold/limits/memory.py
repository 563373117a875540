"""One bound on the bytes that a process holds for others: responses, answers and request bodies.

Bytes are held in two ways. A response that is still being received can give way: its connection is
closed and its request fails. Whatever can't give way any more, because a caller will get it or has
sent it, is fixed. The bound is kept by refusing fixed bytes that don't fit, and by letting
responses give way to each other and to fixed bytes.

An upstream that sends bytes without end must not cost the requests of others. So the upstream whose
unfinished responses cost most gives way first, where the cost of a response is its size times the
time since its first byte: a sound response is held for a short time, however large it is.

A caller or a client account must not cost the requests of others either. What it takes is known
only when responses arrive, which is after its requests were admitted, so its unfinished responses
give way to each other and to its answers.
"""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING

from fulmarhold.limits.holdings import FixedHolding, ResponseHolding
from fulmarhold.limits.sharing import MIN_ROOM_SHARE
from fulmarhold.observe.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarhold.clock import Clock
    from fulmarhold.limits.sharing import Flow
    from fulmarhold.observe.counters import Counters, Gauge

log = get_logger("memory")

MEBIBYTE = 1024 * 1024
# The memory of a process whose settings name no limit.
DEFAULT_PROCESS_BYTES = 256 * MEBIBYTE
# What a process needs without any request: code, the state of the fleet, connections.
AT_REST_BYTES = 80 * MEBIBYTE
# The number of upstreams whose state is a part of that, and the memory of each further one with its
# connections.
UPSTREAMS_AT_REST = 700
UPSTREAM_BYTES = 40 * 1024
# The part of the limit that is usable for the rest however many upstreams there are.
MIN_USABLE_SHARE = 0.2
# The part of the rest that may be held. Data is copied while it is decoded, merged and sent, and
# the kernel holds bytes that have arrived and are not read yet.
HELD_SHARE = 0.5
# The part of the process limit that may be held however small that limit is.
MIN_HELD_SHARE = 0.25
# The part of the bound that one upstream, one caller or one client account may take: less than what
# may be fixed before requests of others are refused.
OWNER_SHARE = 0.4
# Shares of the bound that may be fixed before new requests are refused, the urgent ones last.
ADMITTED_SHARE = 0.5
URGENT_ADMITTED_SHARE = 0.75
# The part of the bound that one caller or client account may take with its unfinished responses:
# once they are complete, requests of others have to be admitted still.
OWNER_TOTAL_SHARE = ADMITTED_SHARE
# Below this share of the bound, the memory is no longer reported as short.
RELIEVED_SHARE = 0.25


class Holder(Enum):
    """What bytes are held for."""

    # Responses of upstreams that are not complete.
    RESPONSE = "response"
    # Complete responses of upstreams whose request has no outcome yet.
    REPLY = "reply"
    # Answers that are being sent to callers.
    ANSWER = "answer"
    # Requests of callers, from their first byte until they are answered.
    REQUEST = "request"


class Shortage(Enum):
    """What was done because the bound was reached."""

    RESPONSE_DROPPED = "response_dropped"
    # The response was for a caller or a client account that has used up its share.
    SHARE_USED = "share_used"
    REQUEST_REFUSED = "request_refused"
    BODY_REFUSED = "body_refused"


def held_bytes_limit(process_bytes: int, upstreams: int = 0) -> int:
    """Return how many bytes may be held by a process that may use `process_bytes` of memory.

    `upstreams` is the number of upstreams that the process is connected to.

    >>> held_bytes_limit(300 * MEBIBYTE) // MEBIBYTE, held_bytes_limit(100 * MEBIBYTE) // MEBIBYTE
    (110, 25)
    >>> held_bytes_limit(300 * MEBIBYTE, upstreams=4_000) // MEBIBYTE
    45
    """
    whole = process_bytes or DEFAULT_PROCESS_BYTES
    fleet = max(0, upstreams - UPSTREAMS_AT_REST) * UPSTREAM_BYTES
    usable = max(whole - fleet, MIN_USABLE_SHARE * whole)
    return int(max(MIN_HELD_SHARE * usable, HELD_SHARE * (usable - AT_REST_BYTES)))


class MemoryBudget:
    """The bytes that a process holds for others, and their bound.

    >>> from fulmarhold.clock import ManualClock
    >>> from fulmarhold.observe.counters import Counters
    >>> budget = MemoryBudget(1_000, ManualClock(), Counters())
    >>> body = budget.open_fixed(Holder.REQUEST, ("caller",))
    >>> body.try_grow(400), body.try_grow(400)
    (True, False)
    >>> body.release()
    >>> budget.held
    0
    """

    def __init__(self, limit: int, clock: Clock, counters: Counters) -> None:
        self._limit = limit
        self._clock = clock
        self._counters = counters
        self._fixed: dict[Holder, int] = dict.fromkeys(Holder, 0)
        self._fixed_total = 0
        self._fixed_by_owner: dict[str, int] = {}
        self._responses: set[ResponseHolding] = set()
        self._responses_total = 0
        self._responses_by_upstream: dict[str, int] = {}
        self._responses_by_owner: dict[str, int] = {}
        self._is_short = False
        # Ends stalled requests of owners (of all, if there are none) that hold a number of bytes;
        # returns whether there were any.
        self.relieve: Callable[[tuple[str, ...], int], bool] | None = None

    @property
    def limit(self) -> int:
        return self._limit

    @property
    def held(self) -> int:
        return self._fixed_total + self._responses_total

    @property
    def is_short(self) -> bool:
        """Whether the bound was reached, and the bytes held have not become far fewer since."""
        return self._is_short

    def open_response(
        self, upstream: str, give_way: Callable[[Shortage], None], owners: tuple[str, ...] = ()
    ) -> ResponseHolding:
        """Hold a response that is being received, on behalf of `owners`.

        `give_way` is told why, and has to end the response and release it.
        """
        return ResponseHolding(self, upstream, owners, give_way, self._clock.now())

    def open_fixed(self, holder: Holder, owners: tuple[str, ...] = ()) -> FixedHolding:
        """Hold bytes that can't give way, on behalf of `owners`."""
        return FixedHolding(self, holder, owners)

    def may_admit(
        self, owners: tuple[str, ...], *, is_urgent: bool, flow: Flow | None = None
    ) -> bool:
        """Whether there is room for a new request of `owners`; a refusal is counted.

        Accounts that ask for more than usual are refused earlier than others.
        """
        share = URGENT_ADMITTED_SHARE if is_urgent else ADMITTED_SHARE
        if flow is not None and self._fixed_total > MIN_ROOM_SHARE * share * self._limit:
            share *= flow.room_share(self._clock.now())
        if self._have_room(owners, 0, share):
            return True
        self._report(Shortage.REQUEST_REFUSED)
        return False

    def fits(self, owners: tuple[str, ...], size: int) -> bool:
        """Whether there is room for fixed bytes now; a refusal is counted."""
        if self._have_room(owners, size, URGENT_ADMITTED_SHARE):
            return True
        self._report(Shortage.BODY_REFUSED)
        return False

    def resize(self, limit: int) -> None:
        """Change the bound; unfinished responses give way to a smaller one."""
        self._limit = limit
        self._make_room()

    def check_relief(self) -> None:
        """Report that memory is no longer short once it isn't; called periodically."""
        if self._is_short and self.held <= RELIEVED_SHARE * self._limit:
            self._is_short = False
            log.info("memory is no longer short, {} of {} bytes are held", self.held, self._limit)

    def gauges(self) -> Iterable[Gauge]:
        """Yield the bound, and the bytes held by what they are held for."""
        yield "memory_limit_bytes", {}, float(self._limit)
        for holder, size in self._fixed.items():
            held = self._responses_total if holder is Holder.RESPONSE else size
            yield "memory_held_bytes", {"holder": holder.value}, float(held)

    # Called by holdings

    def add_response(self, holding: ResponseHolding, size: int) -> None:
        """Add bytes of an unfinished response, and let responses give way where it is too much."""
        self._responses.add(holding)
        self._count_response(holding, size)
        if self._responses_by_upstream.get(holding.upstream, 0) > OWNER_SHARE * self._limit:
            own = (item for item in self._responses if item.upstream == holding.upstream)
            self._drop_costliest(own, Shortage.RESPONSE_DROPPED)
        self._keep_shares(holding.owners)
        self._make_room()

    def remove_response(self, holding: ResponseHolding) -> None:
        """Remove a response that has ended."""
        self._responses.discard(holding)
        self._count_response(holding, -holding.size)

    def try_add_fixed(self, holder: Holder, owners: tuple[str, ...], size: int) -> bool:
        """Add fixed bytes if there is room for them; responses give way to them."""
        if not self.fits(owners, size):
            return False
        self.add_fixed(holder, owners, size)
        return True

    def add_fixed(self, holder: Holder, owners: tuple[str, ...], size: int) -> None:
        """Add or, with a negative size, remove fixed bytes, whether there is room or not."""
        self._fixed[holder] += size
        self._fixed_total += size
        for owner in owners:
            _add(self._fixed_by_owner, owner, size)
        if size > 0:
            self._keep_shares(owners)
        self._make_room()

    def _have_room(self, owners: tuple[str, ...], size: int, share: float) -> bool:
        """Whether fixed bytes fit into a share of the bound, after stalled requests gave way."""
        excess = self._fixed_total + size - int(share * self._limit)
        if excess > 0 and not (
            self.relieve is not None
            and self.relieve((), excess)
            and self._fixed_total + size <= share * self._limit
        ):
            return False
        if self._have_share(owners, size):
            return True
        return (
            self.relieve is not None
            and self.relieve(owners, size)
            and self._have_share(owners, size)
        )

    def _have_share(self, owners: tuple[str, ...], size: int) -> bool:
        share = OWNER_SHARE * self._limit
        return all(self._fixed_by_owner.get(owner, 0) + size <= share for owner in owners)

    def _count_response(self, holding: ResponseHolding, size: int) -> None:
        self._responses_total += size
        _add(self._responses_by_upstream, holding.upstream, size)
        for owner in holding.owners:
            _add(self._responses_by_owner, owner, size)

    def _keep_shares(self, owners: tuple[str, ...]) -> None:
        """Let unfinished responses of owners give way until they have no more than their share."""
        share = OWNER_TOTAL_SHARE * self._limit
        for owner in owners:
            while (
                in_progress := self._responses_by_owner.get(owner, 0)
            ) and in_progress + self._fixed_by_owner.get(owner, 0) > share:
                own = (item for item in self._responses if owner in item.owners)
                self._drop_costliest(own, Shortage.SHARE_USED)

    def _make_room(self) -> None:
        """Let responses give way until no more bytes are held than may be, or none is left."""
        while self._responses and self.held > self._limit:
            self._drop_costliest(self._responses, Shortage.RESPONSE_DROPPED)

    def _drop_costliest(self, responses: Iterable[ResponseHolding], shortage: Shortage) -> None:
        """Let one response give way: the costliest of the upstream whose responses cost most."""
        now = self._clock.now()
        by_upstream: dict[str, list[ResponseHolding]] = {}
        for item in responses:
            by_upstream.setdefault(item.upstream, []).append(item)

        def cost(items: Iterable[ResponseHolding]) -> tuple[float, int]:
            return sum(item.cost(now) for item in items), sum(item.size for item in items)

        costliest = max(by_upstream.values(), key=cost)
        dropped = max(costliest, key=lambda item: cost((item,)))
        self._report(shortage)
        dropped.give_way(shortage)
        # Whoever was told has released it; if not, this must still end.
        dropped.release()

    def _report(self, shortage: Shortage) -> None:
        self._counters.add("memory_shortages", result=shortage.value)
        if not self._is_short:
            self._is_short = True
            log.warning(
                "memory is short: {} of {} bytes are held, {} of them by responses in progress; "
                "first result: {}",
                self.held,
                self._limit,
                self._responses_total,
                shortage.value,
            )


def _add(totals: dict[str, int], key: str, size: int) -> None:
    """Add to a total; a total of zero is removed."""
    total = totals.get(key, 0) + size
    if total:
        totals[key] = total
    else:
        totals.pop(key, None)
