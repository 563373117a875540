"""Decodes plain values into typed structs with msgspec, which is fast to import and to set up.

Restarting daemons can serve only after they have loaded their settings; importing pydantic, which
validates the YAML files, would take a third of the start-up time.
"""

from __future__ import annotations

import re
from typing import Any, TypeVar

import msgspec

from fulmarhold.settings.endpoints import check_endpoint
from fulmarhold.settings.problems import InvalidSettings, Problem

Schema = TypeVar("Schema")

# msgspec appends the path of the value to its messages, in JSONPath notation.
MESSAGE_PATTERN = re.compile(r"^(?P<sentence>.*?)(?: - at `\$\.?(?P<path>.*)`)?$", re.DOTALL)


def decode_struct(document: Any, schema: type[Schema], source: str) -> Schema:
    """Validate plain values against `schema`; errors name `source` as their origin.

    Raises `InvalidSettings` with the first problem and the path of its option.
    """
    try:
        return msgspec.convert(document, schema)
    except msgspec.ValidationError as error:
        match = MESSAGE_PATTERN.match(str(error))
        path, sentence = (match["path"], match["sentence"]) if match else (None, str(error))
        problem = Problem(path or "", sentence[:1].lower() + sentence[1:])
        raise InvalidSettings(source, [problem]) from error


def require_endpoint(value: str, path: str, source: str) -> str:
    """Return an endpoint; raises `InvalidSettings` for `path` if it isn't IP:port."""
    try:
        return check_endpoint(value)
    except ValueError as error:
        raise InvalidSettings(source, [Problem(path, str(error))]) from error
