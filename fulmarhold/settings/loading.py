"""Loads YAML files into frozen dataclasses and reports all problems of a file at once."""

from __future__ import annotations

import dataclasses
import typing
from pathlib import Path
from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError

from fulmarhold.registry import nearest_hint
from fulmarhold.settings.problems import MAX_FILE_BYTES, InvalidSettings, Problem

Schema = TypeVar("Schema")

_adapters: dict[Any, TypeAdapter[Any]] = {}


def load_file(path: Path, schema: type[Schema]) -> Schema:
    """Load the YAML file at `path` into `schema`.

    Raises `InvalidSettings` if the file can't be read, isn't YAML or doesn't match the schema.
    """
    return load_document(read_yaml(path), schema, str(path))


def read_yaml(path: Path) -> Any:
    """Parse a YAML file into plain values; raises `InvalidSettings` if that fails."""
    # Imported here because daemons with settings in another format start faster without it.
    import yaml  # noqa: PLC0415

    try:
        if path.stat().st_size > MAX_FILE_BYTES:
            raise _file_error(path, f"is larger than {MAX_FILE_BYTES} bytes")
        return yaml.safe_load(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        raise _file_error(path, f"can't be read: {error}") from error
    except yaml.YAMLError as error:
        raise _file_error(path, f"is not valid YAML: {' '.join(str(error).split())}") from error


def load_document(document: Any, schema: type[Schema], source: str) -> Schema:
    """Validate plain values against `schema`; errors name `source` as their origin.

    Raises `InvalidSettings` that lists all problems, each with the path of its option.
    """
    if not isinstance(document, dict):
        raise InvalidSettings(source, [Problem("", "must be a mapping of options to values")])
    try:
        return type_adapter(schema).validate_python(document)
    except ValidationError as error:
        problems = [_problem(schema, dict(detail)) for detail in error.errors()]
        raise InvalidSettings(source, problems) from error


def type_adapter(schema: Any) -> TypeAdapter[Any]:
    """Return the cached type adapter of a dataclass."""
    if schema not in _adapters:
        _adapters[schema] = TypeAdapter(schema)
    return _adapters[schema]


def _file_error(path: Path, sentence: str) -> InvalidSettings:
    return InvalidSettings(str(path), [Problem("", sentence)])


def _problem(schema: type, detail: dict[str, Any]) -> Problem:
    location = tuple(detail["loc"])
    path = ".".join(str(part) for part in location)
    if detail["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
        known = _known_options(schema, location[:-1])
        return Problem(path, f"is not an option{nearest_hint(str(location[-1]), known)}")
    if detail["type"] in ("missing", "missing_argument"):
        return Problem(path, "is required")
    if detail["type"] == "value_error":
        return Problem(path, str(detail["ctx"]["error"]))
    message = detail["msg"][0].lower() + detail["msg"][1:]
    return Problem(path, f"{message}, got {detail['input']!r:.60}")


def _known_options(schema: Any, location: tuple[Any, ...]) -> list[str]:
    for part in location:
        schema = _field_schema(schema, part)
    if not dataclasses.is_dataclass(schema):
        return []
    return [field.name for field in dataclasses.fields(schema)]


def _field_schema(schema: Any, part: Any) -> Any:
    if dataclasses.is_dataclass(schema):
        hints = typing.get_type_hints(schema)
        return _unwrap_dataclass(hints.get(str(part)))
    return schema


def _unwrap_dataclass(hint: Any) -> Any:
    arguments = [item for item in typing.get_args(hint) if dataclasses.is_dataclass(item)]
    return arguments[0] if arguments else hint
