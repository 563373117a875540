"""What is wrong with a file or document, as told to whoever wrote it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarhold.errors import FulmarholdError

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_FILE_BYTES = 4 * 1024 * 1024


@dataclass(frozen=True)
class Problem:
    """One thing that is wrong: the option's path and a sentence about it."""

    path: str
    sentence: str

    def __str__(self) -> str:
        return f"{self.path or 'file'}: {self.sentence}"


class InvalidSettings(FulmarholdError):
    """A file or document has problems; all of them are listed."""

    def __init__(self, source: str, problems: Sequence[Problem]) -> None:
        lines = "\n".join(f"  {problem}" for problem in problems)
        noun = "problem" if len(problems) == 1 else "problems"
        super().__init__(f"{source} has {len(problems)} {noun}:\n{lines}", step="checking settings")
        self.problems = tuple(problems)
