"""Options of the TCP connections that the daemons hold."""

from __future__ import annotations

import socket
import struct
from typing import Any

from fulmarhold.clock import SECOND, Milliseconds

# A peer that vanishes without a reset is noticed after this, by data that nobody acknowledges or
# by probes of a connection on which only the peer is due to send.
UNACKNOWLEDGED_TIMEOUT: Milliseconds = 1_500.0
PROBE_AFTER_SECONDS = 1
PROBE_PERIOD_SECONDS = 1
PROBES = 2
# struct tcp_info of Linux: its smoothed round-trip time, an unsigned integer of microseconds.
TCP_INFO_BYTES = 104
ROUND_TRIP_OFFSET = 68
MICROSECONDS_PER_SECOND = 1_000_000


def prepare_connection(connection: Any) -> None:
    """Send small messages at once, and notice a silent loss of the peer."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(UNACKNOWLEDGED_TIMEOUT))
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_PERIOD_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)


def round_trip(connection: Any) -> Milliseconds:
    """Return the round-trip time that the kernel has measured; raises `OSError` without one."""
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    if len(info) < ROUND_TRIP_OFFSET + struct.calcsize("I"):
        raise OSError("the kernel tells no round-trip time")
    microseconds: int = struct.unpack_from("I", info, ROUND_TRIP_OFFSET)[0]
    return microseconds * SECOND / MICROSECONDS_PER_SECOND
