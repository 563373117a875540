"""Options of the TCP connections that the daemons hold."""

from __future__ import annotations

import socket
from typing import Any

from fulmarhold.clock import Milliseconds

# A peer that vanishes without a reset is noticed after this, by data that nobody acknowledges or
# by probes of a connection on which only the peer is due to send.
UNACKNOWLEDGED_TIMEOUT: Milliseconds = 1_500.0
PROBE_AFTER_SECONDS = 1
PROBE_PERIOD_SECONDS = 1
PROBES = 2


def prepare_connection(connection: Any) -> None:
    """Send small messages at once, and notice a silent loss of the peer."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(UNACKNOWLEDGED_TIMEOUT))
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_PERIOD_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
