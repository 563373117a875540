"""The program `fulmarhold-standin`."""

from __future__ import annotations

from fulmarhold.daemons import run_program
from fulmarhold.standin.process import StandinProcess, StandinSettings


def main() -> None:
    """Enter the program."""
    run_program(
        "fulmarhold-standin", "Run stand-in upstreams for tests.", StandinSettings, StandinProcess
    )


if __name__ == "__main__":
    main()
