"""Differences between two configurations, setting by setting."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from fulmarhold.configuration import configuration_to_document

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fulmarhold.configuration import Configuration


@dataclass(frozen=True)
class Difference:
    """One setting that differs; `None` stands for an absent setting."""

    setting: str
    before: Any
    after: Any

    def __str__(self) -> str:
        return f"{self.setting}: {self.before!r} -> {self.after!r}"


def compare_configurations(
    before: Configuration | None, after: Configuration
) -> tuple[Difference, ...]:
    """Return the settings that differ, sorted by path."""
    old = dict(_flatten("", configuration_to_document(before))) if before else {}
    new = dict(_flatten("", configuration_to_document(after)))
    return tuple(
        Difference(path, old.get(path), new.get(path))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    )


def _flatten(path: str, value: Any) -> Iterator[tuple[str, Any]]:
    if isinstance(value, dict):
        for key, item in value.items():
            yield from _flatten(f"{path}.{key}" if path else str(key), item)
    else:
        yield path, value
