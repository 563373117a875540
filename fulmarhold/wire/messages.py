"""Typed messages: frozen dataclasses with a tag, checked on arrival.

Types are checked by one library, and constraints beyond types by another that the settings use
too; it takes as long to import as half of a daemon, so that it is only loaded where it is needed.
"""

from __future__ import annotations

import dataclasses
from typing import Any, TypeVar, dataclass_transform

import msgspec

from fulmarhold.errors import MalformedInput
from fulmarhold.registry import Registry

Message = TypeVar("Message")

message_types: Registry[type] = Registry("message")
_checked: set[str] = set()


@dataclass_transform(frozen_default=True)
def message(cls: type[Message]) -> type[Message]:
    """Make a frozen dataclass of `cls` and file it under its class name as a message."""
    frozen = dataclasses.dataclass(frozen=True)(cls)
    return message_types.register(cls.__name__)(frozen)


@dataclass_transform(frozen_default=True)
def checked_message(cls: type[Message]) -> type[Message]:
    """Make a message of `cls` whose fields have constraints beyond their types."""
    _checked.add(cls.__name__)
    return message(cls)


def to_values(value: Any) -> list[Any]:
    """Return the tag and the fields of a message as values for a codec."""
    return [type(value).__name__, msgspec.to_builtins(value, builtin_types=(bytes,))]


def from_values(values: Any) -> Any:
    """Return the message that `values` stand for; raises `MalformedInput` if they are none."""
    if not (isinstance(values, list | tuple) and len(values) == 2 and isinstance(values[0], str)):
        raise MalformedInput("a message must be a tag and its fields", step="decoding")
    tag, fields = values
    if tag not in message_types:
        raise MalformedInput(f"unknown message {tag!r:.40}", step="decoding")
    message_type = message_types.find(tag)
    if tag in _checked:
        return _check(message_type, fields)
    try:
        return msgspec.convert(fields, message_type, builtin_types=(bytes,))
    except msgspec.ValidationError as error:
        raise MalformedInput(f"{tag}: {error}", step="decoding") from error


def _check(message_type: type, fields: Any) -> Any:
    from pydantic import ValidationError  # noqa: PLC0415

    from fulmarhold.settings.loading import type_adapter  # noqa: PLC0415

    try:
        return type_adapter(message_type).validate_python(fields)
    except ValidationError as error:
        detail = error.errors()[0]
        path = ".".join(str(part) for part in detail["loc"])
        raise MalformedInput(
            f"{message_type.__name__}.{path}: {detail['msg']}", step="decoding"
        ) from error


@message
class Failure:
    """The reply to a request that the peer could not serve."""

    reason: str
    detail: str = ""


@message
class Done:
    """The reply to a request that needs no answer but that it was taken."""
