"""The program `fulmarhold-entry`."""

from __future__ import annotations

import sys
from pathlib import Path

import cyclopts

from fulmarhold.daemons import run_daemon
from fulmarhold.entry.daemon import EntryDaemon
from fulmarhold.settings.processes import EntrySettings

application = cyclopts.App(name="fulmarhold-entry", help="Run an entry instance.")


@application.default
def run(settings: Path) -> int:
    """Run until SIGTERM.

    Parameters
    ----------
    settings
        The YAML settings file of this instance.
    """
    return run_daemon(settings, EntrySettings, EntryDaemon)


def main() -> None:
    """Enter the program."""
    sys.exit(application())


if __name__ == "__main__":
    main()
