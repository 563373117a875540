"""Callers outside our control: what they send, and what a process may need while they are there.

The kinds, their numbers and the bounds are fixed: a change of the product must not change them.
"""

from __future__ import annotations

import os
import resource
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent
from gevent.pool import Group

from fulmarhold.limits.memory import MEBIBYTE
from fulmarhold.soak.processes import peak_memory
from fulmarhold.tests.platform.fleet import wait_for

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

# Callers of each kind; all kinds together are more than a process has descriptors for.
MEMBERS = 400
# Some callers share an address, others have their own.
ADDRESSES = 8
PROCESS_MEBIBYTES = 128
MAX_RESIDENT_MEBIBYTES = 115
DESCRIPTORS = 768
MAX_OPEN_DESCRIPTORS = 750
HEAD_BYTES = 16_384
PIECE_BYTES = 4_096
PIECE_PAUSE_SECONDS = 0.002
TRICKLE_PAUSE_SECONDS = 0.5
# Ends the sending of a caller whose bytes are not read.
SEND_TIMEOUT_SECONDS = 4.0
ARRIVAL_TIMEOUT_SECONDS = 40.0
SAMPLE_SECONDS = 0.02
AHEAD_BYTES = 64 * 1024
# The largest line and the most lines that Python's own parser of heads takes.
LONGEST_LINE_BYTES = 60_000
MAX_LINES = 98


@dataclass(frozen=True)
class Target:
    """An interface: its address, what it takes bodies for, and a request it answers at length."""

    address: tuple[str, int]
    upload: str
    body_bytes: int
    # The first of the requests that are sent ahead.
    first: bytes
    # Whether heads may be longer than `HEAD_BYTES`, as the interface had no limit of its own.
    takes_long_heads: bool = False


# What one caller sends: its pieces, and the bytes that it then sends one by one.
Sending = tuple[list[bytes], bytes]
KINDS: dict[str, Callable[[Target, int], Sending]] = {}


def kind(name: str) -> Callable[[Callable[[Target, int], Sending]], Callable[..., Sending]]:
    def register(make: Callable[[Target, int], Sending]) -> Callable[[Target, int], Sending]:
        KINDS[name] = make
        return make

    return register


def upload(target: Target, lines: bytes = b"Host: h.example\r\n", length: int = 0) -> bytes:
    size = length or target.body_bytes
    return f"{target.upload} HTTP/1.1\r\nContent-Length: {size}\r\n".encode() + lines + b"\r\n"


@kind("whole bodies")
def whole_bodies(target: Target, number: int) -> Sending:
    """Send a body at once; three of four stop just short of its end."""
    size = target.body_bytes - (0 if number % 4 == 0 else 16)
    return [upload(target) + size * b"b"], b""


@kind("bodies in pieces")
def bodies_in_pieces(target: Target, number: int) -> Sending:
    """Send most of a body in pieces, and then single bytes that don't reach its end."""
    pieces = target.body_bytes // PIECE_BYTES - 1
    return [upload(target), *(PIECE_BYTES * b"b" for _ in range(pieces))], 1_000 * b"b"


