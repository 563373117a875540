"""Heartbeats of any writer are recorded if an upstream can be used by them, and refused if not."""

from __future__ import annotations

import json
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

import msgpack
import pytest
from falcon import testing

from fulmarhold.clock import ManualClock
from fulmarhold.errors import MalformedInput
from fulmarhold.limits.memory import Holder, MemoryBudget
from fulmarhold.membership.packing import pack_statements, unpack_statements
from fulmarhold.observe.counters import Counters
from fulmarhold.platform.interfaces import control_application
from fulmarhold.platform.strict_json import MAX_VALUES, read_strict_object
from fulmarhold.tests.platform.test_documents import HEARTBEAT, encode, without

if TYPE_CHECKING:
    from fulmarhold.membership.statements import UpstreamStatement

PATH = "/api/instances/i-1"
# What the platform accepts as the response to a heartbeat.
MAX_RESPONSE_BYTES = 4_096


def raw(field, value):
    """Return the body of a heartbeat in which a field has the given bytes as its value."""
    return encode(HEARTBEAT, **{field: "@@"}).replace(b'"@@"', value)


class Control:
    """The interface for upstreams, with a list of the statements that it recorded."""

    def __init__(self):
        self.recorded: list[UpstreamStatement] = []
        self.deregistered: list[tuple[str, int | None]] = []
        self.counters, self.clock = Counters(), ManualClock()
        versions: Any = None
        evacuations: Any = None
        feeds: Any = SimpleNamespace(
            record_upstream=self._record,
            deregister_upstream=self._deregister,
            control_endpoint_in=lambda _: None,
        )
        self.memory = MemoryBudget(1_000_000, self.clock, self.counters)
        application = control_application(
            versions, feeds, "10.0.0.1:80", self.clock, self.counters, self.memory, evacuations
        )
        self._client = testing.TestClient(application)

    def put(self, body, path=PATH):
        return self._client.simulate_put(path, body=body)

    def delete(self, path, body=b""):
        return self._client.simulate_delete(path, body=body)

    def _record(self, statement):
        self.recorded.append(statement)
        return True

    def _deregister(self, name, born):
        self.deregistered.append((name, born))
        return True

    def refusals(self, reason):
        return self.counters.value("heartbeat_refusals", reason=reason)


@pytest.fixture
def control():
    return Control()


def test_a_heartbeat_is_recorded(control):
    assert control.put(encode(HEARTBEAT)).status_code == 200
    assert [item.name for item in control.recorded] == ["i-1"]


@pytest.mark.parametrize(
    "changes",
    [
        {"address": "2001:db8::7:80"},
        {"warmupLeftMs": 0},
        {"warmupLeftMs": 2.5},
        {"sequence": 0, "born": 0},
        {"more": {"a": [[1, 2.5, None, True]]}, "notes": "ü"},
        {"zone": "ü"},
    ],
)
def test_a_heartbeat_with_unusual_but_usable_values_is_recorded(control, changes):
    assert control.put(encode(HEARTBEAT, **changes)).status_code == 200


# Guards against a statement that ends the entries, whose connections it can't be used for.
@pytest.mark.parametrize(
    "address",
    [
        "::1%lo:9",
        "fe80::1%eth0:9",
        "::1%" + "x" * 500 + ":9",
        "[::1]:9",
        "host.example:9",
        "localhost:9",
        "10.0.0.1:0",
        "10.0.0.1:65536",
        "10.0.0.1:99999",
        "10.0.0.1:-1",
        "10.0.0.1:80x",
        "10.0.0.1:+80",
        "10.0.0.1: 80",
        "10.0.0.1:\u0663",
        "10.0.0.1:" + "1" * 5_000,
        "10.0.0.1:",
        "10.0.0.1",
        "0.0.0.0:80",
        "224.0.0.1:80",
        ":::80",
        "10.0.0.1:80\n",
        "",
    ],
    ids=lambda text: ascii(text)[:24],
)
def test_an_address_that_no_connection_can_be_made_to_is_refused(control, address):
    assert_refused(control, control.put(encode(HEARTBEAT, address=address)), "address")


# Guards against a statement that ends control, which can't encode it for its file and its peers.
@pytest.mark.parametrize(
    ("field", "value"),
    [
        ("sequence", b"9007199254740993"),
        ("sequence", b"18446744073709551616"),
        ("sequence", b"1" * 400),
        ("sequence", b"-1"),
        ("sequence", b"true"),
        ("sequence", b"1.0"),
        ("born", b"18446744073709551616"),
        ("born", b"1e3"),
        ("born", b"-1"),
        ("slots", b"1000001"),
        ("slots", b"1" * 400),
        ("slots", b"false"),
        ("warmupLeftMs", b"1e999"),
        ("warmupLeftMs", b"1e300"),
        ("warmupLeftMs", b"1" * 400),
        ("warmupLeftMs", b"true"),
        ("zone", b'"' + b"z" * 257 + b'"'),
        ("service", b'"' + b"s" * 60_000 + b'"'),
        ("version", b'"' + b"v" * 60_000 + b'"'),
        ("state", b'"' + b"r" * 60_000 + b'"'),
        ("address", b'"' + b"1" * 60_000 + b'"'),
    ],
    ids=lambda value: ascii(value)[:24],
)
def test_a_value_out_of_bounds_is_refused_and_the_error_names_the_field(control, field, value):
    assert_refused(control, control.put(raw(field, value)), field)


