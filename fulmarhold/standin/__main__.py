"""The program `fulmarhold-standin`."""

from __future__ import annotations

import sys
from pathlib import Path

import cyclopts

from fulmarhold.daemons import run_daemon
from fulmarhold.standin.process import StandinProcess, StandinSettings

application = cyclopts.App(name="fulmarhold-standin", help="Run stand-in upstreams for tests.")


@application.default
def run(settings: Path) -> int:
    """Run until SIGTERM.

    Parameters
    ----------
    settings
        The YAML settings file of this process.
    """
    return run_daemon(settings, StandinSettings, StandinProcess)


def main() -> None:
    """Enter the program."""
    sys.exit(application())


if __name__ == "__main__":
    main()
