"""What instances and upstreams say of themselves, and which of two statements is newer.

A statement is ordered by the start of its subject (`born`) and then by a sequence that the subject
counts up. A late statement of an earlier life therefore changes nothing, and neither does one that
was overtaken on its way.
"""

from __future__ import annotations

from dataclasses import dataclass
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

# Longer than any statement is held up on its way; late ones must still be recognised as late.
REMEMBERED_AFTER_END: Milliseconds = 10 * MINUTE

_FINAL = {DRAINING: 1, LEFT: 2}


@dataclass(frozen=True)
class UpstreamStatement:
    """One upstream; `born` is the Unix time in ms at which this incarnation started."""

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
    """One entry or control instance; `endpoint` is where callers or peers reach it.

    `is_busy` tells that requests wait for the processor of an entry.
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
class _Held(Generic[Statement]):
    statement: Statement
    position: int
    changed_at: Milliseconds


class StatementStore(Generic[Statement]):
    """The newest statement of each subject, with the order in which they changed here."""

    def __init__(self) -> None:
        self._held: dict[str, _Held[Statement]] = {}
        self._digest = (-1, "")
        self.position = 0

    def __len__(self) -> int:
        return len(self._held)

    def find(self, name: str) -> Statement | None:
        """Return the newest statement of a subject, if any."""
        held = self._held.get(name)
        return held.statement if held else None

    def all(self) -> list[Statement]:
        """Return the newest statement of every subject, also of those that have left."""
        return [held.statement for held in self._held.values()]

    def since(self, position: int) -> list[Statement]:
        """Return the statements that changed after `position`."""
        return [held.statement for held in self._held.values() if held.position > position]

    def serving_digest(self) -> str:
        """Return a digest of who serves, equal for ledgers that name the same incarnations.

        Those that left are not part of it, since each ledger forgets them in its own time.
        """
        if self._digest[0] != self.position:
            serving = sorted((item.name, item.born) for item in self.all() if item.state == READY)
            self._digest = (self.position, xxhash.xxh3_64_hexdigest(repr(serving).encode()))
        return self._digest[1]

    def apply(self, statement: Statement, now: Milliseconds) -> bool:
        """Take in a statement; returns whether it changes what is known."""
        held = self._held.get(statement.name)
        if held is not None:
            if not _supersedes(statement, held.statement):
                return False
            if _content(statement) == _content(held.statement):
                held.statement = statement
                return False
        self.position += 1
        self._held[statement.name] = _Held(statement, self.position, now)
        return True

    def forget_ended(self, now: Milliseconds) -> None:
        """Forget the subjects that left or fell silent long ago."""
        oldest = now - REMEMBERED_AFTER_END
        for name in [
            name
            for name, held in self._held.items()
            if held.statement.state in (LEFT, SILENT, DRAINING) and held.changed_at < oldest
        ]:
            del self._held[name]


def owners(statements: list[UpstreamStatement]) -> dict[str, UpstreamStatement]:
    """Return the youngest subject at each address: an address passes to whoever started last."""
    youngest: dict[str, UpstreamStatement] = {}
    for statement in statements:
        other = youngest.get(statement.address)
        if other is None or statement.born > other.born:
            youngest[statement.address] = statement
    return youngest


def _supersedes(new: _Statement, old: _Statement) -> bool:
    if new.born != old.born:
        return new.born > old.born
    finality = _FINAL.get(new.state, 0), _FINAL.get(old.state, 0)
    if finality[0] != finality[1]:
        # An incarnation that began to leave does not come back, whatever arrives late.
        return finality[0] > finality[1]
    if new.sequence != old.sequence:
        return new.sequence > old.sequence
    return new.state == SILENT != old.state


def _content(statement: _Statement) -> tuple[object, ...]:
    """Return what matters to readers; sequence and warm-up change with every statement."""
    values = vars(statement)
    return tuple(value for key, value in values.items() if key not in ("sequence", "warm_up"))
