"""One kept connection to each endpoint that a part talks to."""

from __future__ import annotations

from fulmarhold.wire.client import Link


class Links:
    """Links by endpoint, made at first use."""

    def __init__(self) -> None:
        self._links: dict[str, Link] = {}

    def to(self, endpoint: str) -> Link:
        """Return the link to an endpoint."""
        link = self._links.get(endpoint)
        if link is None:
            link = self._links[endpoint] = Link(endpoint)
        return link

    def close(self) -> None:
        """Close every link; calls that wait fail."""
        for link in self._links.values():
            link.close()
