"""The HTTP/1.1 server for callers, which keeps path, headers and body of requests as sent.

Web frameworks decode the path and merge headers, which would change the forwarded request. This
server preserves both, detects at once that a caller disconnects, and enforces the limits in force.
"""

from __future__ import annotations

from contextlib import contextmanager
from random import Random
from typing import TYPE_CHECKING, Any

import gevent
from gevent.server import StreamServer

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.limits.connections import ConnectionBudget
from fulmarhold.limits.retry_after import retry_delay_after_refusal
from fulmarhold.web.connection import Connection
from fulmarhold.web.messages import BadRequest, NoMemory, RawRequest, RawResponse, encode_head
from fulmarhold.wire.server import listen
from fulmarhold.wire.sockets import descriptor_limit, has_input, refuse_connection

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fulmarhold.clock import Clock
    from fulmarhold.limits.memory import MemoryBudget
    from fulmarhold.observe.counters import Counters
    from fulmarhold.routes.configuration import CallerLimits

__all__ = ("BadRequest", "FrontServer", "NoMemory", "RawRequest", "RawResponse")

LISTEN_BACKLOG = 4_096
# Connections accepted at once, before the first of them is served or refused: far fewer than the
# descriptors in reserve.
MAX_ACCEPTED_AT_ONCE = 8
# Before the port is closed, connections that wait are accepted for this long at most: callers may
# open new ones as fast as they are accepted.
LAST_ACCEPT_TIME: Milliseconds = 100.0
# Lets the event loop look for connections.
ACCEPT_PAUSE: Milliseconds = 1.0


class FrontServer:
    """Serves callers.

    `handle` gets the request and a function that registers a callback for the disconnection of the
    caller. `budget` is shared with other ports of the process, if it has any for callers.
    """

    def __init__(
        self,
        endpoint: str,
        handle: Callable[[RawRequest, Any], RawResponse],
        limits: Callable[[], CallerLimits],
        clock: Clock,
        counters: Counters,
        memory: MemoryBudget | None = None,
        budget: ConnectionBudget | None = None,
    ) -> None:
        self._endpoint = endpoint
        self._random = Random()
        self.memory = memory
        self.budget = budget or ConnectionBudget(clock, counters)
        self.handle = handle
        self.limits = limits
        self.clock = clock
        self.counters = counters
        self.is_closing = False
        self._in_flight = 0
        self._connections: set[Connection] = set()
        self._server: StreamServer | None = None

    @property
    def connections(self) -> int:
        return len(self._connections)

    @property
    def in_flight(self) -> int:
        """The number of requests that were read and whose callers don't have the whole answer."""
        return self._in_flight

    @contextmanager
    def answering(self) -> Iterator[None]:
        """Count a request as in flight until its answer has left."""
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1

    def refuse(self, error: BadRequest) -> RawResponse:
        """Return the response to a request that can't be read, or for which there is no room."""
        if not isinstance(error, NoMemory):
            self.counters.add("caller_requests_malformed", reason=error.reason)
            return RawResponse(error.status, body=error.reason.encode())
        delay = retry_delay_after_refusal(self._random)
        headers = (("Retry-After", f"{delay / SECOND:.3f}"),)
        return RawResponse(error.status, headers, error.reason.encode())

    def start(self) -> None:
        """Start listening; raises `FulmarholdError` if the port can't be bound."""
        address, _, port = self._endpoint.rpartition(":")
        listener = listen(address, int(port), LISTEN_BACKLOG)
        self._server = _Listener(self, listener, self._serve)
        self._server.start()

    def stop_accepting(self) -> None:
        """Accept the connections that callers have opened, and no further ones.

        Closing the port would reset those that wait to be accepted, with the requests on them.
        """
        server, self._server = self._server, None
        if server is None:
            return
        until = self.clock.now() + LAST_ACCEPT_TIME
        while self.clock.now() < until and has_input(server.socket.fileno()):
            gevent.sleep(ACCEPT_PAUSE / SECOND)
        server.stop_accepting()
        server.close()

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for connection in list(self._connections):
            connection.close_if_idle()

    def refusal(self, connection: Any, peer: tuple[str, int]) -> bytes:
        """Return the response to a connection that is one too many, or nothing."""
        why = self.budget.refusal(peer[0], connection.fileno(), descriptor_limit())
        if why is None:
            return b""
        response = self.refuse(NoMemory(why.value))
        return encode_head(response, "Connection: close") + response.body

    def _serve(self, connection: Any, peer: tuple[str, int]) -> None:
        served = Connection(self, connection, peer[0])
        self._connections.add(served)
        try:
            served.run()
        except OSError as error:
            self.counters.add("caller_connections_lost", reason=type(error).__name__)
        finally:
            self._connections.discard(served)
            connection.close()
            served.release()


class _Listener(StreamServer):
    """Accepts connections, and refuses those that are too many before anything else runs.

    A busy process accepts faster than it starts to serve, so that a refusal which waited its turn
    would come after the last descriptor is used.
    """

    max_accept = MAX_ACCEPTED_AT_ONCE

    def __init__(self, server: FrontServer, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._front = server

    def do_handle(self, connection: Any, peer: tuple[str, int]) -> None:
        refusal = self._front.refusal(connection, peer)
        if refusal:
            refuse_connection(connection, refusal)
        else:
            super().do_handle(connection, peer)
