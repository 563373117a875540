"""Passes statements on to the other control instances, and again to those it could not reach."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.errors import FulmarholdError
from fulmarhold.membership.feed import ShareStatements
from fulmarhold.observe.logs import part_log

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

log = part_log("sharing")

SHARE_TIMEOUT: Milliseconds = 500.0


@dataclass
class _Owed:
    """Names of subjects whose newest statements a peer still has to be told."""

    upstreams: set[str] = field(default_factory=set)
    instances: set[str] = field(default_factory=set)


class Sharing:
    """The other control instances: the members of the cluster and the seeds."""

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
        self._owed: dict[str, _Owed] = {}

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
        """Tell every peer; the greenlets' values say which of them have taken it."""
        shared = ShareStatements(upstreams, instances)
        return [gevent.spawn(self._tell, peer, shared) for peer in self.peers()]

    def pay_owed(self) -> None:
        """Tell the peers what they did not take before, as it is now."""
        owed_before, self._owed = self._owed, {}
        reachable = set(self.peers())
        for peer, owed in owed_before.items():
            upstreams = (self._upstreams.find(name) for name in owed.upstreams)
            instances = (self._instances.find(name) for name in owed.instances)
            shared = ShareStatements(
                tuple(item for item in upstreams if item is not None),
                tuple(item for item in instances if item is not None),
            )
            if peer in reachable:
                gevent.spawn(self._tell, peer, shared)

    def call(self, endpoint: str, request: Any) -> Any:
        """Return a peer's reply, or `None` when it gave none; the failure is counted."""
        try:
            return self._links.to(endpoint).call(request, SHARE_TIMEOUT)
        except FulmarholdError as error:
            self._counters.add("share_failures", message=type(request).__name__)
            log.debug("{} did not take {}: {}", endpoint, type(request).__name__, error)
            return None

    def send(self, endpoint: str, message: Any) -> None:
        """Send a message that has no reply; the next one makes up for a loss, which is counted."""
        try:
            self._links.to(endpoint).send(message)
        except FulmarholdError as error:
            self._counters.add("share_failures", message=type(message).__name__)
            log.debug("{} did not take {}: {}", endpoint, type(message).__name__, error)

    def _tell(self, peer: str, shared: ShareStatements) -> bool:
        if self.call(peer, shared) is not None:
            return True
        owed = self._owed.setdefault(peer, _Owed())
        owed.upstreams.update(item.name for item in shared.upstreams)
        owed.instances.update(item.name for item in shared.instances)
        return False
