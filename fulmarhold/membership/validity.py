"""What a statement may hold, so that it can be stored, fed to entries and used by them.

Other writers, and instances of earlier releases, can state anything. A statement outside of these
bounds names no upstream or instance to use.
"""

from __future__ import annotations

from ipaddress import ip_address
from typing import TYPE_CHECKING, Annotated

import msgspec
from msgspec import Meta, Struct

from fulmarhold.clock import HOUR
from fulmarhold.membership.statements import (
    InstanceStatement,
    Role,
    State,
    UpstreamStatement,
)
from fulmarhold.settings.endpoints import check_endpoint

if TYPE_CHECKING:
    from fulmarhold.membership.feed import RetireUpstream

MAX_TEXT = 256
# Integers up to here are exact in JSON and leave room for increments in 64 bits.
MAX_INTEGER = 2**53
MAX_SLOTS = 1_000_000

# Surrogates can't be encoded.
Text = Annotated[str, Meta(max_length=MAX_TEXT, pattern=r"\A[^\ud800-\udfff]*\Z")]
# The name of an upstream is sent in a header field.
UpstreamName = Annotated[str, Meta(max_length=128, pattern=r"\A[!-~]+\Z")]
# The name of a data centre in an operator's order, which is part of a path.
DataCentreName = Annotated[str, Meta(pattern=r"\A[A-Za-z0-9_][A-Za-z0-9._-]{0,63}\Z")]
Ordinal = Annotated[int, Meta(ge=0, le=MAX_INTEGER)]
Slots = Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
WarmUp = Annotated[float, Meta(ge=0, le=24 * HOUR)]


class _Upstream(Struct, frozen=True):
    name: UpstreamName
    born: Ordinal
    sequence: Ordinal
    state: State
    service: Text
    address: Text
    data_centre: Text
    slots: Slots
    warm_up: WarmUp


class _Instance(Struct, frozen=True):
    name: Text
    born: Ordinal
    sequence: Ordinal
    state: State
    role: Role
    data_centre: Text
    endpoint: Text
    is_busy: bool


class _Retirement(Struct, frozen=True):
    name: UpstreamName
    born: Ordinal
    service: Text


def check_upstream_name(name: str) -> str:
    """Return the name of an upstream; raises `ValueError` if it can't be sent in a header field.

    >>> check_upstream_name("i-7f3a")
    'i-7f3a'
    """
    try:
        return msgspec.convert(name, UpstreamName)
    except msgspec.ValidationError:
        raise ValueError("must be 1 to 128 visible ASCII characters") from None


def check_data_centre_name(name: str) -> str:
    """Return the name of a data centre; raises `ValueError` if it is no valid identifier.

    >>> check_data_centre_name("north-2")
    'north-2'
    """
    try:
        return msgspec.convert(name, DataCentreName)
    except (msgspec.ValidationError, UnicodeError):
        raise ValueError(
            "must be 1 to 64 letters, digits, underscores, dots or hyphens, and begin with a "
            "letter, digit or underscore"
        ) from None


def check_upstream_address(address: str) -> str:
    """Return an IP:port at which one host can be reached; raises `ValueError` for others.

    >>> check_upstream_address("10.0.0.1:80")
    '10.0.0.1:80'
    """
    check_endpoint(address)
    host = ip_address(address.rpartition(":")[0])
    if host.is_unspecified or host.is_multicast:
        raise ValueError(f"must be the address of one host, got {address!r}")
    return address


def upstream_problem(statement: UpstreamStatement) -> str:
    """Return why a statement can't be used, with the name of the field; empty if it can.

    >>> upstream_problem(UpstreamStatement("u", 1, 1, "ready", "s", "10.0.0.1:0", "a", 2))
    "address: must be IP:port with a port from 1 to 65535, got '10.0.0.1:0'"
    """
    problem = _field_problem(statement, _Upstream)
    if problem:
        return problem
    try:
        check_upstream_address(statement.address)
    except ValueError as error:
        return f"address: {error}"
    return ""


def instance_problem(statement: InstanceStatement) -> str:
    """Return why a statement can't be used, with the name of the field; empty if it can."""
    return _field_problem(statement, _Instance)


def retirement_problem(command: RetireUpstream) -> str:
    """Return why a departure can't be logged, with the name of the field; empty if it can."""
    return _field_problem(command, _Retirement)


def _field_problem(statement: object, schema: type) -> str:
    try:
        msgspec.convert(statement, schema, from_attributes=True)
    except (msgspec.ValidationError, UnicodeError) as error:
        return str(error)
    return ""
