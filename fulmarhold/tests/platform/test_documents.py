"""Documents from the platform are either decoded completely or rejected with an error."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarhold.accounts.bucket import QuotaBound
from fulmarhold.accounts.keys import digest_of_key
from fulmarhold.errors import FulmarholdError
from fulmarhold.limits.cold import WarmUpBound
from fulmarhold.limits.memory import MEBIBYTE
from fulmarhold.membership.statements import DRAINING, READY
from fulmarhold.platform.documents import (
    decode_configuration,
    decode_heartbeat,
    decode_new_configuration,
    pack_document,
    unpack_document,
)
from fulmarhold.platform.settings import decode_settings

CONFIGURATION: dict[str, Any] = {
    "version": 7,
    "routes": [
        {
            "name": "r1",
            "host": "h.example",
            "pathPrefix": "/a/",
            "routeType": "idempotent",
            "timeoutMs": 1200,
            "targetLatencyMs": 112,
            "priority": 1,
            "shardServices": ["s1", "s2"],
            "maxAttempts": 2,
            "topK": 10,
            "minShardShare": 0.89,
        },
        {
            "name": "r2",
            "host": "h.example",
            "pathPrefix": "/b/",
            "routeType": "non_idempotent",
            "timeoutMs": 4000,
            "trafficSplit": [{"service": "s1", "weight": 3}, {"service": "s2", "weight": 1}],
        },
    ],
    "services": [
        {"name": "s1", "healthPath": "/health", "maxConnections": 25, "protocol": "h1"},
        {"name": "s2", "maxConnections": 41, "tls": False, "warmupS": 2.5, "warmupPerS": 20},
    ],
    "limits": {"maxHeaderBytes": 1, "maxBodyBytes": 2, "headerTimeoutMs": 3, "idleTimeoutMs": 4},
}
HEARTBEAT = {
    "service": "s1",
    "address": "10.0.0.9:8080",
    "zone": "a",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmupLeftMs": 100,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
SETTINGS = {
    "nodeName": "edge-a-1",
    "ip": "10.1.0.39",
    "zone": "a",
    "bindAddresses": {"front": "10.1.0.39:8226", "readinessAddress": "10.1.0.39:8227"},
    "internalPortRange": [7740, 7755],
    "seeds": ["10.1.0.41:8224", "10.2.0.35:8224"],
    "bootstrap": True,
    "faultTolerance": {"machines": 2},
    "somethingNew": {"x": 1},
}


def encode(document, **changes):
    return json.dumps({**document, **changes}).encode()


def without(document, name):
    return json.dumps({key: value for key, value in document.items() if key != name}).encode()


def test_a_configuration_is_decoded_into_internal_types():
    configuration = decode_configuration(encode(CONFIGURATION))
    scatter, split = configuration.routes
    assert scatter.shards == ("s1", "s2") and scatter.is_idempotent
    assert (scatter.top_records, scatter.least_share) == (10, 0.89)
    assert [(item.service, item.weight) for item in split.services] == [("s1", 3), ("s2", 1)]
    assert not split.is_idempotent and split.most_attempts == 1
    first, second = configuration.services["s1"], configuration.services["s2"]
    assert second.connection_limit == 41
    assert (first.warm_up, first.warm_up_rate) == (0.0, 0.0)
    assert (second.warm_up, second.warm_up_rate) == (2_500.0, 20.0)
    assert configuration.limits.idle_timeout == 4


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        encode(CONFIGURATION)[:-40],
        without(CONFIGURATION, "version"),
        without(CONFIGURATION, "routes"),
        encode(CONFIGURATION, version="7"),
        encode(CONFIGURATION, services=[]),
        encode(CONFIGURATION, routes=[{**CONFIGURATION["routes"][0], "timeoutMs": 0}]),
        encode(CONFIGURATION, routes=[CONFIGURATION["routes"][0]] * 2),
    ],
)
def test_an_invalid_configuration_is_rejected(body):
    with pytest.raises(FulmarholdError):
        decode_configuration(body)


def test_an_unpacked_document_equals_the_packed_one():
    body = encode(CONFIGURATION)
    assert unpack_document(pack_document(body)) == body


def test_a_heartbeat_is_decoded_into_a_statement():
    statement = decode_heartbeat("i-1", encode(HEARTBEAT))
    assert (statement.name, statement.state, statement.data_centre) == ("i-1", READY, "a")
    assert statement.warm_up == 100
    assert decode_heartbeat("i-1", encode(HEARTBEAT, state="draining")).state == DRAINING


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "resting"},
        {"state": None},
        {"service": 5},
        {"service": ""},
        {"address": "nowhere"},
        {"address": "10.0.0.9"},
        {"slots": "2"},
        {"slots": 0},
        {"sequence": 1.5},
        {"sequence": "4"},
        {"zone": 3},
        {"born": "then"},
        {"born": 1.5},
    ],
)
def test_a_heartbeat_with_an_invalid_field_is_rejected(changes):
    with pytest.raises(FulmarholdError):
        decode_heartbeat("i-1", encode(HEARTBEAT, **changes))


@pytest.mark.parametrize("name", sorted(set(HEARTBEAT) - {"born"}))
def test_a_heartbeat_with_a_missing_field_is_rejected(name):
    with pytest.raises(FulmarholdError):
        decode_heartbeat("i-1", without(HEARTBEAT, name))


values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=8), inner),
    max_leaves=6,
)


@settings(max_examples=2_000, deadline=None)
@given(st.sampled_from(sorted(CONFIGURATION)), values)
def test_any_value_in_a_configuration_is_accepted_or_rejected(name, value):
    try:
        decode_configuration(encode(CONFIGURATION, **{name: value}))
    except FulmarholdError as error:
        assert str(error)


@settings(max_examples=2_000, deadline=None)
@given(st.binary(max_size=60) | st.builds(lambda n, v: encode(HEARTBEAT, **{n: v}),
       st.sampled_from(sorted(HEARTBEAT)), values))  # fmt: skip
def test_any_heartbeat_is_accepted_or_rejected(body):
    try:
        statement = decode_heartbeat("i-1", body)
    except FulmarholdError:
        return
    assert statement.state in (READY, DRAINING) and statement.slots > 0


def test_settings_are_decoded_and_unknown_fields_are_ignored():
    decoded = decode_settings(SETTINGS, "settings")
    assert decoded.peer_endpoint == "10.1.0.39:7740"
    assert decoded.seeds == ("10.1.0.41:7740", "10.2.0.35:7740")
    assert decoded.voters == 5 and decoded.is_first_start
    assert decoded.warm_up == WarmUpBound(1.5, 5.0)
    bounds = {"warmupOverage": 1.2, "warmupSlack": 0}
    assert decode_settings({**SETTINGS, "bounds": bounds}, "").warm_up == WarmUpBound(1.2, 0.0)
    assert decoded.quota_bound == QuotaBound(5_000.0, 0.1, 20.0)
    bounds = {"quotaWindowS": 2, "quotaOverage": 0, "quotaSlack": 7}
    decoded = decode_settings({**SETTINGS, "bounds": bounds}, "settings")
    assert decoded.quota_bound == QuotaBound(2_000.0, 0.0, 7.0)


@pytest.mark.parametrize(
    ("changes", "named"),
    [
        ({"seeds": "10.0.0.1:1"}, "seeds"),
        ({"internalPortRange": [1]}, "internalPortRange"),
        ({"bindAddresses": {"front": "x"}}, "front"),
        ({"faultTolerance": {"machines": -1}}, "machines"),
        ({"limits": {"memoryMb": -1}}, "memoryMb"),
        ({"bounds": {"quotaWindowS": 0}}, "quotaWindowS"),
        ({"bounds": {"quotaOverage": -0.1}}, "quotaOverage"),
        ({"bounds": {"quotaSlack": -1}}, "quotaSlack"),
    ],
)
def test_an_error_names_the_invalid_setting(changes, named):
    with pytest.raises(FulmarholdError, match=named):
        decode_settings({**SETTINGS, **changes}, "settings")


@pytest.mark.parametrize(
    ("changes", "mebibytes"),
    [
        ({}, 0),
        ({"limits": None}, 0),
        ({"limits": {"memoryMb": None}}, 0),
        ({"limits": {"memoryMb": 296, "cores": 1}}, 296),
    ],
)
def test_the_memory_limit_may_be_missing(changes, mebibytes):
    decoded = decode_settings({**SETTINGS, **changes}, "settings")
    assert decoded.memory_bytes == mebibytes * MEBIBYTE


@pytest.mark.parametrize(
    ("bounds", "within"),
    [
        ({}, None),
        ({"revokeMs": 4_000}, None),
        ({"strictRevoke": True}, 5_000.0),
        ({"strictRevoke": True, "revokeMs": 2_500}, 2_500.0),
    ],
)
def test_the_bound_on_withdrawn_keys_holds_everywhere_only_if_it_is_strict(bounds, within):
    decoded = decode_settings({**SETTINGS, "bounds": bounds}, "settings")
    assert decoded.revoke_within == within


def with_route(**changes):
    return {**CONFIGURATION, "routes": [{**CONFIGURATION["routes"][0], **changes}]}


def with_service(**changes):
    first, *others = CONFIGURATION["services"]
    return {**CONFIGURATION, "services": [{**first, **changes}, *others]}


ROUTE = CONFIGURATION["routes"][0]
# Configurations that some reader can't read, or that are obeyed in part only.
UNREADABLE = {
    "surrogate": json.dumps(with_route(name="\ud800")).encode(),
    "surrogate bytes": json.dumps(CONFIGURATION).encode().replace(b'"r1"', b'"\xed\xa0\x80"'),
    "not UTF-8": json.dumps(CONFIGURATION).encode().replace(b'"r1"', b'"\xff"'),
    "UTF-16": json.dumps(CONFIGURATION).encode("utf-16"),
    "not a number": json.dumps(with_route(timeoutMs=float("nan"))).encode(),
    "infinity": json.dumps(with_route(timeoutMs=float("inf"))).encode(),
    "overflow": json.dumps(CONFIGURATION).encode().replace(b"1200", b"1e999"),
    "endless timeout": json.dumps(with_route(timeoutMs=10**12)).encode(),
    "version": json.dumps({**CONFIGURATION, "version": 2**64}).encode(),
    "negative version": json.dumps({**CONFIGURATION, "version": -1}).encode(),
    "nesting": json.dumps({**CONFIGURATION, "more": json.loads("[" * 50 + "]" * 50)}).encode(),
    "unknown service beside shards": json.dumps(with_route(service="unknown")).encode(),
    "hosts in two cases": json.dumps(
        {**CONFIGURATION, "routes": [ROUTE, {**ROUTE, "name": "r2", "host": "H.example"}]}
    ).encode(),
    "negative warm-up": json.dumps(with_service(warmupS=-1)).encode(),
    "endless warm-up": json.dumps(with_service(warmupS=10**12)).encode(),
    "negative rate": json.dumps(with_service(warmupPerS=-1)).encode(),
    "no limit": json.dumps({**CONFIGURATION, "limits": {"maxBodyBytes": 0}}).encode(),
}


# Guards against acknowledging a configuration that can't be read back or isn't obeyed as a whole.
@pytest.mark.parametrize("body", UNREADABLE.values(), ids=UNREADABLE)
def test_a_configuration_that_is_not_readable_or_ambiguous_is_refused(body):
    with pytest.raises(FulmarholdError):
        decode_new_configuration(body)


def test_a_configuration_that_is_valid_is_accepted_as_it_is_decoded_later():
    body = json.dumps(CONFIGURATION).encode()
    assert decode_new_configuration(body) == decode_configuration(body)


# Guards against entries that can't apply what an earlier release has accepted.
def test_a_stored_configuration_of_an_earlier_release_is_still_decoded():
    stored = {**with_route(service="unknown"), "limits": {"maxBodyBytes": 0}}
    assert decode_configuration(json.dumps(stored).encode()).version == CONFIGURATION["version"]


ACCOUNT = {"name": "one", "apiKeys": ["secret-1", "secret-1"], "priority": 0, "ratePerS": 2.5}
ACCOUNTS = [ACCOUNT, {"name": "two", "apiKeys": ["secret-2"], "burst": None}]


def test_accounts_are_decoded_without_their_keys():
    route = {**ROUTE, "public": True}
    body = encode(CONFIGURATION, tenants=ACCOUNTS, routes=[route])
    decoded = decode_new_configuration(body)
    first, second = decoded.accounts or ()
    assert (first.name, first.rank, first.rate, first.burst) == ("one", 0, 2.5, 0.0)
    assert (second.name, second.rank, second.rate) == ("two", None, 0.0)
    assert first.key_digests == {digest_of_key(b"secret-1")}
    assert decoded.routes[0].is_public and "secret" not in repr(decoded)
    assert decode_configuration(encode(CONFIGURATION, tenants=[])).accounts == ()
    assert decode_configuration(encode(CONFIGURATION)).accounts is None


# Guards against a key of two accounts, headers that an account's name breaks, and keys in errors.
@pytest.mark.parametrize(
    ("account", "named"),
    [
        ({"name": "three", "apiKeys": ["secret-3", "secret-2"]}, "three.*two"),
        ({"name": "one", "apiKeys": ["secret-3"]}, "one"),
        ({"name": "a\r\nb", "apiKeys": ["secret-3"]}, "name"),
        ({"name": "", "apiKeys": []}, "name"),
        ({"name": "three", "apiKeys": [""]}, "apiKeys"),
        ({"name": "three", "apiKeys": "secret-3"}, "apiKeys"),
        ({"name": "three", "apiKeys": {"secret-3": 1}}, "apiKeys"),
        ({"name": "three", "apiKeys": ["secret-3"], "ratePerS": -1}, "ratePerS"),
        ({"name": "three", "apiKeys": ["secret-3"], "burst": "secret-3"}, "burst"),
    ],
)
def test_accounts_that_are_invalid_are_refused_without_naming_a_key(account, named):
    with pytest.raises(FulmarholdError, match=named) as raised:
        decode_new_configuration(encode(CONFIGURATION, tenants=[*ACCOUNTS, account]))
    assert "secret" not in str(raised.value)


def test_a_damaged_packed_document_is_malformed_input():
    with pytest.raises(FulmarholdError):
        unpack_document(b"\x00" + pack_document(b"{}"))
