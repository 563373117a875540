"""Socket options and statistics of TCP connections."""

from __future__ import annotations

import select
import socket
import struct
from typing import Any

from fulmarhold.clock import SECOND, Milliseconds

# Time after which a peer that disappeared without a reset is detected, by unacknowledged data or by
# keepalive probes while the connection only waits for data from the peer.
UNACKNOWLEDGED_TIMEOUT: Milliseconds = 1_500.0
PROBE_AFTER_SECONDS = 1
PROBE_INTERVAL_SECONDS = 1
MAX_PROBES = 2
# Position of tcpi_rtt in struct tcp_info of Linux: the smoothed round-trip time, an unsigned
# integer in microseconds.
TCP_INFO_BYTES = 104
ROUND_TRIP_OFFSET = 68
MICROSECONDS_PER_SECOND = 1_000_000
MAX_PORT = 65_535


def socket_address(endpoint: str) -> tuple[int, tuple[str, int]]:
    """Return the family and target of IP:port; raises `OSError` or `ValueError` if it isn't one.

    A host name is refused, because resolving it would block.

    >>> socket_address("127.0.0.1:80")[1]
    ('127.0.0.1', 80)
    """
    host, _, port = endpoint.rpartition(":")
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    socket.inet_pton(family, host)
    number = int(port)
    if not 0 < number <= MAX_PORT:
        raise ValueError(f"the port must be from 1 to {MAX_PORT}")
    return family, (host, number)


def prepare_connection(connection: Any) -> None:
    """Send small messages without delay, and detect the silent loss of a peer."""
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(UNACKNOWLEDGED_TIMEOUT))
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, MAX_PROBES)


def round_trip(connection: Any) -> Milliseconds:
    """Return the round-trip time measured by the kernel; raises `OSError` without one."""
    info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    if len(info) < ROUND_TRIP_OFFSET + struct.calcsize("I"):
        raise OSError("the kernel does not report a round-trip time")
    microseconds: int = struct.unpack_from("I", info, ROUND_TRIP_OFFSET)[0]
    return microseconds * SECOND / MICROSECONDS_PER_SECOND


def has_ended(connection: Any) -> bool:
    """Whether the peer has closed a connection, with nothing left to read from it."""
    if not has_input(connection.fileno()):
        return False
    try:
        return not connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except OSError:
        return True


def has_input(descriptor: int) -> bool:
    """Whether a socket has bytes to read, or connections to accept, at this moment."""
    poll = select.poll()
    poll.register(descriptor, select.POLLIN)
    return bool(poll.poll(0))
