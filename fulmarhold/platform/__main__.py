"""Starts a daemon on the users' platform: `python -m fulmarhold.platform entry|control`."""

from __future__ import annotations

import signal

# A reload that is asked for during the start must not end the process; the settings are read later.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

# ruff: noqa: E402
import sys

import gevent

from fulmarhold.clock import Clock
from fulmarhold.daemons import EXIT_FAILED, Daemon, serve_until_stopped
from fulmarhold.errors import FulmarholdError
from fulmarhold.observe.counters import Counters
from fulmarhold.observe.events import EventLog
from fulmarhold.observe.logs import log_to_events
from fulmarhold.platform.settings import load_settings, settings_path
from fulmarhold.platform.settings_watch import SettingsWatch

ROLES = ("entry", "control")


def main() -> int:
    """Run the daemon named on the command line until SIGTERM and return the exit code."""
    arguments = sys.argv[1:]
    return run(arguments[0] if len(arguments) == 1 and arguments[0] in ROLES else _parse_role())


def _parse_role() -> str:
    """Return the role that unusual arguments name; exits with a message if they name none."""
    # argparse, because importing cyclopts, which the other commands use, takes as long as
    # importing the rest of an entry. Imported here because a daemon would keep it in memory.
    import argparse  # noqa: PLC0415

    parser = argparse.ArgumentParser(prog="fulmarhold.platform", description=__doc__)
    parser.add_argument("role", choices=ROLES, help="what this instance does")
    return str(parser.parse_args().role)


def run(role: str) -> int:
    """Run a daemon until SIGTERM and return the exit code."""
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
    daemon = _make_daemon(role, watch, clock, counters, events)
    gevent.signal_handler(signal.SIGHUP, watch.reload)
    events.record("started", role=role, seeds=settings.seeds, first_start=settings.is_first_start)
    code = serve_until_stopped(daemon, events.flush)
    events.record_always("stopped", code=code)
    events.finish()
    return code


def _make_daemon(
    role: str, watch: SettingsWatch, clock: Clock, counters: Counters, events: EventLog
) -> Daemon:
    # Import only the modules of this role, because every import delays a restart.
    if role == "entry":
        from fulmarhold.platform.entry import PlatformEntry  # noqa: PLC0415

        return PlatformEntry(watch, clock, counters, events)
    from fulmarhold.platform.control import PlatformControl  # noqa: PLC0415

    return PlatformControl(watch, clock, counters)


if __name__ == "__main__":
    sys.exit(main())
