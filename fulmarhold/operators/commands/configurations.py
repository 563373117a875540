"""Submits configurations and drains entry instances."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from fulmarhold.configuration import configuration_to_document
from fulmarhold.control.identifiers import new_identifier
from fulmarhold.errors import FulmarholdError
from fulmarhold.operators.control import DEFAULT_TIMEOUT, ControlRefused, send_command
from fulmarhold.web.client import request_json

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fulmarhold.clock import Milliseconds
    from fulmarhold.configuration import Configuration

CONFLICT = 409


@dataclass(frozen=True)
class Acceptance:
    """The accepted revision and the entries that are not known to run it yet."""

    revision: int
    is_in_force: bool
    waiting_for: tuple[str, ...]


class SupersededError(FulmarholdError):
    """Another configuration was accepted after the base revision was read."""


def accept_configuration(
    endpoints: Sequence[str],
    configuration: Configuration,
    base_revision: int,
    operator: str,
    command_id: str = "",
    timeout: Milliseconds = DEFAULT_TIMEOUT,
) -> Acceptance:
    """Submit a configuration; a resend with the same command id has the same outcome or is refused.

    Raises `SupersededError`, which names the other operator, `ControlRefused` or `PeerUnavailable`.
    """
    body = {
        "command_id": command_id or new_identifier(),
        "operator": operator,
        "base_revision": base_revision,
        "configuration": configuration_to_document(configuration),
    }
    response = send_command(endpoints, "accept", body, timeout)
    if response.status == CONFLICT:
        raise SupersededError(
            f"revision {response.body['revision']} of {response.body['operator']} was accepted "
            f"in the meantime; this one was based on revision {base_revision}",
            step="accept",
        )
    if response.status != 200:
        raise ControlRefused(response, "accept", "control")
    answer = response.body
    return Acceptance(answer["revision"], answer["in_force"], tuple(answer["waiting_for"]))


def drain_entry(endpoint: str) -> None:
    """Make the entry at a caller endpoint announce that it is leaving; it keeps serving."""
    response = request_json(endpoint, "POST", "/drain")
    if response.status != 200:
        raise ControlRefused(response, "drain", endpoint)
