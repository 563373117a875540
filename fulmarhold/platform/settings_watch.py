"""Reloads the settings file of a running daemon when it changes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.errors import FulmarholdError
from fulmarhold.observe.logs import get_logger
from fulmarhold.platform.settings import load_settings

if TYPE_CHECKING:
    from pathlib import Path

    import falcon

    from fulmarhold.limits.connections import ConnectionBudget
    from fulmarhold.observe.counters import Counters
    from fulmarhold.platform.settings import PlatformSettings

log = get_logger("settings")

# Well below three seconds, by which the operators' list of control instances may be out of date
# anyway.
SETTINGS_PERIOD: Milliseconds = 500.0


class SettingsWatch:
    """Holds the settings and reloads them periodically: the file may change without a SIGHUP."""

    def __init__(self, path: Path, settings: PlatformSettings) -> None:
        self._path = path
        self.settings = settings

    def seeds(self) -> tuple[str, ...]:
        """Return the current seeds."""
        return self.settings.seeds

    def reload(self) -> None:
        """Read the file again; the settings stay unchanged if it is invalid or unreadable."""
        try:
            settings = load_settings(self._path)
        except FulmarholdError as error:
            log.warning("keeping the current settings: {}", error)
            return
        if settings != self.settings:
            log.info("settings changed, seeds: {}", ", ".join(settings.seeds))
            self.settings = settings

    def run(self) -> None:
        """Reload periodically until killed."""
        while True:
            gevent.sleep(SETTINGS_PERIOD / SECOND)
            self.reload()


def serve_application(
    application: falcon.App, endpoint: str, counters: Counters, callers: ConnectionBudget
) -> Any:
    """Serve an application at IP:port; raises `FulmarholdError` if the port is unavailable."""
    from fulmarhold.web.serving import start_server  # noqa: PLC0415

    address, _, port = endpoint.rpartition(":")
    return start_server(application, address, int(port), counters, callers)


def serve_metrics(counters: Counters, endpoint: str, callers: ConnectionBudget) -> Any:
    """Serve the metrics at IP:port."""
    from fulmarhold.web.serving import metrics_application  # noqa: PLC0415

    return serve_application(metrics_application(counters), endpoint, counters, callers)
