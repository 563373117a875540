"""Reads the requests of one connection from its bytes, within the limits and the memory.

Has no socket and no clock of its own. What is read costs memory by the objects that it is kept in,
not by its bytes on the wire: a header line of six bytes becomes a pair of strings. So bytes are
parsed only as far as a request is needed, and each request counts until it is released.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import httptools

from fulmarhold.clock import Milliseconds
from fulmarhold.limits.memory import Holder
from fulmarhold.limits.progress import Progress
from fulmarhold.web.messages import BadRequest, NoMemory, RawRequest
from fulmarhold.web.partial import HEADER_LINE_BYTES, PartialRequest, ReadRequest, request_owners

if TYPE_CHECKING:
    from fulmarhold.limits.holdings import FixedHolding
    from fulmarhold.limits.memory import MemoryBudget
    from fulmarhold.routes.configuration import CallerLimits

# A head of the largest default size can't have more lines, so that only a configuration with larger
# heads meets this limit.
MAX_HEADER_LINES = 4_096
# A colon and the end of a line: what a header line has at least beside its characters.
SEPARATOR_BYTES = 3
# The method, the version and the separators of a head, which its size doesn't count.
HEAD_OVERHEAD_BYTES = 64
# How much is parsed at once while a head is read: pipelined requests behind it stay bytes.
HEAD_STEP_BYTES = 1_024
CHUNKED_STEP_BYTES = 16 * 1024
# A first request without a body up to this cost is passed on however little memory is left, since
# the forwarder knows its urgency.
SMALL_REQUEST_BYTES = 16 * 1024


class RequestReader:
    """Turns the bytes of one connection into requests, which are taken with `take`.

    >>> from fulmarhold.routes.configuration import CallerLimits
    >>> reader = RequestReader("10.0.0.1", None, CallerLimits())
    >>> reader.add(b"GET /1 HTTP/1.1\\r\\n\\r\\nGET /2 HTTP/1.1\\r\\n")
    >>> reader.parse(0.0)
    >>> reader.take().request.target, reader.has_begun
    ('/1', True)
    """

    def __init__(
        self,
        caller: str,
        memory: MemoryBudget | None,
        limits: CallerLimits,
        round_trip: Milliseconds = 0.0,
    ) -> None:
        self.limits = limits
        self.expects_continue = False
        # Why what comes after the requests that were read can't be.
        self.refusal: BadRequest | None = None
        self._caller = caller
        self._memory = memory
        self._round_trip = round_trip
        self._parser = httptools.HttpRequestParser(self)
        self._requests: deque[ReadRequest] = deque()
        self._partial: PartialRequest | None = None
        self._unread = bytearray()
        self._unread_held = self._hold((f"caller {caller}",))
        self._head_bytes = 0
        # Bytes since the parser last reported anything: of a chunk's extension or a trailer.
        self._unreported_bytes = 0
        self._is_first = True
        self._now: Milliseconds = 0.0

    @property
    def partial(self) -> PartialRequest | None:
        """The request that has begun and is not complete."""
        return self._partial

    @property
    def has_requests(self) -> bool:
        """Whether a complete request waits to be taken."""
        return bool(self._requests)

    @property
    def has_unread(self) -> bool:
        """Whether bytes have been added that were not parsed yet."""
        return bool(self._unread)

    @property
    def has_begun(self) -> bool:
        """Whether a further request, or a part of one, has been read."""
        return bool(self._requests or self.refusal or self._unread or self._partial)

    @property
    def unread_bytes(self) -> int:
        return len(self._unread)

    def add(self, data: bytes) -> None:
        """Add bytes that are parsed at once."""
        self._unread += data

    def reserve(self, size: int) -> bool:
        """Count bytes that are about to be added and can't be parsed yet, if there is room."""
        held = self._unread_held
        return held is None or held.try_grow(size)

    def parse(self, now: Milliseconds) -> None:
        """Parse until a request is complete or no bytes are left; a refusal is kept.

        The requests before a refused one are answered first.
        """
        self._now = now
        try:
            while self._unread and not self._requests:
                size = self._step()
                step = bytes(self._unread[:size])
                del self._unread[:size]
                self._feed(step)
            self._count_unread()
        except BadRequest as error:
            # The frames of its traceback would keep what was read.
            self.refusal = error.with_traceback(None)
            self._unread.clear()
            if self._unread_held is not None:
                self._unread_held.release()

    def take(self) -> ReadRequest:
        """Return the first complete request, which the caller has to release."""
        return self._requests.popleft()

    def release(self) -> None:
        """Drop what was read, and give all memory back; may be called more than once."""
        for request in self._requests:
            request.release()
        self._requests.clear()
        if self._partial is not None and self._partial.held is not None:
            self._partial.held.release()
        self._partial = None
        if self._unread_held is not None:
            self._unread_held.release()
        self._unread.clear()

    def _count_unread(self) -> None:
        """Count the bytes behind the requests that wait; raises `NoMemory` without room."""
        held = self._unread_held
        if held is None:
            return
        change = len(self._unread) - held.size
        if change < 0:
            held.shrink(-change)
        elif change and not held.try_grow(change):
            raise NoMemory

    def _hold(self, owners: tuple[str, ...]) -> FixedHolding | None:
        return self._memory.open_fixed(Holder.REQUEST, owners) if self._memory else None

    def _step(self) -> int:
        """Return how many bytes are parsed next."""
        partial = self._partial
        if partial is None or not partial.has_head:
            return HEAD_STEP_BYTES
        left = partial.length - len(partial.body)
        return left if left > 0 else CHUNKED_STEP_BYTES

    def _begin(self) -> None:
        owners = (f"caller {self._caller}",)
        progress = Progress(self._now, self.limits.idle_timeout)
        self._partial = PartialRequest(self._now, progress, self._hold(owners), owners=owners)
        self._head_bytes = self._unreported_bytes = 0

    def _feed(self, data: bytes) -> None:
        if self._partial is None:
            self._begin()
        if self._partial is not None:
            self._partial.progress.add(len(data), self._now)
            if not self._partial.has_head:
                self._head_bytes += len(data)
        self._unreported_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise BadRequest(400, "upgrades are not served") from None
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, BadRequest):
                raise error.__context__ from None
            raise BadRequest(400, "malformed request") from None
        except httptools.HttpParserError:
            raise BadRequest(400, "malformed request") from None
        partial = self._partial
        if partial is None:
            return
        limit = self.limits.header_bytes
        if not partial.has_head and self._head_bytes > limit + HEAD_OVERHEAD_BYTES:
            raise BadRequest(431, "the headers are too large")
        if partial.has_head and self._unreported_bytes > limit + CHUNKED_STEP_BYTES:
            raise BadRequest(431, "the trailers are too large")
        # An incomplete head costs its bytes at least, whatever the parser keeps of them.
        head = 0 if partial.has_head else self._head_bytes
        self._settle(partial, max(head, partial.cost) + len(partial.body), must_fit=True)

    def _settle(self, partial: PartialRequest, size: int, *, must_fit: bool) -> None:
        """Count what a request costs now; raises `NoMemory` if it must fit and doesn't."""
        held = partial.held
        if held is None or size <= held.size:
            return
        if must_fit:
            if not held.try_grow(size - held.size):
                raise NoMemory
        else:
            held.grow(size - held.size)

    # Parser callbacks

    def on_message_begin(self) -> None:
        if self._partial is None:
            self._begin()

    def on_url(self, url: bytes) -> None:
        if self._partial is not None:
            self._partial.target += url
            self._partial.cost += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        partial = self._partial
        if partial is None:
            return
        self._unreported_bytes = 0
        partial.lines += 1
        if partial.lines > MAX_HEADER_LINES:
            raise BadRequest(431, "too many header lines")
        size = len(name) + len(value) + SEPARATOR_BYTES
        if partial.has_head:
            partial.trailer_bytes += size
            if partial.trailer_bytes > self.limits.header_bytes:
                raise BadRequest(431, "the trailers are too large")
            return
        partial.headers.append((name.decode("latin-1"), value.decode("latin-1")))
        partial.cost += HEADER_LINE_BYTES + size

    def on_headers_complete(self) -> None:
        partial = self._partial
        if partial is None:
            return
        partial.has_head = True
        self._unreported_bytes = 0
        size = len(partial.target) + sum(
            len(key) + len(value) + SEPARATOR_BYTES for key, value in partial.headers
        )
        if size > self.limits.header_bytes:
            raise BadRequest(431, "the headers are too large")
        fields = {key.lower(): value for key, value in partial.headers}
        if "content-length" in fields and "transfer-encoding" in fields:
            raise BadRequest(400, "both a length and a transfer encoding")
        length = fields.get("content-length", "0")
        if length.isdecimal():
            if int(length) > self.limits.body_bytes:
                raise BadRequest(413, "the body is too large")
            partial.length = int(length)
        self._set_owners(partial, request_owners(self._caller, fields))
        if self._memory is not None and partial.length:
            room = partial.cost + partial.length
            if not self._memory.fits(partial.owners, room):
                raise NoMemory
        self.expects_continue = fields.get("expect", "").lower() == "100-continue"

    def _set_owners(self, partial: PartialRequest, owners: tuple[str, ...]) -> None:
        """Count what was counted for the caller alone for all owners of the request."""
        partial.owners = owners
        if partial.held is not None:
            partial.held.release()
        partial.held = self._hold(owners)

    def on_chunk_header(self) -> None:
        self._unreported_bytes = 0

    def on_chunk_complete(self) -> None:
        self._unreported_bytes = 0

    def on_body(self, data: bytes) -> None:
        partial = self._partial
        if partial is None:
            return
        self._unreported_bytes = 0
        partial.body += data
        if len(partial.body) > self.limits.body_bytes:
            raise BadRequest(413, "the body is too large")

    def on_message_complete(self) -> None:
        partial, self._partial = self._partial, None
        if partial is None:
            return
        size = partial.cost + len(partial.body)
        is_small = not partial.body and size <= SMALL_REQUEST_BYTES
        try:
            self._settle(partial, size, must_fit=bool(self._requests) or not is_small)
        except NoMemory:
            if partial.held is not None:
                partial.held.release()
            raise
        request = RawRequest(
            self._parser.get_method().decode("latin-1"),
            partial.target.decode("latin-1"),
            tuple(partial.headers),
            bytes(partial.body),
            partial.started_at,
            self._is_first,
            self._round_trip,
            partial.owners,
        )
        self._is_first = False
        keep_open = self._parser.should_keep_alive()
        self._requests.append(ReadRequest(request, keep_open, partial.held))
