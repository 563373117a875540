"""Statements of instances and upstreams about themselves, and which of two is newer.

Statements are ordered by the start time of their subject (`born`) and then by a sequence number
that the subject increments. Late statements of an earlier incarnation and statements that arrive
out of order are therefore ignored.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import Final, Generic, Literal, Protocol, TypeVar

import xxhash

from fulmarhold.clock import MINUTE, Milliseconds

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


@dataclass
class _StoredStatement(Generic[Statement]):
    statement: Statement
    position: int
    changed_at: Milliseconds
    heard_at: Milliseconds


class StatementStore(Generic[Statement]):
    """The newest statement of each subject, numbered in the order in which they changed here."""

    def __init__(self) -> None:
        self._stored: dict[str, _StoredStatement[Statement]] = {}
        self._digest = (-1, "")
        # The names of the upstreams that were cold when they were last looked at.
        self._cold: set[str] = set()
        self.position = 0

    def __len__(self) -> int:
        return len(self._stored)

    def find(self, name: str) -> Statement | None:
        """Return the newest statement of a subject, if any."""
        held = self._stored.get(name)
        return held.statement if held else None

    def all(self) -> list[Statement]:
        """Return the newest statement of every subject, including those that have left."""
        return [held.statement for held in self._stored.values()]

    def since(self, position: int) -> list[Statement]:
        """Return the statements that changed after `position`."""
        return [held.statement for held in self._stored.values() if held.position > position]

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
        held = self._stored.get(statement.name)
        if held is not None:
            if not _supersedes(statement, held.statement):
                return False
            left = _warm_up_left(held, now)
            is_cold_again = _warm_up(statement) > left + (WARM_UP_TOLERANCE if left else 0.0)
            if not is_cold_again and _content(statement) == _content(held.statement):
                held.statement, held.heard_at = statement, now
                self._note_warm_up(statement)
                return False
        self.position += 1
        self._stored[statement.name] = _StoredStatement(statement, self.position, now, now)
        self._note_warm_up(statement)
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
            held = self._stored.get(name)
            if held is not None and isinstance(held.statement, UpstreamStatement):
                left = _warm_up_left(held, now)
                held.statement, held.heard_at = replace(held.statement, warm_up=left), now
            if held is None or not _warm_up(held.statement):
                self._cold.discard(name)

    def _note_warm_up(self, statement: Statement) -> None:
        if _warm_up(statement):
            self._cold.add(statement.name)
        else:
            self._cold.discard(statement.name)

    def forget_ended(self, now: Milliseconds) -> None:
        """Remove the subjects that ended or went silent over `RETENTION_AFTER_END` ago."""
        oldest = now - RETENTION_AFTER_END
        for name in [
            name
            for name, held in self._stored.items()
            if held.statement.state in (LEFT, SILENT, DRAINING) and held.changed_at < oldest
        ]:
            del self._stored[name]


def owners_by_address(statements: list[UpstreamStatement]) -> dict[str, UpstreamStatement]:
    """Return the owner of each address, which is the upstream that started last."""
    newest: dict[str, UpstreamStatement] = {}
    for statement in statements:
        other = newest.get(statement.address)
        if other is None or statement.born > other.born:
            newest[statement.address] = statement
    return newest


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
