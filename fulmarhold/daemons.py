"""Shared parts of the daemon programs: settings, logging, signals and exit codes."""

from __future__ import annotations

import gc
import signal
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any, Protocol

import gevent
from gevent.event import AsyncResult, Event

from fulmarhold.clock import Clock
from fulmarhold.errors import FulmarholdError
from fulmarhold.observe.logs import start_logging

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.clock import Milliseconds

EXIT_FAILED = 1
# Thresholds of the garbage collector: new objects before a collection of the youngest generation,
# and collections of each generation before one of the next older generation.
GC_YOUNG_THRESHOLD = 20_000
GC_MIDDLE_THRESHOLD = 20
GC_OLD_THRESHOLD = 20


class Daemon(Protocol):
    """A daemon that can be started and stopped; `failure` is set when it can't continue."""

    failure: AsyncResult

    def start(self) -> None: ...

    def stop(self, told_at: Milliseconds) -> None:
        """Stop as planned; the process is killed a grace period after it was told to, `told_at`."""


def spawn_essential(failure: AsyncResult, run: Callable[[], None]) -> gevent.Greenlet:
    """Run a part that the daemon can't work without; an error in it ends the daemon."""
    greenlet = gevent.spawn(run)
    greenlet.link_exception(lambda failed: failure.set_exception(failed.exception))
    return greenlet


def run_program(name: str, summary: str, schema: type, make: Callable[[Any], Daemon]) -> None:
    """Run a daemon as a command line program that takes a settings file, and exit."""
    # Imported here because it would delay the restart of daemons that are started another way.
    import cyclopts  # noqa: PLC0415

    application = cyclopts.App(name=name, help=summary)

    @application.default
    def run(settings: Path) -> int:
        """Run until SIGTERM.

        Parameters
        ----------
        settings
            The YAML settings file of this instance.
        """
        return run_daemon(settings, schema, make)

    sys.exit(application())


def run_daemon(settings_file: Path, schema: type, make: Callable[[Any], Daemon]) -> int:
    """Run a daemon until SIGTERM, SIGINT or its failure, and return the exit code."""
    # Imported here because daemons with settings in another format start faster without it.
    from fulmarhold.settings.loading import load_file  # noqa: PLC0415

    try:
        settings: Any = load_file(settings_file, schema)
        start_logging(settings.log.level)
        daemon = make(settings)
    except FulmarholdError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    return serve_until_stopped(daemon)


def serve_until_stopped(daemon: Daemon, flush: Callable[[], None] | None = None) -> int:
    """Start a daemon, stop it at SIGTERM or SIGINT, and return the exit code.

    A signal during the start stops it after the start: the daemon may have accepted work already.
    `flush` is called before the error of a failed daemon is printed.
    """
    stop_signal = _StopSignal()
    try:
        daemon.start()
        _tune_garbage_collector()
    except FulmarholdError as error:
        print(error, file=sys.stderr)
        return EXIT_FAILED
    daemon.failure.rawlink(lambda _: stop_signal.wake())
    stop_signal.wait()
    if daemon.failure.ready():
        if flush is not None:
            flush()
        print(daemon.failure.exception, file=sys.stderr)
        return EXIT_FAILED
    daemon.stop(stop_signal.received_at)
    stop_signal.ignore()
    return 0


class _StopSignal:
    """Waits for SIGTERM or SIGINT, and knows when the first one came.

    A start occupies the event loop, so that its watchers learn of a signal only after it. Handlers
    of the interpreter run in between; the watchers wake a process that waits in the event loop.
    """

    def __init__(self) -> None:
        self._clock = Clock()
        self._ended = Event()
        self._received_at: Milliseconds | None = None
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, self._note)

    @property
    def received_at(self) -> Milliseconds:
        """When the first signal came, or the present moment if none has."""
        return self._clock.now() if self._received_at is None else self._received_at

    def wake(self) -> None:
        """End the wait without a signal."""
        self._ended.set()

    def wait(self) -> None:
        """Wait until a signal has come, or until `wake` is called."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self._note)
        if self._received_at is None:
            self._ended.wait()

    def ignore(self) -> None:
        """Ignore further signals: the interpreter's exit would let them end the process."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, signal.SIG_IGN)

    def _note(self, *_: object) -> None:
        if self._received_at is None:
            self._received_at = self._clock.now()
        self._ended.set()


def _tune_garbage_collector() -> None:
    """Keep the garbage collector from repeatedly scanning the objects made during the start."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_YOUNG_THRESHOLD, GC_MIDDLE_THRESHOLD, GC_OLD_THRESHOLD)
