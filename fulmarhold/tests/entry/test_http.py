"""HTTP API of an entry: invalid input is refused with a reason, and counted."""

from __future__ import annotations

from dataclasses import asdict, replace

import pytest
from falcon.testing import TestClient

from fulmarhold.clock import Clock
from fulmarhold.configuration import configuration_to_document
from fulmarhold.conftest import small_questionnaire
from fulmarhold.control.identifiers import new_identifier
from fulmarhold.control.messages import RosterEntry
from fulmarhold.entry.daemon import EntryDaemon
from fulmarhold.membership.records import UpstreamRecord
from fulmarhold.questionnaire.derive import derive_configuration
from fulmarhold.settings.processes import EntrySettings
from fulmarhold.web.serving import LARGEST_BODY_BYTES

SETTINGS = EntrySettings("entry-1", "a", "127.0.0.1", 8000, 8001, ("127.0.0.1:1",))
OWN = RosterEntry("entry-1", "a", "127.0.0.1:8000", "127.0.0.1:8001")
DEADLINE = {"Fulmarhold-Deadline-Ms": "200"}
RECORD = UpstreamRecord("lookup", 0, "l", 4, (1,), "127.0.0.1:9", 1, 1, 4, 10, "serving")
SEARCH = "/query/lookup/search"
REDEEM = "/query/lookup/redeem"


@pytest.fixture
def daemon():
    """An entry with a confirmed configuration that opens no ports."""
    daemon = EntryDaemon(SETTINGS)
    document = configuration_to_document(derive_configuration(small_questionnaire()))
    daemon.running.apply(1, 1, document, (OWN,))
    daemon.running.confirm_by_control(1, Clock().now())
    return daemon


@pytest.fixture
def client(daemon):
    return TestClient(daemon._application)


def announce(client, token="", **changes):
    body = {"upstream": asdict(replace(RECORD, **changes)), "token": token}
    return client.simulate_post("/announce", json=body)


@pytest.mark.parametrize(
    ("path", "headers", "body", "status", "reason"),
    [
        ("/query/lokup/search", DEADLINE, "", 400, "unknown_service"),
        ("/query/lookup/find", DEADLINE, "", 400, "unknown_request_type"),
        (SEARCH, {}, "", 400, "deadline_missing"),
        (SEARCH, {"Fulmarhold-Deadline-Ms": "soon"}, "", 400, "deadline_missing"),
        (SEARCH, {"Fulmarhold-Deadline-Ms": "inf"}, "", 400, "deadline_missing"),
        (SEARCH, {"Fulmarhold-Deadline-Ms": "0"}, "", 503, "deadline_past"),
        (SEARCH, {"Fulmarhold-Deadline-Ms": "-5"}, "", 503, "deadline_past"),
        (SEARCH, {"Fulmarhold-Deadline-Ms": "0.9"}, "", 503, "deadline_too_short"),
        (SEARCH, DEADLINE, "x" * (LARGEST_BODY_BYTES + 1), 413, "body_too_large"),
        (
            SEARCH,
            {**DEADLINE, "Fulmarhold-Request-Id": "a;b"},
            "",
            400,
            "malformed_request",
        ),
        (
            REDEEM,
            {**DEADLINE, "Fulmarhold-Shard-Key": "x" * 300},
            "",
            400,
            "malformed_request",
        ),
        (SEARCH, DEADLINE, "", 503, "layout_unknown"),
        (REDEEM, DEADLINE, "", 400, "key_missing"),
        (REDEEM, {**DEADLINE, "Idempotency-Key": "mine"}, "", 400, "key_invalid"),
    ],
)
def test_an_invalid_request_is_not_run_and_counted_by_reason(
    daemon, client, path, headers, body, status, reason
):
    response = client.simulate_post(path, headers=headers, body=body)
    assert response.status_code == status
    assert (response.json["outcome"], response.json["reason"]) == ("not_run", reason)
    label = "unknown" if reason == "unknown_service" else "lookup"
    assert daemon.counters.value("not_run", service=label, reason=reason) == 1


