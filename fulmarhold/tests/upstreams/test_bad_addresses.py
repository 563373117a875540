"""Attempts to connect to addresses that no connection can be made to."""

from __future__ import annotations

import errno
import socket

import gevent
import pytest

from fulmarhold.clock import Clock
from fulmarhold.observe.counters import Counters
from fulmarhold.tests.upstreams.test_connections import Request, ask
from fulmarhold.upstreams.pool import ConnectionPool

BAD_ADDRESSES = [
    "::1%lo:9",
    "localhost:9",
    "[::1]:9",
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "127.0.0.1:80x",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1:",
    "127.0.0.1",
    "127.0.0.1\0:9",
    "h" * 70_000 + ":9",
    "\ud800:9",
    "",
]


# Guards against an entry that ends because one upstream reported an address of another kind.
@pytest.mark.parametrize("address", BAD_ADDRESSES, ids=lambda text: ascii(text)[:24])
def test_a_connection_to_a_bad_address_fails_only_its_own_requests(address):
    pool = ConnectionPool(address, 2, 1, Clock(), Counters())
    pool.maintain()
    assert ask(pool) == ("connect refused", False)
    gevent.sleep(0)
    assert (pool.load, pool.connections) == (0, 0)
    pool.close()


# Guards against an entry that resolves a host name, which blocks its event loop.
def test_the_host_of_an_address_is_never_resolved(monkeypatch):
    def resolve(*_):
        raise AssertionError("resolved a host name")

    monkeypatch.setattr(socket, "getaddrinfo", resolve)
    pool = ConnectionPool("localhost:9", 1, 0, Clock(), Counters())
    assert ask(pool) == ("connect refused", False)


# Guards against an entry that ends because its file descriptors are used up.
def test_a_connection_without_a_file_descriptor_fails_only_its_own_request(monkeypatch):
    def fail(*_):
        raise OSError(errno.EMFILE, "too many open files")

    monkeypatch.setattr("fulmarhold.upstreams.channel.socket.socket", fail)
    counters = Counters()
    pool = ConnectionPool("127.0.0.1:9", 1, 0, Clock(), counters)
    request = Request()
    pool.submit(request)
    assert request.outcome() == ("connect refused", False)
    assert counters.value("connections_closed", reason="EMFILE") == 1
