"""Heartbeats of any content, from the interface for upstreams to an entry's connections."""

from __future__ import annotations

import json
from ipaddress import ip_address
from typing import Any
from urllib.parse import quote

import msgpack
from hypothesis import HealthCheck, example, given, settings
from hypothesis import strategies as st

from fulmarhold.clock import ManualClock
from fulmarhold.control.machine import ControlMachine, encode_command
from fulmarhold.forwarding.upstreams import UpstreamTable
from fulmarhold.membership.feed import AllStatements, FeedReply, RetireUpstream, ShareStatements
from fulmarhold.membership.packing import pack_statements, unpack_statements
from fulmarhold.membership.validity import upstream_problem
from fulmarhold.observe.counters import Counters
from fulmarhold.platform.documents import decode_configuration
from fulmarhold.platform.headers import PlatformCodec, read_request
from fulmarhold.tests.platform.test_documents import CONFIGURATION, HEARTBEAT
from fulmarhold.tests.platform.test_heartbeats import Control
from fulmarhold.web.front import RawRequest
from fulmarhold.wire.frames import FrameDecoder, encode_frame
from fulmarhold.wire.sockets import socket_address

CASES = 1_500
MAX_RESPONSE_BYTES = 4_096
ROUTES = decode_configuration(json.dumps(CONFIGURATION).encode())
REQUEST = read_request(RawRequest("GET", "/a", (), b"", 5.0, True, 6.0))

any_text = (
    st.text(st.characters(exclude_categories=()), max_size=12)
    | st.text(max_size=12)
    | st.sampled_from(["x" * 257, "x" * 9_000])
)
any_number = (
    st.integers()
    | st.integers(-(2**70), 2**70)
    | st.sampled_from([2**53, 2**53 + 1, 2**63, 2**64, 10**400])
    | st.floats()
)
ports = st.integers(-2, 70_000).map(str) | st.sampled_from(["80x", "\u0663", "", "0x50", "1e2"])
loopback_hosts = st.ip_addresses(network="127.0.0.0/8").map(str) | st.just("::1")
hosts = (
    loopback_hosts
    | st.ip_addresses(v=4).map(str)
    | st.ip_addresses(v=6).map(str)
    | st.sampled_from(["::1%lo", "localhost", "[::1]", "0.0.0.0", "255.255.255.255", "a\0b"])
    | any_text
)
addresses = st.builds("{}:{}".format, hosts, ports) | any_text
good_ports = st.integers(1, 65_535)
good_values: dict[str, Any] = {
    "slots": st.integers(1, 10**6),
    "sequence": st.integers(0, 2**53),
    "born": st.integers(0, 2**53),
    "warmupLeftMs": st.floats(0, 86_400_000),
    "zone": st.text(max_size=256),
    "service": st.text(min_size=1, max_size=256),
    "state": any_text,
}
values = st.recursive(
    st.none() | st.booleans() | any_number | any_text | addresses,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(any_text, inner, max_size=3),
    max_leaves=6,
)
nestings = st.integers(1, 9_000).flatmap(
    lambda levels: st.sampled_from([("[", "]"), ('{"a":', "}")]).map(
        lambda pair: pair[0] * levels + "0" + pair[1] * levels
    )
)


@st.composite
def bodies(draw: Any) -> bytes:
    """A heartbeat in which some fields hold anything, as bytes that may be damaged."""
    document: dict[str, Any] = dict(HEARTBEAT)
    if draw(st.booleans()):
        document["address"] = draw(st.builds("{}:{}".format, loopback_hosts, good_ports))
    elif draw(st.booleans()):
        document["address"] = draw(addresses)
    for name in draw(st.lists(st.sampled_from([*HEARTBEAT, "more"]), max_size=1)):
        document[name] = draw(good_values.get(name, values) | values)
    body = json.dumps(document, ensure_ascii=draw(st.booleans()))
    if draw(st.integers(0, 9)) == 0:
        body = body.replace("8080", draw(nestings), 1)
    data = body.encode("utf-8", "surrogatepass")
    if draw(st.integers(0, 9)) == 0:
        at = draw(st.integers(0, len(data)))
        data = data[:at] + draw(st.binary(max_size=4)) + data[at + draw(st.integers(0, 4)) :]
    return data


visible = st.characters(min_codepoint=33, max_codepoint=126)
names = (
    st.just("i-1")
    | st.text(visible, min_size=1).map(quote)
    | st.binary(min_size=1, max_size=12).map(quote)
    | any_text.map(lambda text: quote(text.encode("utf-8", "surrogatepass")))
)


@settings(max_examples=CASES, deadline=None, suppress_health_check=list(HealthCheck))
@given(bodies(), names)
@example(b"[" * 60_000, "i-1")
@example(b"", "%ED%A0%80")
def test_any_heartbeat_is_refused_or_names_an_upstream_that_every_later_step_can_use(body, name):
    control = Control()
    path = f"/api/instances/{name}"
    response = control.put(body, path)
    assert response.status_code in (200, 400, 404)
    assert len(response.content) < MAX_RESPONSE_BYTES
    assert bool(control.recorded) == (response.status_code == 200)
    assert control.delete(path).status_code in (200, 400, 404)
    for statement in control.recorded:
        check_use(statement)


def check_use(statement: Any) -> None:
    """Take a statement through each step from control to an entry's connections."""
    assert upstream_problem(statement) == ""
    assert msgpack.unpackb(msgpack.packb(vars(statement))) == vars(statement)
    unpacked = unpack_statements(pack_statements([statement], ()))
    assert unpacked == ((statement,), ())
    for message in (
        ShareStatements((statement,), ()),
        AllStatements(True, (statement,), ()),
        FeedReply("s", True, 1.0, 1, 1, (statement,), (), 0, None),
    ):
        [(_, decoded)] = FrameDecoder().feed(encode_frame(1, message))
        assert decoded == message
    machine = ControlMachine()
    machine.apply(encode_command(RetireUpstream(statement.name, statement.born, 1.0)))
    restored = ControlMachine()
    restored.restore(machine.save())
    assert restored.state.retired == {statement.name: statement.born}
    table = UpstreamTable("a", ManualClock(), Counters())
    service = next(iter(ROUTES.services))
    # No connection is attempted to another host.
    _, (host, _) = socket_address(statement.address)
    is_loopback = ip_address(host).is_loopback
    table.update([statement_of(statement, service)], ROUTES, 1, keep_warm=is_loopback)
    replica = table.find(statement.name)
    assert replica is not None
    codec = PlatformCodec()
    head = codec.encode(codec.prepare(REQUEST), statement.name, 10.0)
    assert head.count(b"\r\n\r\n") == 1 and head.count(b"\n") == codec_lines()
    table.close()


def statement_of(statement: Any, service: str) -> Any:
    return type(statement)(**{**vars(statement), "service": service})


def codec_lines() -> int:
    """Return the number of lines in a request to an upstream with a plain name."""
    codec = PlatformCodec()
    return codec.encode(codec.prepare(REQUEST), "i-1", 10.0).count(b"\n")
