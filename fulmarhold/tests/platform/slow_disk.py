"""Runs a daemon of the platform whose syncs take long while its data folder holds `slow`."""

from __future__ import annotations

import os
import sys
import time
from pathlib import Path
from unittest.mock import patch

SYNC_SECONDS = 4.0
SLOW_FILE = "slow"
sync = os.fsync


def sync_slowly(descriptor: int) -> None:
    if (Path(os.environ["FULMARHOLD_SETTINGS"]).parent / SLOW_FILE).exists():
        time.sleep(SYNC_SECONDS)
    sync(descriptor)


if __name__ == "__main__":
    # Modules bind the function when they are imported.
    with patch("os.fsync", sync_slowly):
        from fulmarhold.platform.__main__ import main

        sys.exit(main())
