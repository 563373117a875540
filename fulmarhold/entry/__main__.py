"""The program `fulmarhold-entry`."""

from __future__ import annotations

from fulmarhold.daemons import run_program
from fulmarhold.entry.daemon import EntryDaemon
from fulmarhold.settings.processes import EntrySettings


def main() -> None:
    """Run an entry from the command line."""
    run_program("fulmarhold-entry", "Run an entry instance.", EntrySettings, EntryDaemon)


if __name__ == "__main__":
    main()
