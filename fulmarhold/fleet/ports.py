"""Free ports on loopback."""

from __future__ import annotations

import os
import socket

LOOPBACK = "127.0.0.1"
# Below the range from which the kernel draws ports for outgoing connections.
FIRST_PORT = 12_000
PORT_COUNT = 18_000
PORTS_PER_PROCESS = 600


class PortAllocator:
    """Hands out ports that nobody listens on; processes begin at different places."""

    def __init__(self) -> None:
        self._next = (os.getpid() * PORTS_PER_PROCESS) % PORT_COUNT

    def allocate(self) -> int:
        """Return a port that can be listened on now."""
        for _ in range(PORT_COUNT):
            port = FIRST_PORT + self._next
            self._next = (self._next + 1) % PORT_COUNT
            with socket.socket() as probe:
                try:
                    probe.bind((LOOPBACK, port))
                except OSError:
                    continue
                return port
        raise RuntimeError("no free port on loopback")

    def allocate_endpoint(self) -> str:
        """Return a free endpoint on loopback."""
        return f"{LOOPBACK}:{self.allocate()}"
