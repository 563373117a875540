"""Starts a daemon on the users' platform: `python -m fulmarhold.platform entry|control`."""

from __future__ import annotations

import signal
import sys
from typing import Literal

import cyclopts
import gevent

from fulmarhold.clock import Clock
from fulmarhold.daemons import EXIT_FAILED, serve_until_stopped
from fulmarhold.errors import FulmarholdError
from fulmarhold.observe.counters import Counters
from fulmarhold.observe.events import EventLog
from fulmarhold.observe.logs import log_to_events
from fulmarhold.platform.daemons import PlatformControl, PlatformEntry, SettingsWatch
from fulmarhold.platform.settings import load_settings, settings_path

application = cyclopts.App(name="fulmarhold-platform", help="Daemons on the users' platform.")


@application.default
def run(role: Literal["entry", "control"]) -> int:
    """Run a daemon until SIGTERM.

    Parameters
    ----------
    role
        What this instance does.
    """
    clock, counters = Clock(), Counters()
    try:
        path = settings_path()
        settings = load_settings(path)
    except FulmarholdError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    events = EventLog(settings.name, clock, counters)
    log_to_events(events)
    gevent.spawn(events.run)
    watch = SettingsWatch(path, settings)
    daemon = (
        PlatformEntry(watch, clock, counters, events)
        if role == "entry"
        else PlatformControl(watch, clock, counters)
    )
    gevent.signal_handler(signal.SIGHUP, watch.reload)
    events.note("started", role=role, seeds=settings.seeds, first_start=settings.is_first_start)
    code = serve_until_stopped(daemon, events.flush)
    events.note("stopped", code=code)
    events.flush()
    return code


if __name__ == "__main__":
    sys.exit(application())
