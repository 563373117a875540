"""Structured lines on standard output: one JSON object for each decision or changed belief.

Lines go through a bounded buffer to a descriptor that is never waited for. What does not fit is
dropped, counted by kind and told in a line of its own once there is room again.
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

# About a second of a busy entry's lines.
LONGEST_BUFFER_LINES = 2_000
# Lines a second that a process may write.
LINES_PER_SECOND = 400.0
# Ordinary lines leave this share of the budget to failures and changed beliefs.
SHARE_FOR_FAILURES = 0.5
FLUSH_PERIOD: Milliseconds = 20.0
WRITE_BYTES = 65_536
STANDARD_OUTPUT = 1


class EventLog:
    """Writes events of one process."""

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
        self._rest = b""

    def record(self, event: str, **fields: Any) -> None:
        """Log one event; durations in its fields are milliseconds and their names end in `_ms`."""
        self._record(event, fields, reserve=0.0)

    def record_low_priority(self, event: str, **fields: Any) -> None:
        """Log an event that is dropped first where there are too many."""
        self._record(event, fields, reserve=SHARE_FOR_FAILURES * LINES_PER_SECOND)

    def _record(self, event: str, fields: dict[str, Any], reserve: float) -> None:
        if not self._take_token(reserve) or len(self._lines) >= LONGEST_BUFFER_LINES:
            self._dropped[event] += 1
            self._counters.add("log_lines_dropped", event=event)
            return
        self._lines.append(self._encode(event, fields))

    def run(self) -> None:
        """Write what was noted, until killed."""
        os.set_blocking(self._descriptor, False)
        while True:
            gevent.sleep(FLUSH_PERIOD / SECOND)
            self.flush()

    def flush(self) -> None:
        """Write as much as the descriptor takes at once."""
        if self._dropped and len(self._lines) < LONGEST_BUFFER_LINES and self._take_token():
            dropped, self._dropped = self._dropped, Counter()
            self._lines.append(self._encode("lines_dropped", dict(dropped)))
        while self._lines or self._rest:
            if not self._rest:
                self._rest = self._lines.popleft()
                while self._lines and len(self._rest) < WRITE_BYTES:
                    self._rest += self._lines.popleft()
            try:
                written = os.write(self._descriptor, self._rest)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more; the counter is all that can still tell.
                self._counters.add("log_lines_dropped", event="output_closed")
                self._lines.clear()
                self._rest = b""
                return
            self._rest = self._rest[written:]

    def _take_token(self, reserve: float = 0.0) -> bool:
        now = self._clock.now()
        earned = (now - self._refilled_at) / SECOND * LINES_PER_SECOND
        self._tokens = min(LINES_PER_SECOND, self._tokens + earned)
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
