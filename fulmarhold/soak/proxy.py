"""A loopback proxy that can delay, reset or block its connections in one or both directions."""

from __future__ import annotations

import socket
import struct
from enum import Enum
from typing import Any

import gevent
import gevent.socket
from gevent.server import StreamServer

from fulmarhold.clock import SECOND, Milliseconds

READ_BYTES = 65_536
CONNECT_TIMEOUT: Milliseconds = 1_000.0
LINGER_RESET = struct.pack("ii", 1, 0)
BLOCKED_POLL_INTERVAL: Milliseconds = 20.0


class NetworkFault(Enum):
    """Fault that applies to the data of every connection."""

    NONE = "none"
    DELAY = "delay"
    # Data from the client is held back.
    BLOCK_REQUESTS = "cut_there"
    # Data from the server is held back.
    BLOCK_RESPONSES = "cut_back"
    SILENCE = "silence"


class Proxy:
    """Forwards connections from one endpoint to another."""

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self.target = target
        self.fault = NetworkFault.NONE
        self.delay: Milliseconds = 0.0
        self._sockets: set[Any] = set()
        self._server = StreamServer(listen, self._serve)
        self._server.start()

    def reset_connections(self) -> None:
        """Reset every open connection on both sides."""
        for connection in list(self._sockets):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            connection.close()
        self._sockets.clear()

    def stop(self) -> None:
        """Refuse new connections and reset the open ones."""
        self._server.stop(timeout=0)
        self.reset_connections()

    def _serve(self, client: Any, _: Any) -> None:
        try:
            server = gevent.socket.create_connection(self.target, timeout=CONNECT_TIMEOUT / SECOND)
        except OSError:
            # The client sees no response, as with an endpoint that has no listener.
            client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            client.close()
            return
        for connection in (client, server):
            connection.settimeout(None)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sockets.add(connection)
        response_greenlet = gevent.spawn(
            self._forward, server, client, NetworkFault.BLOCK_RESPONSES
        )
        self._forward(client, server, NetworkFault.BLOCK_REQUESTS)
        response_greenlet.join()
        for connection in (client, server):
            self._sockets.discard(connection)
            connection.close()

    def _forward(self, source: Any, destination: Any, blocked_by: NetworkFault) -> None:
        try:
            while data := source.recv(READ_BYTES):
                while self.fault in (blocked_by, NetworkFault.SILENCE):
                    gevent.sleep(BLOCKED_POLL_INTERVAL / SECOND)
                if self.fault is NetworkFault.DELAY:
                    gevent.sleep(self.delay / SECOND)
                destination.sendall(data)
            destination.shutdown(socket.SHUT_WR)
        except OSError:
            # One side was reset or closed; close the other, so that it sees the same.
            for connection in (source, destination):
                connection.close()
