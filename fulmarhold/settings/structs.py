"""Decodes plain values into typed structs, fast to import and to set up.

Daemons that start again after a loss serve as soon as they know their settings; the library that
checks the YAML files takes a third of such a start.
"""

from __future__ import annotations

import re
from typing import Any, TypeVar

import msgspec

from fulmarhold.settings.endpoints import check_endpoint
from fulmarhold.settings.problems import InvalidSettings, Problem

Schema = TypeVar("Schema")

# How the library ends its messages; the path is written as in JSONPath.
MESSAGE = re.compile(r"^(?P<sentence>.*?)(?: - at `\$\.?(?P<path>.*)`)?$", re.DOTALL)


def decode_struct(document: Any, schema: type[Schema], source: str) -> Schema:
    """Check plain values against `schema`; `source` names them in an error.

    Raises `InvalidSettings` with the first problem and the path of its option.
    """
    try:
        return msgspec.convert(document, schema)
    except msgspec.ValidationError as error:
        match = MESSAGE.match(str(error))
        path, sentence = (match["path"], match["sentence"]) if match else (None, str(error))
        problem = Problem(path or "", sentence[:1].lower() + sentence[1:])
        raise InvalidSettings(source, [problem]) from error


def require_endpoint(value: str, path: str, source: str) -> str:
    """Return an endpoint; raises `InvalidSettings` that names `path` when it is none."""
    try:
        return check_endpoint(value)
    except ValueError as error:
        raise InvalidSettings(source, [Problem(path, str(error))]) from error
