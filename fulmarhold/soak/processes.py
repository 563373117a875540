"""The real daemons as separate processes, each at a loopback address of its own."""

from __future__ import annotations

import json
import os
import resource
import shutil
import signal
import subprocess
import sys
from typing import TYPE_CHECKING

import gevent

from fulmarhold.clock import SECOND, Clock, Milliseconds
from fulmarhold.platform.encoding import write_settings
from fulmarhold.platform.settings import SETTINGS_VARIABLE

if TYPE_CHECKING:
    from pathlib import Path

POLL: Milliseconds = 10.0
KILL_PATIENCE: Milliseconds = 10_000.0


class Instance:
    """One daemon, which may be started again at the same address."""

    def __init__(
        self,
        role: str,
        address: str,
        data_centre: str,
        seeds: tuple[str, ...],
        folder: Path,
        heartbeat_period: Milliseconds,
    ) -> None:
        self.role = role
        self.address = address
        self.name = f"{role}-{address}"
        self.data_centre = data_centre
        self.folder = folder / self.name
        # Counts the lives of the process: what one life has seen binds that life alone.
        self.life = 0
        # Whether it is meant to run; one that ends all the same has ended by itself.
        self.is_wanted = False
        self._seeds = seeds
        self._heartbeat_period = heartbeat_period
        self._process: subprocess.Popen[bytes] | None = None
        self._clock = Clock()

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        return self._process.poll() if self._process is not None else None

    @property
    def data_folder(self) -> Path:
        return self.folder / "data"

    def start(self, *, is_first: bool = False) -> None:
        """Start the process with settings as the platform writes them."""
        self.data_folder.mkdir(parents=True, exist_ok=True)
        self.write_settings(is_first=is_first)
        self.life += 1
        self.is_wanted = True
        with (self.folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "fulmarhold.platform", self.role],
                env={**os.environ, SETTINGS_VARIABLE: str(self._settings_file)},
                stdout=log,
                stderr=log,
            )

    def write_settings(
        self, *, is_first: bool = False, seeds: tuple[str, ...] | None = None
    ) -> None:
        """Write the settings file, with other seeds where they are given."""
        document = write_settings(
            self.name,
            self.role,
            self.address,
            self.data_centre,
            seeds or self._seeds,
            str(self.data_folder),
            self._heartbeat_period,
            is_first_start=is_first,
        )
        temporary = self._settings_file.with_suffix(".tmp")
        temporary.write_text(json.dumps(document))
        temporary.replace(self._settings_file)

    def signal(self, number: int) -> None:
        """Send a signal to this process alone, if it still runs."""
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.is_wanted = False
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    def kill(self) -> None:
        """End the process at once."""
        self.signal(signal.SIGKILL)
        self.await_exit(KILL_PATIENCE)

    def await_exit(self, patience: Milliseconds) -> int | None:
        """Wait for the process to end; returns its code, or `None` if it still runs."""
        until = self._clock.now() + patience
        while self.is_running and self._clock.now() < until:
            gevent.sleep(POLL / SECOND)
        return self.exit_code

    def wipe(self) -> None:
        """Lose the disk; the process must have ended."""
        shutil.rmtree(self.data_folder)

    def tear_log(self, garbage: bytes) -> None:
        """Leave a write that was cut short at the end of the log; the process must have ended."""
        for file in self.data_folder.glob("log*.bin"):
            with file.open("ab") as log:
                log.write(garbage)

    def refuse_writes(self, *, is_full: bool) -> None:
        """Let every write that makes a file longer fail, as on a full disk, or end that."""
        if self._process is not None and self.is_running:
            limit = 0 if is_full else resource.RLIM_INFINITY
            resource.prlimit(
                self._process.pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY)
            )

    @property
    def _settings_file(self) -> Path:
        return self.folder / "settings.json"
