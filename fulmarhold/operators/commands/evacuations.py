"""Evacuates data centres and ends evacuations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarhold.operators.control import DEFAULT_TIMEOUT, ControlRefused, send_command

if TYPE_CHECKING:
    from collections.abc import Sequence

    from fulmarhold.clock import Milliseconds


def order_evacuation(
    endpoints: Sequence[str],
    data_centre: str,
    *,
    is_evacuated: bool,
    timeout: Milliseconds = DEFAULT_TIMEOUT,
) -> tuple[str, ...]:
    """Evacuate a data centre or end that; returns the data centres that are evacuated then.

    Raises `ControlRefused` for an invalid name, and `PeerUnavailable` if no leader answers.
    """
    name = "evacuate" if is_evacuated else "restore"
    response = send_command(endpoints, name, {"data_centre": data_centre}, timeout)
    if response.status != 200:
        raise ControlRefused(response, name, "control")
    return tuple(response.body["data_centres"])
