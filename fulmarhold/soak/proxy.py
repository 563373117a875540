"""A loopback proxy whose connections can be delayed, reset, cut one way or silenced."""

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
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
SILENCE_POLL: Milliseconds = 20.0


class Harm(Enum):
    """What happens to the bytes of every connection."""

    NONE = "none"
    DELAY = "delay"
    # What the caller sends no longer arrives.
    CUT_THERE = "cut_there"
    # What the other side sends no longer arrives.
    CUT_BACK = "cut_back"
    SILENCE = "silence"


class Proxy:
    """Forwards connections from one endpoint to another."""

    def __init__(self, listen: tuple[str, int], target: tuple[str, int]) -> None:
        self.target = target
        self.harm = Harm.NONE
        self.delay: Milliseconds = 0.0
        self._sockets: set[Any] = set()
        self._server = StreamServer(listen, self._serve)
        self._server.start()

    def reset_connections(self) -> None:
        """Reset every open connection on both sides."""
        for connection in list(self._sockets):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            connection.close()
        self._sockets.clear()

    def stop(self) -> None:
        """Refuse new connections and reset the open ones."""
        self._server.stop(timeout=0)
        self.reset_connections()

    def _serve(self, near: Any, _: Any) -> None:
        try:
            far = gevent.socket.create_connection(self.target, timeout=CONNECT_TIMEOUT / SECOND)
        except OSError:
            # The caller sees what it would see of an endpoint without a listener: no answer.
            near.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            near.close()
            return
        for connection in (near, far):
            connection.settimeout(None)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._sockets.add(connection)
        back = gevent.spawn(self._pump, far, near, Harm.CUT_BACK)
        self._pump(near, far, Harm.CUT_THERE)
        back.join()
        for connection in (near, far):
            self._sockets.discard(connection)
            connection.close()

    def _pump(self, source: Any, sink: Any, cut: Harm) -> None:
        try:
            while data := source.recv(READ_BYTES):
                while self.harm in (cut, Harm.SILENCE):
                    gevent.sleep(SILENCE_POLL / SECOND)
                if self.harm is Harm.DELAY:
                    gevent.sleep(self.delay / SECOND)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # Either side was reset or closed; the other must see the same.
            for connection in (source, sink):
                connection.close()
