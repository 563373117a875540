"""Runs the real daemons as separate processes, each at its own loopback address."""

from __future__ import annotations

import json
import os
import resource
import shutil
import signal
import subprocess
import sys
from pathlib import Path

import gevent

from fulmarhold.clock import SECOND, Clock, Milliseconds
from fulmarhold.limits.memory import MEBIBYTE
from fulmarhold.platform.encoding import write_settings
from fulmarhold.platform.settings import SETTINGS_VARIABLE

POLL_INTERVAL: Milliseconds = 10.0
KILL_TIMEOUT: Milliseconds = 10_000.0
# What the settings allow a process: the least of the users' machines.
MEMORY_MEBIBYTES = 160


def peak_memory(process: int) -> int:
    """Return the largest resident size that a process has had, in bytes; zero once it is gone.

    >>> peak_memory(os.getpid()) > 0
    True
    """
    try:
        fields = Path(f"/proc/{process}/status").read_text(encoding="ascii").splitlines()
    except FileNotFoundError:
        return 0
    sizes = (line.split()[1] for line in fields if line.startswith("VmHWM:"))
    return sum(int(kibibytes) * 1024 for kibibytes in sizes)


class Instance:
    """A daemon that can be restarted at the same address."""

    def __init__(
        self, role: str, address: str, data_centre: str, seeds: tuple[str, ...], folder: Path,
        heartbeat_period: Milliseconds,
    ) -> None:  # fmt: skip
        self.role = role
        self.address = address
        self.name = f"{role}-{address}"
        self.data_centre = data_centre
        self.folder = folder / self.name
        # Counts the starts: some guarantees hold only within one run of the process.
        self.incarnation = 0
        self.started_at: Milliseconds = 0.0
        # A process that exits while this is set has exited by itself.
        self.should_run = False
        self._seeds = seeds
        self._heartbeat_period = heartbeat_period
        self._process: subprocess.Popen[bytes] | None = None
        self._clock = Clock()

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    @property
    def is_over_memory(self) -> bool:
        """Whether the process has used more memory than its settings allow."""
        process = self._process
        return process is not None and peak_memory(process.pid) > MEMORY_MEBIBYTES * MEBIBYTE

    @property
    def exit_code(self) -> int | None:
        return self._process.poll() if self._process is not None else None

    @property
    def data_folder(self) -> Path:
        return self.folder / "data"

    def start(self, *, is_first_start: bool = False) -> None:
        """Start the process, unless it runs, with a settings file as the platform writes it.

        Faults overlap, so another one may have restarted the process already.
        """
        if self.is_running:
            return
        self.data_folder.mkdir(parents=True, exist_ok=True)
        self.write_settings(is_first_start=is_first_start)
        self.incarnation += 1
        self.should_run = True
        self.started_at = self._clock.now()
        with (self.folder / "log").open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "fulmarhold.platform", self.role],
                env={**os.environ, SETTINGS_VARIABLE: str(self._settings_file)},
                stdout=log,
                stderr=log,
            )

    def write_settings(
        self, *, is_first_start: bool = False, seeds: tuple[str, ...] | None = None
    ) -> None:
        """Write the settings file, with the given seeds instead of the original ones if any."""
        document = write_settings(
            self.name, self.role, self.address, self.data_centre, seeds or self._seeds,
            str(self.data_folder), self._heartbeat_period, is_first_start=is_first_start,
            memory_mebibytes=MEMORY_MEBIBYTES,
        )  # fmt: skip
        temporary = self._settings_file.with_suffix(".tmp")
        temporary.write_text(json.dumps(document))
        temporary.replace(self._settings_file)

    def send_signal(self, number: int) -> None:
        """Send a signal to this process only, if it is running."""
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.should_run = False
        if self._process is not None and self.is_running:
            self._process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.send_signal(signal.SIGKILL)
        self.wait_for_exit(KILL_TIMEOUT)

    def wait_for_exit(self, timeout: Milliseconds) -> int | None:
        """Wait for the process that runs now to exit, and not for one that is started meanwhile.

        Return its exit code, or `None` if it is still running.
        """
        process, until = self._process, self._clock.now() + timeout
        if process is None:
            return None
        while process.poll() is None and self._clock.now() < until:
            gevent.sleep(POLL_INTERVAL / SECOND)
        return process.poll()

    def delete_data(self) -> None:
        """Delete the data folder; the process must have exited."""
        shutil.rmtree(self.data_folder)

    def append_torn_record(self, fragment: bytes) -> None:
        """Append an incomplete record to the log; the process must have exited."""
        segments = sorted(self.data_folder.glob("log-*.bin"))
        newest = segments[-1] if segments else self.data_folder / "log.bin"
        with newest.open("ab") as log:
            log.write(fragment)

    def set_disk_full(self, *, is_full: bool) -> None:
        """Make every write that extends a file fail, as on a full disk, or stop doing so."""
        if self._process is not None and self.is_running:
            limit = 0 if is_full else resource.RLIM_INFINITY
            resource.prlimit(
                self._process.pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY)
            )

    @property
    def _settings_file(self) -> Path:
        return self.folder / "settings.json"
