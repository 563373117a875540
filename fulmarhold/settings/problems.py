"""Validation problems of a file or document, and the exception that reports them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarhold.errors import FulmarholdError

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_FILE_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True)
class Problem:
    """One validation problem: the path of the option and a description."""

    path: str
    sentence: str

    def __str__(self) -> str:
        return f"{self.path or 'file'}: {self.sentence}"


class InvalidSettings(FulmarholdError):
    """Raised for an invalid file or document; the message lists its problems."""

    def __init__(self, source: str, problems: Sequence[Problem]) -> None:
        lines = "\n".join(f"  {problem}" for problem in problems)
        noun = "problem" if len(problems) == 1 else "problems"
        super().__init__(f"{source} has {len(problems)} {noun}:\n{lines}", step="checking settings")
        self.problems = tuple(problems)
