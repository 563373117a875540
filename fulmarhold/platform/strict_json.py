"""Reads JSON that any writer may have sent, within bounds that later steps rely on."""

from __future__ import annotations

import json
from typing import Any, NoReturn

from fulmarhold.errors import MalformedInput

MAX_NESTING = 32
# Each value takes many times the memory of its shortest text.
MAX_VALUES = 1_000_000
STEP = "reading the body"


def read_strict_object(body: bytes) -> dict[str, Any]:
    """Return the JSON object in a body of UTF-8 text.

    Raises `MalformedInput` for bytes or escapes that aren't Unicode text, numbers that JSON doesn't
    have, more than `MAX_VALUES` values, and values nested deeper than `MAX_NESTING`; the first and
    the last name the field if possible.
    """
    # Counts separators in texts as well, which real bodies have far fewer of.
    if sum(map(body.count, (b",", b"[", b"{"))) > MAX_VALUES:
        raise MalformedInput(f"the body holds more than {MAX_VALUES} values", step=STEP)
    try:
        value = json.loads(body.decode("utf-8-sig"), parse_constant=_refuse_constant)
    except (ValueError, RecursionError) as error:
        raise MalformedInput(f"the body is not JSON: {error}", step=STEP) from error
    if not isinstance(value, dict):
        raise MalformedInput("the body must be a JSON object", step=STEP)
    for name, item in value.items():
        _check_text(name, "a field's name")
        _check_value(item, name)
    return value


def _check_value(value: Any, field: str) -> None:
    """Check a value and all that is in it, without recursion."""
    level = [value]
    for _ in range(MAX_NESTING):
        inner: list[Any] = []
        for item in level:
            if isinstance(item, str):
                _check_text(item, field)
            elif isinstance(item, list):
                inner += item
            elif isinstance(item, dict):
                inner += [*item, *item.values()]
        if not inner:
            return
        level = inner
    raise MalformedInput(f"{field}: is nested deeper than {MAX_NESTING} levels", step=STEP)


def _check_text(text: str, field: str) -> None:
    try:
        text.encode()
    except UnicodeEncodeError:
        raise MalformedInput(f"{field}: holds a lone surrogate", step=STEP) from None


def _refuse_constant(name: str) -> NoReturn:
    raise ValueError(f"{name} is no number")
