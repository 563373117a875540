"""Processes of a fleet: started, awaited, stopped, killed and frozen by their own handles."""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from typing import TYPE_CHECKING, Any

import gevent
import yaml

from fulmarhold.clock import SECOND, Clock, Milliseconds
from fulmarhold.errors import FulmarholdError, PeerUnavailable
from fulmarhold.web.client import request_json

if TYPE_CHECKING:
    from pathlib import Path

START_PATIENCE: Milliseconds = 30_000.0
STOP_PATIENCE: Milliseconds = 40_000.0
LOOK_PERIOD: Milliseconds = 25.0


class FleetProcess:
    """One daemon of the fleet with its settings file and log."""

    def __init__(
        self, module: str, name: str, folder: Path, settings: dict[str, Any], endpoint: str
    ) -> None:
        self.name = name
        self.endpoint = endpoint
        self.settings = settings
        self._module = module
        self._folder = folder
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def log_file(self) -> Path:
        return self._folder / f"{self.name}.log"

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        return self._process.poll() if self._process is not None else None

    @property
    def process_id(self) -> int:
        """The operating system's id; raises `FulmarholdError` before the start."""
        if self._process is None:
            raise FulmarholdError(f"{self.name} was not started", step="fleet")
        return self._process.pid

    def start(self) -> None:
        """Write the settings file and start the process."""
        settings_file = self._folder / f"{self.name}.yml"
        settings_file.write_text(yaml.safe_dump(self.settings), encoding="utf-8")
        with self.log_file.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", self._module, str(settings_file)], stdout=log, stderr=log
            )

    def await_answer(self, path: str = "/health", *, status: int | None = None) -> None:
        """Wait until it answers HTTP, with `status` if one is given."""

        def answers() -> bool:
            if not self.is_running:
                raise FulmarholdError(f"{self.name} ended, see {self.log_file}", step="starting")
            try:
                response = request_json(self.endpoint, "GET", path, timeout=SECOND)
            except PeerUnavailable:
                return False
            return status in (None, response.status)

        await_condition(answers, f"{self.name} to answer {path}", START_PATIENCE)

    def terminate(self) -> None:
        """Ask for a graceful stop."""
        self.signal(signal.SIGTERM)

    def kill(self) -> None:
        """End the process without notice."""
        self.signal(signal.SIGKILL)
        self.await_exit()

    def freeze(self) -> None:
        """Stop the process from running, as a long pause would."""
        self.signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let a frozen process go on."""
        self.signal(signal.SIGCONT)

    def signal(self, number: int) -> None:
        """Send a signal to this process, if it still runs."""
        if self.is_running:
            os.kill(self.process_id, number)

    def await_exit(self) -> int:
        """Wait for the end and return the exit code."""
        await_condition(lambda: not self.is_running, f"{self.name} to end", STOP_PATIENCE)
        code = self.exit_code
        return code if code is not None else 0


def await_condition(condition: Any, what: str, timeout: Milliseconds) -> None:
    """Wait until `condition()` holds; raises `FulmarholdError` after `patience` ms."""
    clock = Clock()
    until = clock.now() + timeout
    while not condition():
        if clock.now() > until:
            raise FulmarholdError(f"waited {timeout:.0f} ms in vain for {what}", step="waiting")
        gevent.sleep(LOOK_PERIOD / SECOND)
