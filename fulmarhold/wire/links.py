"""Persistent connections by endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarhold.wire.client import Link

if TYPE_CHECKING:
    from collections.abc import Iterable


class Links:
    """Links by endpoint, created on first use."""

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}

    def to(self, endpoint: str) -> Link:
        """Return the link to an endpoint, creating it if needed."""
        link = self._links.get(endpoint)
        if link is None:
            link = self._links[endpoint] = Link(endpoint)
        return link

    def all(self) -> Iterable[Link]:
        """Return the links that were used."""
        return list(self._links.values())

    def close(self) -> None:
        """Close every link; pending calls fail."""
        for link in self._links.values():
            link.close()
