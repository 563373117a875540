"""Time-ordered identifiers (UUID version 7) of commands and idempotency keys."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarhold.clock import Milliseconds

UUID_VERSION = 7
TIMESTAMP_SHIFT = 80


def new_identifier() -> str:
    """Return a new identifier that contains the current time."""
    # Imported here because only operators create identifiers; control starts faster without it.
    import uuid6  # noqa: PLC0415

    return str(uuid6.uuid7())


def identifier_time(identifier: str) -> Milliseconds | None:
    """Return when an identifier was created, or `None` if it is not a UUID version 7.

    >>> identifier_time("018bcfe5-6800-7000-8000-000000000000")
    1700000000000.0
    >>> identifier_time("not one") is None
    True
    """
    try:
        parsed = uuid.UUID(identifier)
    except ValueError:
        return None
    if parsed.version != UUID_VERSION or str(parsed) != identifier.lower():
        return None
    return float(parsed.int >> TIMESTAMP_SHIFT)
