"""Typed messages: frozen dataclasses, tagged by class name and validated on receipt.

msgspec validates types. Further constraints are validated by pydantic, which the settings use too;
importing it takes as long as half of a daemon's imports, so it is only imported when needed.
"""

from __future__ import annotations

import dataclasses
from typing import Any, TypeVar, dataclass_transform

import msgspec

from fulmarhold.errors import MalformedInput
from fulmarhold.registry import Registry

Message = TypeVar("Message")

message_types: Registry[type] = Registry("message")
_constrained: set[str] = set()


@dataclass_transform(frozen_default=True)
def message(cls: type[Message]) -> type[Message]:
    """Make `cls` a frozen dataclass and register it as a message under its class name."""
    frozen = dataclasses.dataclass(frozen=True)(cls)
    return message_types.register(cls.__name__)(frozen)


@dataclass_transform(frozen_default=True)
def checked_message(cls: type[Message]) -> type[Message]:
    """Make `cls` a message whose fields have constraints beyond their types."""
    _constrained.add(cls.__name__)
    return message(cls)


def to_values(value: Any) -> list[Any]:
    """Return the tag and the fields of a message as plain values for serialization."""
    return [type(value).__name__, msgspec.to_builtins(value, builtin_types=(bytes,))]


def from_values(values: Any) -> Any:
    """Return the message for a tag and its fields; raises `MalformedInput` if invalid."""
    if not (isinstance(values, list | tuple) and len(values) == 2 and isinstance(values[0], str)):
        raise MalformedInput("a message must be a tag and its fields", step="decoding")
    tag, fields = values
    if tag not in message_types:
        raise MalformedInput(f"unknown message {tag!r:.40}", step="decoding")
    message_type = message_types.find(tag)
    if tag in _constrained:
        return _validate(message_type, fields)
    try:
        return msgspec.convert(fields, message_type, builtin_types=(bytes,))
    except msgspec.ValidationError as error:
        raise MalformedInput(f"{tag}: {error!s:.200}", step="decoding") from error


def _validate(message_type: type, fields: Any) -> Any:
    from pydantic import ValidationError  # noqa: PLC0415

    from fulmarhold.settings.loading import type_adapter  # noqa: PLC0415

    try:
        return type_adapter(message_type).validate_python(fields)
    except ValidationError as error:
        detail = error.errors()[0]
        path = ".".join(str(part) for part in detail["loc"])
        raise MalformedInput(
            f"{message_type.__name__}.{path:.200}: {detail['msg']:.200}", step="decoding"
        ) from error


@message
class Failure:
    """The reply to a request that failed."""

    reason: str
    detail: str = ""


@message
class Done:
    """The reply that only confirms that the request was accepted."""


@message
class CancelStream:
    """Tells the peer that no further replies of a stream are needed.

    With `keep_work`, what the peer has under way for it may finish; otherwise it is abandoned.
    """

    stream_id: int
    keep_work: bool
