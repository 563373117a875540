"""The program `fulmarhold-control`."""

from __future__ import annotations

import sys
from pathlib import Path

import cyclopts

from fulmarhold.control.daemon import ControlDaemon
from fulmarhold.daemons import run_daemon
from fulmarhold.settings.processes import ControlSettings

application = cyclopts.App(name="fulmarhold-control", help="Run a control instance.")


@application.default
def run(settings: Path) -> int:
    """Run until SIGTERM.

    Parameters
    ----------
    settings
        The YAML settings file of this instance.
    """
    return run_daemon(settings, ControlSettings, ControlDaemon)


def main() -> None:
    """Enter the program."""
    sys.exit(application())


if __name__ == "__main__":
    main()
