"""Command line of the demo: a fleet on loopback answers callers, then stops gracefully."""

from __future__ import annotations

import sys
import tempfile
from pathlib import Path
from typing import Literal

import cyclopts

from fulmarhold.demo.run import run_demo
from fulmarhold.errors import FulmarholdError

application = cyclopts.App(name="demo", help="Run a whole fleet on loopback with a caller.")


@application.default
def demo(
    *, deployment: Literal["lysvik", "registry"] = "lysvik", folder: Path | None = None
) -> int:
    """Run the demo; the exit code is 0 if no check failed.

    Parameters
    ----------
    deployment
        The deployment whose questionnaire is used.
    folder
        The folder for settings, data and logs; a temporary folder by default.
    """
    try:
        if folder is not None:
            return run_demo(deployment, folder)
        with tempfile.TemporaryDirectory(prefix="fulmarhold-demo-") as temporary:
            return run_demo(deployment, Path(temporary))
    except FulmarholdError as error:
        print(error, file=sys.stderr)
        return 1


if __name__ == "__main__":
    sys.exit(application())
