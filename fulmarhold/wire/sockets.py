"""Socket options and statistics of TCP connections."""

from __future__ import annotations

import fcntl
import os
import resource
import select
import socket
import struct
import termios
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from fulmarhold.clock import SECOND, Milliseconds

if TYPE_CHECKING:
    from fulmarhold.clock import Clock

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
# What a refused caller may have sent before it reads the refusal.
REFUSED_BYTES = 65_536


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


def can_go_on(descriptor: int, *, sends: bool) -> bool:
    """Whether a socket that waits to send, or else to receive, could do so at this moment.

    Its peer has made progress then, and this process has not come to it.
    """
    if descriptor < 0:
        return False
    poll = select.poll()
    poll.register(descriptor, select.POLLOUT if sends else select.POLLIN)
    return any(event & (select.POLLOUT | select.POLLIN) for _, event in poll.poll(0))


def available_bytes(descriptor: int) -> int:
    """Return how many bytes a socket has to read; zero also at the end of its stream."""
    try:
        result = fcntl.ioctl(descriptor, termios.FIONREAD, bytes(struct.calcsize("i")))
    except OSError:
        return 0
    available: int = struct.unpack("i", result)[0]
    return available


def descriptor_limit() -> int:
    """Return how many descriptors this process may have open."""
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def linger(connection: Any, clock: Clock, pause: Milliseconds, longest: Milliseconds) -> None:
    """Shut down the sending side and drain input, so that no reset discards the response.

    Ends after a pause of the peer; raises `OSError`, also for that.
    """
    until = clock.now() + longest
    connection.shutdown(socket.SHUT_WR)
    connection.settimeout(pause / SECOND)
    while clock.now() < until and connection.recv(REFUSED_BYTES):
        pass


def refuse_connection(connection: Any, response: bytes) -> None:
    """Send a response without waiting, and close; the socket must not block."""
    descriptor = connection.fileno()
    # Closing with unread bytes would send a reset, which can discard the response. A caller that is
    # gone, or sends more, gets none.
    with suppress(OSError):
        os.write(descriptor, response)
        connection.shutdown(socket.SHUT_WR)
        os.read(descriptor, REFUSED_BYTES)
    connection.close()
