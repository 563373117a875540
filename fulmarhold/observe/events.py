"""Structured log on standard output: one JSON object per line for each decision or state change.

Lines are written from a bounded buffer to a non-blocking descriptor. Lines that don't fit are
dropped and counted by event; the counts are logged once there is space again.
"""

from __future__ import annotations

import json
import os
from collections import Counter, deque
from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.clock import SECOND, Clock, Milliseconds

if TYPE_CHECKING:
    from fulmarhold.observe.counters import Counters

# About one second of a busy entry's output.
MAX_BUFFERED_LINES = 2_000
# The rate limit of a process.
LINES_PER_SECOND = 400.0
# The share of the rate limit that low-priority events leave to failures and state changes.
HIGH_PRIORITY_SHARE = 0.5
FLUSH_PERIOD: Milliseconds = 20.0
# How long the exit waits for a reader of the log that is slow.
LAST_FLUSH_TIME: Milliseconds = 100.0
WRITE_BYTES = 65_536
STANDARD_OUTPUT = 1


class EventLog:
    """Writes the events of one process, limited by a token bucket."""

    def __init__(
        self, process: str, clock: Clock, counters: Counters, descriptor: int = STANDARD_OUTPUT
    ) -> None:
        self._process = process
        self._clock = clock
        self._counters = counters
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        self._dropped: Counter[str] = Counter()
        self._tokens = LINES_PER_SECOND
        self._refilled_at = clock.now()
        self._unwritten = b""

    def record(self, event: str, **fields: Any) -> None:
        """Log one event; fields with durations are in milliseconds and their names end in `_ms`."""
        self._record(event, fields, reserve=0.0)

    def record_low_priority(self, event: str, **fields: Any) -> None:
        """Log an event that is dropped before others if the rate limit is reached."""
        self._record(event, fields, reserve=HIGH_PRIORITY_SHARE * LINES_PER_SECOND)

    def record_always(self, event: str, **fields: Any) -> None:
        """Log an event that comes a few times in the life of a process, beyond the rate limit."""
        self._append(event, fields)

    def _record(self, event: str, fields: dict[str, Any], reserve: float) -> None:
        if self._take_token(reserve):
            self._append(event, fields)
        else:
            self._drop(event)

    def _append(self, event: str, fields: dict[str, Any]) -> None:
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self._drop(event)
        else:
            self._lines.append(self._encode(event, fields))

    def _drop(self, event: str) -> None:
        self._dropped[event] += 1
        self._counters.add("log_lines_dropped", event=event)

    def run(self) -> None:
        """Write the buffered lines periodically until killed."""
        os.set_blocking(self._descriptor, False)
        while True:
            gevent.sleep(FLUSH_PERIOD / SECOND)
            self.flush()

    def flush(self) -> None:
        """Write as many buffered lines as the descriptor accepts without blocking."""
        if self._dropped and len(self._lines) < MAX_BUFFERED_LINES and self._take_token():
            dropped, self._dropped = self._dropped, Counter()
            self._lines.append(self._encode("lines_dropped", dict(dropped)))
        while self._lines or self._unwritten:
            if not self._unwritten:
                self._unwritten = self._lines.popleft()
                while self._lines and len(self._unwritten) < WRITE_BYTES:
                    self._unwritten += self._lines.popleft()
            try:
                written = os.write(self._descriptor, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reading end is closed; only the counter can still report the loss.
                self._counters.add("log_lines_dropped", event="output_closed")
                self._lines.clear()
                self._unwritten = b""
                return
            self._unwritten = self._unwritten[written:]

    def finish(self) -> None:
        """Write the last lines before the exit, for `LAST_FLUSH_TIME` at most."""
        until = self._clock.now() + LAST_FLUSH_TIME
        self.flush()
        while (self._lines or self._unwritten) and self._clock.now() < until:
            gevent.sleep(FLUSH_PERIOD / SECOND)
            self.flush()

    def _take_token(self, reserve: float = 0.0) -> bool:
        now = self._clock.now()
        refill = (now - self._refilled_at) / SECOND * LINES_PER_SECOND
        self._tokens = min(LINES_PER_SECOND, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < reserve + 1:
            return False
        self._tokens -= 1
        return True

    def _encode(self, event: str, fields: dict[str, Any]) -> bytes:
        rounded = {
            key: round(value, 2) if isinstance(value, float) else value
            for key, value in fields.items()
        }
        line = {"at": round(self._clock.wall()), "process": self._process, "event": event}
        return json.dumps({**line, **rounded}, default=str).encode() + b"\n"
