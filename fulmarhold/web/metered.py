"""The input of a connection to the HTTP interfaces: how much one request may bring, how slowly.

The WSGI server reads requests from a file. This one bounds each request by its size and its
progress, and tells the connections of the process what this one is doing.
"""

from __future__ import annotations

import io
import socket
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.clock import SECOND
from fulmarhold.limits.connections import GaveWay, Phase
from fulmarhold.limits.progress import Progress
from fulmarhold.observe.logs import get_logger
from fulmarhold.routes.configuration import CallerLimits
from fulmarhold.web.messages import BadRequest, NoMemory
from fulmarhold.wire.sockets import can_go_on

if TYPE_CHECKING:
    from collections.abc import Iterator

    from fulmarhold.clock import Clock
    from fulmarhold.limits.connections import ConnectionBudget

log = get_logger("web")

# The limits on heads and pauses are those that callers have by default.
LIMITS = CallerLimits()
# Lines of a head; Python's parser of heads takes no more.
MAX_HEAD_LINES = 100
# The largest request, with its head and the framing of its chunks: twice the largest document.
MAX_REQUEST_BYTES = 32 * 1024 * 1024
BUFFER_BYTES = 8 * 1024


class RequestEnded(gevent.GreenletExit):
    """The rest of a request is not waited for; `refusal` is the answer, as it was not run."""

    def __init__(self, refusal: BadRequest) -> None:
        super().__init__(refusal.reason)
        self.refusal = refusal


class HeadTooLarge(ValueError):
    """The head of a request has too many bytes or lines."""


class MeteredInput(io.RawIOBase):
    """The bytes of one connection, request by request."""

    def __init__(self, connection: Any, caller: str, budget: ConnectionBudget, clock: Clock):
        super().__init__()
        self._socket = connection
        self._clock = clock
        self._budget = budget
        self.tracked = budget.open(caller, self._give_way)
        self._progress: Progress | None = None
        self._has_head = False
        self._request_bytes = 0
        self._gave_way: GaveWay | None = None

    def readable(self) -> bool:
        """Bytes can be read."""
        return True

    def expect_request(self) -> None:
        """Note that the next bytes belong to a new request."""
        self._progress = None
        self._has_head = False
        self._request_bytes = 0
        self.tracked.enter(Phase.IDLE, self._clock.now())

    def begin(self) -> None:
        """Note that a request has begun, of which bytes may have been read with the last one."""
        now = self._clock.now()
        self._progress = Progress(now, LIMITS.idle_timeout)
        self.tracked.enter(Phase.RUNNING, now)

    def end_head(self) -> None:
        """Note that the head of the request is complete."""
        self._has_head = True

    @contextmanager
    def sending(self) -> Iterator[None]:
        """Let others end the connection while a piece of its response isn't read."""
        tracked, now = self.tracked, self._clock.now()
        tracked.enter(Phase.SENDING, now)
        self._socket.settimeout(LIMITS.idle_timeout / SECOND)
        try:
            yield
        finally:
            tracked.enter(Phase.RUNNING, self._clock.now())

    def readinto(self, buffer: Any) -> int:
        """Read what has arrived; raises `RequestEnded` if the request takes too long."""
        progress = self._progress
        if progress is not None:
            self.tracked.enter(Phase.READING, self._clock.now(), progress)
        try:
            self._socket.settimeout(self._time_left(progress))
            size: int = self._socket.recv_into(buffer)
        except TimeoutError:
            raise self._end(BadRequest(408, "the request was not sent in time")) from None
        except OSError:
            # Shutting it down cancels the wait.
            if self._gave_way is None:
                raise
            size = 0
        finally:
            if progress is not None:
                self.tracked.enter(Phase.RUNNING, self._clock.now())
        if self._gave_way is not None and progress is not None:
            raise self._end(NoMemory(f"gave way: {self._gave_way.value}"))
        self._request_bytes += size
        if self._request_bytes > MAX_REQUEST_BYTES:
            raise self._end(BadRequest(413, "the body is too large"))
        if progress is not None:
            progress.add(size, self._clock.now())
        return size

    def release(self) -> None:
        """Give back the place of the connection."""
        self._budget.close(self.tracked)

    def _time_left(self, progress: Progress | None) -> float | None:
        """Return the seconds to wait for bytes; none for a connection that waits for a request."""
        if progress is None:
            return None
        now = self._clock.now()
        if not self._has_head:
            left = LIMITS.header_timeout - (now - progress.started_at)
            return max(1.0, left) / SECOND
        if progress.is_too_slow(now):
            return 1.0 / SECOND
        return LIMITS.idle_timeout / SECOND

    def _end(self, refusal: BadRequest) -> RequestEnded:
        log.info("request of {} ended: {}", self.tracked.caller, refusal.reason)
        return RequestEnded(refusal)

    def _give_way(self, why: GaveWay) -> bool:
        if can_go_on(self._socket.fileno(), sends=self.tracked.phase is Phase.SENDING):
            return False
        self._gave_way = why
        held, self.tracked.held = self.tracked.held, None
        if held is not None:
            held.release()
        is_reading = self.tracked.phase is Phase.READING
        try:
            self._socket.shutdown(socket.SHUT_RD if is_reading else socket.SHUT_RDWR)
        except OSError as error:
            log.info("connection of {} was lost: {}", self.tracked.caller, error)
        return True


class HeadLines:
    """Reads the lines of one head, and no more than there may be."""

    def __init__(self, file: Any, used: int) -> None:
        self._file = file
        self._bytes = used
        self._lines = 0

    def readline(self, limit: int = -1) -> bytes:
        """Return a line; raises `HeadTooLarge`."""
        room = LIMITS.header_bytes - self._bytes
        line: bytes = self._file.readline(min(limit, room + 1) if limit >= 0 else room + 1)
        self._bytes += len(line)
        self._lines += 1
        if self._bytes > LIMITS.header_bytes or self._lines > MAX_HEAD_LINES:
            raise HeadTooLarge("the head has too many bytes or lines")
        return line
