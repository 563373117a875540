"""Keeps the settings of a running daemon up with their file."""

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

    from fulmarhold.observe.counters import Counters
    from fulmarhold.platform.settings import PlatformSettings

log = get_logger("settings")

# Well below the three seconds by which an operator's list of control instances lags anyway.
SETTINGS_PERIOD: Milliseconds = 500.0


class SettingsWatch:
    """Re-reads the settings file, which may change with or without a signal."""

    def __init__(self, path: Path, settings: PlatformSettings) -> None:
        self._path = path
        self.settings = settings

    def seeds(self) -> tuple[str, ...]:
        """Return the seeds that the file names now."""
        return self.settings.seeds

    def reload(self) -> None:
        """Read the file again; a file that can't be read leaves the settings as they are."""
        try:
            settings = load_settings(self._path)
        except FulmarholdError as error:
            log.warning("keeps the settings: {}", error)
            return
        if settings != self.settings:
            log.info("settings have changed; seeds are {}", ", ".join(settings.seeds))
            self.settings = settings

    def run(self) -> None:
        """Look for changes until killed."""
        while True:
            gevent.sleep(SETTINGS_PERIOD / SECOND)
            self.reload()


def serve_application(application: falcon.App, endpoint: str) -> Any:
    """Serve an application at IP:port; raises `FulmarholdError` when the port can't be had."""
    from fulmarhold.web.serving import start_server  # noqa: PLC0415

    address, _, port = endpoint.rpartition(":")
    return start_server(application, address, int(port))


def serve_metrics(counters: Counters, endpoint: str) -> Any:
    """Serve the counters and gauges at IP:port."""
    from fulmarhold.web.serving import metrics_application  # noqa: PLC0415

    return serve_application(metrics_application(counters), endpoint)
