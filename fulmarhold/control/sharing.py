"""Shares statements with the other control instances, and resends those that did not arrive."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.errors import FulmarholdError
from fulmarhold.membership.feed import ShareStatements
from fulmarhold.observe.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.clock import Milliseconds
    from fulmarhold.consensus.node import Node
    from fulmarhold.membership.statements import (
        InstanceStatement,
        StatementStore,
        UpstreamStatement,
    )
    from fulmarhold.observe.counters import Counters
    from fulmarhold.wire.links import Links

log = get_logger("sharing")

SHARE_TIMEOUT: Milliseconds = 500.0


@dataclass
class _Undelivered:
    """Names of the subjects whose newest statements have yet to be delivered to a peer."""

    upstreams: set[str] = field(default_factory=set)
    instances: set[str] = field(default_factory=set)


class StatementSharing:
    """Sends statements to the other control instances: the cluster's members and the seeds."""

    def __init__(
        self,
        node: Node,
        own_endpoint: str,
        seeds: Callable[[], tuple[str, ...]],
        upstreams: StatementStore[UpstreamStatement],
        instances: StatementStore[InstanceStatement],
        links: Links,
        counters: Counters,
    ) -> None:
        self._node = node
        self._own_endpoint = own_endpoint
        self._seeds = seeds
        self._upstreams = upstreams
        self._instances = instances
        self._counters = counters
        self._links = links
        self._undelivered: dict[str, _Undelivered] = {}

    def peers(self) -> list[str]:
        """Return the endpoints of the other control instances."""
        known = self._node.core.members.all_members.values() if self._node.is_formed else ()
        endpoints = dict.fromkeys((*known, *self._seeds()))
        return [endpoint for endpoint in endpoints if endpoint != self._own_endpoint]

    def share(
        self,
        upstreams: tuple[UpstreamStatement, ...] = (),
        instances: tuple[InstanceStatement, ...] = (),
    ) -> list[gevent.Greenlet]:
        """Send statements to every peer; the value of each greenlet tells whether they arrived."""
        shared = ShareStatements(upstreams, instances)
        return [gevent.spawn(self._deliver, peer, shared) for peer in self.peers()]

    def resend_undelivered(self) -> None:
        """Send peers the current statements of the subjects that they have missed."""
        undelivered, self._undelivered = self._undelivered, {}
        reachable = set(self.peers())
        for peer, missed in undelivered.items():
            shared = ShareStatements(
                tuple(item for name in missed.upstreams for item in self._upstreams.named(name)),
                tuple(item for name in missed.instances for item in self._instances.named(name)),
            )
            if peer in reachable:
                gevent.spawn(self._deliver, peer, shared)

    def call(self, endpoint: str, request: Any) -> Any:
        """Return a peer's reply, or `None` after a failure, which is counted."""
        try:
            return self._links.to(endpoint).call(request, SHARE_TIMEOUT)
        except FulmarholdError as error:
            self._counters.add("share_failures", message=type(request).__name__)
            log.debug("{} did not accept {}: {}", endpoint, type(request).__name__, error)
            return None

    def send(self, endpoint: str, message: Any) -> None:
        """Send a one-way message; a loss is counted, and the next message makes up for it."""
        try:
            self._links.to(endpoint).send(message)
        except FulmarholdError as error:
            self._counters.add("share_failures", message=type(message).__name__)
            log.debug("{} did not accept {}: {}", endpoint, type(message).__name__, error)

    def _deliver(self, peer: str, shared: ShareStatements) -> bool:
        if self.call(peer, shared) is not None:
            return True
        missed = self._undelivered.setdefault(peer, _Undelivered())
        missed.upstreams.update(item.name for item in shared.upstreams)
        missed.instances.update(item.name for item in shared.instances)
        return False
