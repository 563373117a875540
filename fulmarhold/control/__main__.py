"""Command-line entry point of `fulmarhold-control`."""

from __future__ import annotations

from fulmarhold.control.daemon import ControlDaemon
from fulmarhold.daemons import run_program
from fulmarhold.settings.processes import ControlSettings


def main() -> None:
    """Run a control instance until it is stopped."""
    run_program("fulmarhold-control", "Run a control instance.", ControlSettings, ControlDaemon)


if __name__ == "__main__":
    main()
