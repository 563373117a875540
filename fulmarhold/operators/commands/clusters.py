"""Forms the control cluster and changes its membership."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

from fulmarhold.errors import FulmarholdError
from fulmarhold.operators.control import ControlRefused, read_instance, send_command

if TYPE_CHECKING:
    from collections.abc import Sequence


def form_cluster(endpoints: Sequence[str]) -> str:
    """Form a cluster of the control instances at the operator endpoints; returns its name.

    Raises `FulmarholdError` if an instance already belongs to a cluster.
    """
    identities = [read_instance(endpoint, "identity") for endpoint in endpoints]
    assigned = [item["name"] for item in identities if item["cluster"]]
    if assigned:
        raise FulmarholdError(f"{', '.join(assigned)} already belong to a cluster", step="form")
    cluster = uuid.uuid4().hex[:12]
    voters = {item["identity"]: item["endpoint"] for item in identities}
    response = send_command(endpoints[:1], "form", {"cluster": cluster, "voters": voters})
    if response.status != 200:
        raise ControlRefused(response, "form", endpoints[0])
    return cluster


def admit_instance(endpoints: Sequence[str], new_endpoint: str) -> str:
    """Admit a new or repaired control instance; returns its identity."""
    identity = read_instance(new_endpoint, "identity")
    body = {"identity": identity["identity"], "endpoint": identity["endpoint"]}
    response = send_command(endpoints, "admit", body)
    if response.status != 200:
        raise ControlRefused(response, "admit", new_endpoint)
    return str(identity["identity"])


def remove_instance(endpoints: Sequence[str], identity: str) -> None:
    """Remove a lost control instance by its identity."""
    response = send_command(endpoints, "remove", {"identity": identity})
    if response.status != 200:
        raise ControlRefused(response, "remove", identity)
