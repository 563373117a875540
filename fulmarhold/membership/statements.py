"""Statements of instances and upstreams about themselves, and which of two is newer.

Statements are ordered by the start time of their subject (`born`) and then by a sequence number
that the subject increments. Late statements of an earlier incarnation and statements that arrive
out of order are therefore ignored.

The subject of an upstream's statement is its name in a service. Other writers can state anything
under the name of a running upstream; which services there are is known to those who use statements,
not where they are stored.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from itertools import chain
from typing import TYPE_CHECKING, Final, Generic, Literal, Protocol, TypeVar

import xxhash

from fulmarhold.clock import MINUTE, Milliseconds

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

State = Literal["starting", "ready", "draining", "silent", "left"]
Role = Literal["entry", "control"]

READY: Final = "ready"
STARTING: Final = "starting"
DRAINING: Final = "draining"
SILENT: Final = "silent"
LEFT: Final = "left"

# Longer than any delay of a statement in transit; late ones must still be recognised as late.
RETENTION_AFTER_END: Milliseconds = 10 * MINUTE

# A warm-up that ends up to this much later than the one stated before is the same one: heartbeats
# are delayed by different times.
WARM_UP_TOLERANCE: Milliseconds = 1_000.0

_FINALITY = {DRAINING: 1, LEFT: 2}


@dataclass(frozen=True)
class UpstreamStatement:
    """The state of an upstream; `born` is the Unix time in ms at which this incarnation started."""

    name: str
    born: int
    sequence: int
    state: State
    service: str
    address: str
    data_centre: str
    slots: int
    warm_up: Milliseconds = 0.0

    @property
    def incarnation(self) -> int:
        return self.born


@dataclass(frozen=True)
class InstanceStatement:
    """The state of an entry or control instance; callers or peers reach it at `endpoint`.

    `is_busy` tells that requests wait for the processor of this entry.
    """

    name: str
    born: int
    sequence: int
    state: State
    role: Role
    data_centre: str
    endpoint: str
    is_busy: bool = False


class _Statement(Protocol):
    @property
    def name(self) -> str: ...
    @property
    def born(self) -> int: ...
    @property
    def sequence(self) -> int: ...
    @property
    def state(self) -> str: ...


Statement = TypeVar("Statement", bound=_Statement)


@dataclass(slots=True)
class _StoredStatement(Generic[Statement]):
    statement: Statement
    position: int
    changed_at: Milliseconds
    heard_at: Milliseconds


class StatementStore(Generic[Statement]):
    """The newest statement of each subject, numbered in the order in which they changed here."""

    def __init__(self) -> None:
        # By name; there are several for a name that is stated in several services.
        self._stored: dict[str, tuple[_StoredStatement[Statement], ...]] = {}
        self._digest = (-1, "")
        # The names of the upstreams that were cold when they were last looked at.
        self._cold: set[str] = set()
        self.position = 0

    def __len__(self) -> int:
        return sum(map(len, self._stored.values()))

    def find(self, name: str) -> Statement | None:
        """Return the statement of the subject under a name that started last, if any."""
        return max(self.named(name), key=lambda item: item.born, default=None)

    def named(self, name: str) -> list[Statement]:
        """Return the newest statement of every subject under a name."""
        return [held.statement for held in self._stored.get(name, ())]

    def find_same(self, statement: Statement) -> Statement | None:
        """Return the newest statement of the subject of `statement`, if any."""
        held = self._find_held(statement)
        return held.statement if held else None

    def all(self) -> list[Statement]:
        """Return the newest statement of every subject, including those that have left."""
        return [held.statement for held in self._all_held()]

    def since(self, position: int) -> list[Statement]:
        """Return the statements that changed after `position`."""
        return [held.statement for held in self._all_held() if held.position > position]

    def serving_digest(self) -> str:
        """Return a digest of the ready incarnations, equal for stores that hold the same ones.

        Subjects that left are excluded, since each store forgets them at a different time.
        """
        if self._digest[0] != self.position:
            serving = sorted((item.name, item.born) for item in self.all() if item.state == READY)
            self._digest = (self.position, xxhash.xxh3_64_hexdigest(repr(serving).encode()))
        return self._digest[1]

    def apply(self, statement: Statement, now: Milliseconds) -> bool:
        """Apply a statement and return whether it changes what readers need.

        That is more than the sequence, or a warm-up that does not just run down.
        """
        held = self._find_held(statement)
        if held is not None:
            if not _supersedes(statement, held.statement):
                return False
            left = _warm_up_left(held, now)
            is_cold_again = _warm_up(statement) > left + (WARM_UP_TOLERANCE if left else 0.0)
            if not is_cold_again and _content(statement) == _content(held.statement):
                held.statement, held.heard_at = statement, now
                self._note_warm_up(statement.name)
                return False
        self.position += 1
        others = tuple(item for item in self._stored.get(statement.name, ()) if item is not held)
        stored = _StoredStatement(statement, self.position, now, now)
        self._stored[statement.name] = (*others, stored)
        self._note_warm_up(statement.name)
        return True

    @property
    def has_cold(self) -> bool:
        """Whether any upstream is cold, by what was last worked out."""
        return bool(self._cold)

    def run_down(self, now: Milliseconds) -> None:
        """Bring the warm-up of all statements up to date, before they are passed on or used.

        Only one of many readers hears the heartbeats of an upstream in which it runs down.
        """
        for name in list(self._cold):
            for held in self._stored.get(name, ()):
                if isinstance(held.statement, UpstreamStatement) and _warm_up(held.statement):
                    left = _warm_up_left(held, now)
                    held.statement, held.heard_at = replace(held.statement, warm_up=left), now
            self._note_warm_up(name)

    def forget_ended(self, now: Milliseconds) -> None:
        """Remove the subjects that ended or went silent over `RETENTION_AFTER_END` ago."""
        oldest = now - RETENTION_AFTER_END
        ended = [
            held
            for held in self._all_held()
            if held.statement.state in (LEFT, SILENT, DRAINING) and held.changed_at < oldest
        ]
        for held in ended:
            name = held.statement.name
            left = tuple(item for item in self._stored[name] if item is not held)
            if left:
                self._stored[name] = left
            else:
                del self._stored[name]

    def _all_held(self) -> Iterator[_StoredStatement[Statement]]:
        return chain.from_iterable(self._stored.values())

    def _find_held(self, statement: Statement) -> _StoredStatement[Statement] | None:
        service = _service(statement)
        for held in self._stored.get(statement.name, ()):
            if _service(held.statement) == service:
                return held
        return None

    def _note_warm_up(self, name: str) -> None:
        if any(_warm_up(held.statement) for held in self._stored.get(name, ())):
            self._cold.add(name)
        else:
            self._cold.discard(name)


def newest_by_name(statements: Iterable[UpstreamStatement]) -> list[UpstreamStatement]:
    """Return the statement of each upstream that started last, if several services have its name.

    >>> one = UpstreamStatement("u", 1, 1, "ready", "s", "10.0.0.1:80", "a", 2)
    >>> other = replace(one, born=2, service="t")
    >>> newest_by_name([other, one]) == [other]
    True
    """
    newest: dict[str, UpstreamStatement] = {}
    for statement in statements:
        known = newest.get(statement.name)
        if known is None or statement.born > known.born:
            newest[statement.name] = statement
    return list(newest.values())


def owners_by_address(statements: list[UpstreamStatement]) -> dict[str, UpstreamStatement]:
    """Return the owner of each address, which is the upstream that started last."""
    newest: dict[str, UpstreamStatement] = {}
    for statement in statements:
        other = newest.get(statement.address)
        if other is None or statement.born > other.born:
            newest[statement.address] = statement
    return newest


def _service(statement: _Statement) -> str:
    """Return the service of an upstream; instances have none."""
    return statement.service if isinstance(statement, UpstreamStatement) else ""


def _supersedes(new: _Statement, old: _Statement) -> bool:
    if new.born != old.born:
        return new.born > old.born
    finality = _FINALITY.get(new.state, 0), _FINALITY.get(old.state, 0)
    if finality[0] != finality[1]:
        # An incarnation that began to leave never returns, whatever statement arrives late.
        return finality[0] > finality[1]
    if new.sequence != old.sequence:
        return new.sequence > old.sequence
    return new.state == SILENT != old.state


def _warm_up_left(held: _StoredStatement[Statement], now: Milliseconds) -> Milliseconds:
    warm_up = _warm_up(held.statement)
    return max(0.0, warm_up - (now - held.heard_at)) if warm_up else 0.0


def _warm_up(statement: _Statement) -> Milliseconds:
    """Return how long an upstream still is cold; instances never are."""
    return statement.warm_up if isinstance(statement, UpstreamStatement) else 0.0


def _content(statement: _Statement) -> tuple[object, ...]:
    """Return the fields that matter to readers; sequence and warm-up change constantly.

    Readers know themselves when a warm-up ends, so only one that begins or grows is a change.
    """
    values = vars(statement)
    return tuple(value for key, value in values.items() if key not in ("sequence", "warm_up"))
