"""The program `fulmarhold-standin`, which runs stand-in upstreams."""

from __future__ import annotations

from fulmarhold.daemons import run_program
from fulmarhold.standin.process import StandinProcess, StandinSettings


def main() -> None:
    """Run the program."""
    run_program(
        "fulmarhold-standin", "Run stand-in upstreams for tests.", StandinSettings, StandinProcess
    )


if __name__ == "__main__":
    main()
