"""Look-up of the route of a request by host and longest path prefix."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from fulmarhold.routes.configuration import Route, RouteConfiguration


class RouteTable:
    """The routes of one configuration, indexed by host and prefix."""

    def __init__(self, configuration: RouteConfiguration) -> None:
        self.configuration = configuration
        self._routes = {
            (route.host.lower(), route.path_prefix): route for route in configuration.routes
        }

    def __len__(self) -> int:
        return len(self._routes)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest prefix of `path`, or `None`.

        Takes one dictionary look-up per path segment, regardless of the number of routes.
        """
        host = host.rsplit(":", 1)[0].lower() if not host.endswith("]") else host.lower()
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = self._routes.get((host, path[: end + 1]))
            if route is not None:
                return route
        return None