@kind("requests sent ahead")
def requests_sent_ahead(target: Target, number: int) -> Sending:
    """Send thousands of requests without a host behind one, and read no answer."""
    short = b"GET / HTTP/1.1\r\n\r\n"
    return [target.first + short * (AHEAD_BYTES // len(short)), *([short * 500] * 8)], b""


@kind("header lines")
def header_lines(target: Target, number: int) -> Sending:
    """Send a head of legal size in thousands of lines, and not the last byte of the body."""
    room = HEAD_BYTES - 200
    lines = (
        b"".join(b"%x:\r\n" % (4_096 + item) for item in range(room // 7)),
        room // 6 * b"ab:\r\n",
        room // 8 * b"X-A: b\r\n",
        room // 9 * b"\x21\x7e: \xe9\xff\r\n",
        room // 6 * b"Host:\r\n",
    )[number % 5]
    if number % 6 == 5:
        # Empty lines ahead of a request.
        return [room // 2 * b"\r\n" + upload(target, length=2) + b"b"], b""
    if target.takes_long_heads and number % 3 == 0:
        long_line = b"X-Long: " + LONGEST_LINE_BYTES * b"a" + b"\r\n"
        return [f"{target.upload} HTTP/1.1\r\n".encode(), *([long_line] * MAX_LINES)], b""
    return [upload(target, lines, 2) + b"b"], b""


class Crowd:
    """The callers of some kinds, who arrive at once, stay, and leave at once."""

    def __init__(self, target: Target, kinds: tuple[str, ...]) -> None:
        self._target = target
        self._kinds = kinds
        self._sockets: list[gevent.socket.socket] = []
        self._arriving = Group()
        self._trickling = Group()

    def arrive(self) -> None:
        for make in (KINDS[name] for name in self._kinds):
            for number in range(MEMBERS):
                self._arriving.spawn(self._come, number, *make(self._target, number))

    def wait_until_there(self) -> None:
        """Wait until each has sent what it sends at once, as far as it is read."""
        self._arriving.join(ARRIVAL_TIMEOUT_SECONDS)

    def leave(self) -> None:
        self._arriving.kill()
        self._trickling.kill()
        for connection in self._sockets:
            connection.close()

    def _come(self, number: int, pieces: list[bytes], slowly: bytes) -> None:
        connection = gevent.socket.socket()
        # So that an answer that isn't read stays with the process.
        connection.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_RCVBUF, 4_096)
        connection.settimeout(SEND_TIMEOUT_SECONDS)
        connection.bind((f"127.0.3.{number % ADDRESSES + 1}", 0))
        self._sockets.append(connection)
        with suppress(OSError):
            connection.connect(self._target.address)
            for piece in pieces:
                connection.sendall(piece)
                gevent.sleep(PIECE_PAUSE_SECONDS)
            self._trickling.spawn(trickle, connection, slowly)


def trickle(connection: gevent.socket.socket, data: bytes) -> None:
    with suppress(OSError):
        for position in range(len(data)):
            connection.sendall(data[position : position + 1])
            gevent.sleep(TRICKLE_PAUSE_SECONDS)


class Watch:
    """The descriptors that a process has open, and the bounds of its memory and descriptors."""

    def __init__(self, process: int) -> None:
        self._process = process
        resource.prlimit(process, resource.RLIMIT_NOFILE, (DESCRIPTORS, DESCRIPTORS))
        self._most_descriptors = 0
        self._sampling = gevent.spawn(self._sample)

    def _sample(self) -> None:
        with suppress(FileNotFoundError):
            while True:
                descriptors = len(os.listdir(f"/proc/{self._process}/fd"))
                self._most_descriptors = max(self._most_descriptors, descriptors)
                gevent.sleep(SAMPLE_SECONDS)

    def measures(self) -> tuple[int, int]:
        """Return the peak of the resident size in mebibytes, and the most open descriptors."""
        return peak_memory(self._process) // MEBIBYTE, self._most_descriptors

    def stop(self) -> None:
        self._sampling.kill()


def check_crowd(
    target: Target,
    kinds: tuple[str, ...],
    process: int,
    is_running: Callable[[], bool],
    ask: Callable[[], int],
) -> None:
    """Check that a process outlives a crowd within its bounds.

    `ask` sends an ordinary request from another address and returns the status; it is repeated
    until it is answered with 200, as ordinary callers do.
    """
    watch, crowd, failures = Watch(process), Crowd(target, kinds), list[str]()

    def check(moment: str) -> None:
        try:
            wait_for(ask, lambda status: status == 200)
        except AssertionError as error:
            failures.append(f"{moment}: {error}")
        if not is_running():
            failures.append(f"{moment}: the process has ended")

    def bounds() -> Iterator[str]:
        resident, descriptors = watch.measures()
        if resident > MAX_RESIDENT_MEBIBYTES:
            yield f"resident size {resident} MiB"
        if descriptors > MAX_OPEN_DESCRIPTORS:
            yield f"{descriptors} descriptors"

    try:
        crowd.arrive()
        check("while the crowd arrives")
        crowd.wait_until_there()
        check("while the crowd is there")
        crowd.leave()
        check("after the crowd has left")
    finally:
        crowd.leave()
        watch.stop()
    print(f"crowd of {', '.join(kinds)}: peak MiB, descriptors {watch.measures()}")
    failures += bounds()
    assert not failures, failures