@pytest.mark.parametrize(
    "body",
    [
        raw("zone", b'"\xed\xa0\x80"'),
        raw("zone", b'"\xff"'),
        raw("zone", b'"\\ud800"'),
        raw("service", b'"a\\udfffb"'),
        raw("state", b'"' + 2_000 * b"\\ud800" + b'"'),
        raw("address", b'"\\ud800:80"'),
        raw("more", b'{"\\ud800": 1}'),
        raw("more", b'[["\\ud800"]]'),
        raw("zone", b'"z", "\\ud800": "z"'),
        json.dumps(HEARTBEAT).encode("utf-16"),
        json.dumps(HEARTBEAT).encode("utf-32-le"),
        raw("warmupLeftMs", b"NaN"),
        raw("warmupLeftMs", b"Infinity"),
        raw("warmupLeftMs", b"-Infinity"),
        raw("more", b"NaN"),
        raw("sequence", b"1" * 5_000),
        raw("more", b"[" * 33 + b"]" * 33),
        raw("more", b"[" * 500 + b"]" * 500),
        raw("zone", b"[" * 500 + b"]" * 500),
        raw("zone", b'{"a":' * 500 + b"1" + b"}" * 500),
        raw("zone", b"[" * 30_000 + b"]" * 30_000),
        raw("zone", b'{"a":' * 10_000 + b"1" + b"}" * 10_000),
        b"[" * 60_000,
        b'{"a":' * 10_000,
        b" " * 65_537,
        b"",
        b"\xff",
        without(HEARTBEAT, "zone"),
    ],
    ids=lambda body: ascii(body)[:10],
)
def test_a_body_that_cannot_be_read_is_refused(control, body):
    assert_refused(control, control.put(body), "malformed")


# Guards against an id that is sent in a header field of every request and can't be encoded there.
@pytest.mark.parametrize(
    "name",
    ["%ED%A0%80", "%FF", "%C3%BC", "i%0D%0AX-More:%201", "i%00", "i%20j", "i%0A", "i" * 129],
    ids=lambda name: name[:24],
)
def test_an_id_that_cannot_be_sent_in_a_header_field_is_refused(control, name):
    path = f"/api/instances/{name}"
    assert_refused(control, control.put(encode(HEARTBEAT), path), "id")
    response = control.delete(path)
    assert response.status_code == 400 and "id" in response.json["error"]
    assert control.deregistered == [] and control.refusals("invalid_id") == 2


@pytest.mark.parametrize(
    ("body", "born"),
    [(b"", None), (b"{}", None), (b'{"born": null}', None), (b'{"born": 7, "more": 1}', 7)],
)
def test_an_upstream_is_deregistered_by_its_id_and_the_start_it_names(control, body, born):
    assert control.delete(PATH, body).status_code == 200
    assert control.deregistered == [("i-1", born)]


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (b'{"born": "7"}', "invalid_born"),
        (b'{"born": -1}', "invalid_born"),
        (b'{"born": 1.5}', "invalid_born"),
        (b"[7]", "malformed"),
        (b"born=7", "malformed"),
    ],
)
def test_a_departure_that_names_no_usable_start_is_refused(control, body, reason):
    assert control.delete(PATH, body).status_code == 400
    assert control.deregistered == [] and control.refusals(reason) == 1


# Guards against a writer of odd heartbeats whose log lines crowd out those of others.
def test_refusals_are_logged_once_a_second_in_short_lines(control, monkeypatch):
    lines = []
    monkeypatch.setattr(
        "fulmarhold.platform.interfaces.log.warning",
        lambda message, *arguments: lines.append(message.format(*arguments)),
    )
    refusing = Control()
    for _ in range(20):
        refusing.put(raw("state", b'"' + b"r" * 60_000 + b'"'), "/api/instances/" + "n" * 2_000)
    assert len(lines) == 1 and len(lines[0]) < 1_000
    refusing.clock.advance(1_000)
    refusing.put(b"")
    assert "19 more omitted" in lines[1]


def assert_refused(control, response, reason):
    """Check that nothing was recorded, and that the refusal is short, named and counted."""
    assert response.status_code == 400
    assert len(response.content) < MAX_RESPONSE_BYTES
    assert control.recorded == []
    if reason == "malformed":
        assert control.refusals("malformed") == 1
    else:
        assert reason in response.json["error"]
        assert control.refusals(f"invalid_{reason}") == 1


def test_what_is_recorded_can_be_stored_and_fed(control):
    control.put(encode(HEARTBEAT, zone="ü" * 256, slots=1_000_000, born=2**53, sequence=2**53))
    [statement] = control.recorded
    assert unpack_statements(pack_statements([statement], ())) == ((statement,), ())
    assert msgpack.unpackb(msgpack.packb(vars(statement))) == vars(statement)


# Guards against a control instance that reads bodies until it has no memory left.
def test_a_heartbeat_for_which_there_is_no_memory_is_refused_as_not_taken(control):
    others = control.memory.open_fixed(Holder.REQUEST, ("caller other",))
    others.grow(750_000)
    refused = control.put(encode(HEARTBEAT))
    assert refused.status_code == 503
    assert 0 < float(refused.headers["retry-after"]) < 1
    assert control.recorded == []
    others.release()
    assert control.put(encode(HEARTBEAT)).status_code == 200
    assert control.memory.held == 0


def test_a_body_with_too_many_values_is_refused(control):
    with pytest.raises(MalformedInput, match=f"more than {MAX_VALUES} values"):
        read_strict_object(b"[" * (MAX_VALUES + 1))
    body = encode(HEARTBEAT, extra=[0] * 1_000)
    assert control.put(body).status_code == 200