def test_with_too_few_live_shards_the_query_is_not_run(client):
    announce(client, announce(client).json["token"])
    response = client.simulate_post(SEARCH, headers=DEADLINE)
    assert response.json["reason"] == "coverage_unreachable"


def test_without_control_a_redemption_is_not_run(client):
    announce(client, announce(client).json["token"])
    headers = {**DEADLINE, "Idempotency-Key": new_identifier()}
    response = client.simulate_post(REDEEM, headers=headers)
    assert response.json["reason"] == "claim_unavailable"


def test_an_entry_that_knows_no_configuration_runs_nothing():
    client = TestClient(EntryDaemon(SETTINGS)._application)
    response = client.simulate_post(SEARCH, headers=DEADLINE)
    assert response.json["reason"] == "configuration_unknown"
    assert client.simulate_get("/health").status_code == 503


def test_an_announcement_is_held_only_with_the_token_of_an_earlier_reply(client):
    first = announce(client).json
    assert not first["is_held"]
    assert announce(client, first["token"]).json["is_held"]


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"service": "No Name"}, "upstream.service"),
        ({"shard": -1}, "upstream.shard"),
        ({"shard": 4}, "upstream.shard"),
        ({"address": "example:80"}, "upstream.address"),
        ({"state": "asleep"}, "upstream.state"),
        ({"versions": ("x",)}, "upstream.versions.0"),
        ({"versions": tuple(range(17))}, "upstream.versions"),
        ({"layout": "a;b"}, "upstream.layout"),
        ({"slots": 0}, "upstream.slots"),
        ({"address": "::1%lo:80"}, "upstream.address"),
        ({"address": "127.0.0.1:99999"}, "upstream.address"),
        ({"incarnation": 2**64}, "upstream.incarnation"),
        ({"sequence": 2**64}, "upstream.sequence"),
        ({"versions": (2**64,)}, "upstream.versions.0"),
        ({"versions": (-(2**64),)}, "upstream.versions.0"),
        ({"load": float("inf")}, "upstream.load"),
        ({"load": float("nan")}, "upstream.load"),
    ],
)
def test_a_malformed_announcement_is_refused_with_the_name_of_the_field(client, changes, path):
    response = announce(client, **changes)
    assert response.status_code == 400
    assert response.json["error"].startswith(path)


@pytest.mark.parametrize("body", ["", "[]", "{", '{"upstream": 1}', '{"else": 1}', "x" * 20_000])
def test_a_body_that_is_no_announcement_is_refused_and_counted(daemon, client, body):
    response = client.simulate_post("/announce", body=body)
    assert response.status_code in (400, 413)
    assert daemon.counters.value("announcement_refusals", reason="malformed") == 1


def test_callers_get_addresses_and_their_cache_time(daemon, client):
    assert client.simulate_get("/instances").json["addresses"] == []
    daemon.exchange.state = "serving"
    answer = client.simulate_get("/instances?service=lookup&data_centre=a").json
    assert answer["addresses"] == ["127.0.0.1:8000"]
    assert answer["keep_ms"] > 0
    daemon.exchange.state = "leaving"
    assert client.simulate_get("/instances").json["addresses"] == []


def test_addresses_for_an_unknown_service_are_refused(client):
    response = client.simulate_get("/instances?service=lokup")
    assert response.status_code == 400
    assert "service" in response.json["error"]


def test_an_entry_is_healthy_only_while_it_serves(daemon, client):
    for state, status in [("starting", 503), ("serving", 200), ("leaving", 503)]:
        daemon.exchange.announce_state(state)
        assert client.simulate_get("/health").status_code == status


def test_metrics_are_exposed(client):
    assert "fulmarhold_entry_revision 1.0" in client.simulate_get("/metrics").text
