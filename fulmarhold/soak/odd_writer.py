"""Sends heartbeats that name no usable upstream, as another writer of the platform might."""

from __future__ import annotations

import json
from dataclasses import replace
from typing import TYPE_CHECKING

import gevent.socket

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.membership.statements import DRAINING, READY, State, UpstreamStatement
from fulmarhold.platform.encoding import CONTROL_PORT, HEARTBEAT_PATH, write_heartbeat

if TYPE_CHECKING:
    from fulmarhold.soak.environment import Environment

TIMEOUT: Milliseconds = 1_000.0
STATEMENTS = 5
# Nothing listens at the discard port.
STATEMENT = UpstreamStatement("i-odd", 1_700_000_000_000, 1, READY, "s1", "127.0.0.1:9", "a", 2)
# Values in JSON as they are sent.
USUAL = {key: json.dumps(value).encode() for key, value in write_heartbeat(STATEMENT).items()}
NESTED = b"[" * 50_000 + b"]" * 50_000
NUMBERS = (b"1e400", b"9" * 5_000, b"-9223372036854775809", b"NaN", b'"2"', b"null", NESTED)
TEXTS = (b'"\xff"', b'"\xed\xa0\x80"', b'"\\ud800"', b'"\\u0000"', b"7", b"null", NESTED)
ADDRESSES = (
    b'"::1%lo:9"',
    b'"[fe80::1%lo]:9"',
    b'"127.0.0.1:65536"',
    b'"127.0.0.1:-1"',
    b'"127.0.0.1"',
)
ODD: dict[str, tuple[bytes, ...]] = {
    field: TEXTS if value[:1] == b'"' else NUMBERS for field, value in USUAL.items()
}
ODD["address"] += ADDRESSES


def write_odd_heartbeat(field: str, value: bytes) -> bytes:
    """Return the body of a heartbeat in which one field has another value than usual."""
    values = USUAL | {field: value}
    return b"{" + b",".join(b'"%s":%s' % (k.encode(), v) for k, v in values.items()) + b"}"


def write_foreign_heartbeat(upstream: UpstreamStatement, born: int, state: State) -> bytes:
    """Return the body of a heartbeat for a service that is not configured, at a known address."""
    foreign = replace(upstream, service="nowhere", born=born, sequence=1, state=state)
    return json.dumps(write_heartbeat(foreign)).encode()


def send_odd_heartbeats(environment: Environment) -> None:
    """Send heartbeats that have one odd value each to random control instances.

    One has the name and the address of a running upstream.
    """
    random = environment.random
    sent = []
    for number in range(STATEMENTS):
        field = random.choice(list(ODD))
        sent.append((f"i-odd-{number}", write_odd_heartbeat(field, random.choice(ODD[field]))))
    upstream = random.choice(environment.upstream_hosts).upstream.statement
    state: State = random.choice((READY, DRAINING))
    foreign = write_foreign_heartbeat(upstream, int(environment.clock.wall()), state)
    sent.append((upstream.name, foreign))
    for name, body in sent:
        head = f"PUT {HEARTBEAT_PATH}{name} HTTP/1.1\r\nHost: odd\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        endpoint = random.choice(environment.control).address, CONTROL_PORT
        try:
            with gevent.socket.create_connection(endpoint, timeout=TIMEOUT / SECOND) as connection:
                connection.sendall(head.encode() + body)
                connection.recv(1)
        except OSError:
            # The control instance is down or frozen, which is recorded elsewhere.
            continue
