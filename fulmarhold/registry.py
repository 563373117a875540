"""Registries of named functions and classes, filled by decorators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Generic, TypeVar

from fulmarhold.errors import FulmarholdError

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

Entry = TypeVar("Entry")


class Registry(Generic[Entry]):
    """Maps names to functions or classes that have the same interface.

    >>> greetings: Registry = Registry("greeting")
    >>> @greetings.register("plain")
    ... def plain():
    ...     return "hello"
    >>> greetings.find("plain")()
    'hello'
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._entries: dict[str, Entry] = {}

    def register(self, name: str) -> Callable[[Entry], Entry]:
        """Return a decorator that registers a function or class under `name`."""

        def decorate(entry: Entry) -> Entry:
            if name in self._entries:
                raise ValueError(f"{self._kind} {name!r} is registered twice")
            self._entries[name] = entry
            return entry

        return decorate

    def find(self, name: str) -> Entry:
        """Return the entry called `name`, or raise an error that suggests the closest name."""
        if name in self._entries:
            return self._entries[name]
        raise FulmarholdError(f"unknown {self._kind} {name!r}{nearest_hint(name, self._entries)}")

    def __iter__(self) -> Iterator[str]:
        return iter(self._entries)


def nearest_hint(name: str, known: object) -> str:
    """Return `; did you mean 'x'?` for the closest known name, or an empty string."""
    # Imported here because daemons, whose names are known, would keep it in memory.
    import difflib  # noqa: PLC0415

    nearest = difflib.get_close_matches(name, [str(item) for item in known], n=1)  # type: ignore[attr-defined]
    return f"; did you mean {nearest[0]!r}?" if nearest else ""
