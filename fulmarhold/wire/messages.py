"""Typed messages: frozen dataclasses with a tag, checked on arrival."""

from __future__ import annotations

import dataclasses
from typing import Any, TypeVar, dataclass_transform

from pydantic import ValidationError

from fulmarhold.errors import MalformedInput
from fulmarhold.registry import Registry
from fulmarhold.settings.loading import adapter

Message = TypeVar("Message")

message_types: Registry[type] = Registry("message")


@dataclass_transform(frozen_default=True)
def message(cls: type[Message]) -> type[Message]:
    """Make a frozen dataclass of `cls` and file it under its class name as a message."""
    frozen = dataclasses.dataclass(frozen=True)(cls)
    return message_types.register(cls.__name__)(frozen)


def to_values(value: Any) -> list[Any]:
    """Return the tag and the fields of a message as values for a codec."""
    return [type(value).__name__, adapter(type(value)).dump_python(value)]


def from_values(values: Any) -> Any:
    """Return the message that `values` stand for; raises `MalformedInput` if they are none."""
    if not (isinstance(values, list | tuple) and len(values) == 2 and isinstance(values[0], str)):
        raise MalformedInput("a message must be a tag and its fields", step="decoding")
    tag, fields = values
    if tag not in message_types:
        raise MalformedInput(f"unknown message {tag!r:.40}", step="decoding")
    try:
        return adapter(message_types.find(tag)).validate_python(fields)
    except ValidationError as error:
        detail = error.errors()[0]
        path = ".".join(str(part) for part in detail["loc"])
        raise MalformedInput(f"{tag}.{path}: {detail['msg']}", step="decoding") from error


@message
class Failure:
    """The reply to a request that the peer could not serve."""

    reason: str
    detail: str = ""


@message
class Done:
    """The reply to a request that needs no answer but that it was taken."""
