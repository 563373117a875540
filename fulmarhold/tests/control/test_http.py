"""The operators' HTTP interface: malformed input, and instances outside of a cluster."""

from __future__ import annotations

import pytest
from falcon.testing import TestClient

from fulmarhold.configuration import configuration_to_document
from fulmarhold.conftest import small_questionnaire
from fulmarhold.control.daemon import ControlDaemon
from fulmarhold.control.http import MAX_CONFIGURATION_BYTES
from fulmarhold.control.identifiers import new_identifier
from fulmarhold.questionnaire.derive import derive_configuration
from fulmarhold.settings.processes import ControlSettings

CONFIGURATION = configuration_to_document(derive_configuration(small_questionnaire()))
ACCEPT = {
    "command_id": new_identifier(),
    "operator": "anna",
    "base_revision": 0,
    "configuration": CONFIGURATION,
}


@pytest.fixture
def client(tmp_path):
    """A test client of an instance that belongs to no cluster and opens no sockets."""
    settings = ControlSettings("control-1", "a", "127.0.0.1", 7000, 7001, str(tmp_path))
    return TestClient(ControlDaemon(settings)._application)


@pytest.mark.parametrize(
    ("path", "body", "message_start"),
    [
        ("/commands/acept", ACCEPT, "unknown command 'acept'"),
        ("/commands/accept", {**ACCEPT, "operator": 7}, "operator: must be given as str"),
        ("/commands/accept", {**ACCEPT, "base_revision": "0"}, "base_revision: must be given"),
        ("/commands/accept", {**ACCEPT, "base_revision": True}, "base_revision: must be given"),
        ("/commands/accept", {**ACCEPT, "configuration": []}, "configuration: must be given"),
        ("/commands/accept", {}, "command_id: must be given"),
        ("/commands/form", {"cluster": "c"}, "voters: must be given"),
        ("/commands/admit", {"identity": "x"}, "endpoint: must be given"),
        ("/commands/remove", {}, "identity: must be given"),
    ],
)
def test_a_malformed_command_is_refused_and_the_error_names_its_field(
    client, path, body, message_start
):
    response = client.simulate_post(path, json=body)
    assert response.status_code == 400
    assert response.json["error"].startswith(message_start)


@pytest.mark.parametrize(
    ("body", "status"),
    [("{", 400), ("[]", 400), ("x" * (MAX_CONFIGURATION_BYTES + 1), 413)],
    ids=["no JSON", "no object", "too large"],
)
def test_a_body_that_is_not_a_command_is_refused(client, body, status):
    assert client.simulate_post("/commands/accept", body=body).status_code == status


def test_an_invalid_configuration_is_refused_with_every_problem(client):
    document = {**CONFIGURATION, "entris": 3, "entries": 0, "deployment": 5}
    response = client.simulate_post("/commands/accept", json={**ACCEPT, "configuration": document})
    assert response.status_code == 422
    paths = {problem.partition(":")[0] for problem in response.json["problems"]}
    assert paths == {"entris", "entries", "deployment"}


@pytest.mark.parametrize("command", ["accept", "admit", "remove"])
def test_an_instance_outside_of_a_cluster_refuses_commands(client, command):
    body = {**ACCEPT, "identity": "x", "endpoint": "127.0.0.1:1"}
    response = client.simulate_post(f"/commands/{command}", json=body)
    assert (response.status_code, response.json["error"]) == (503, "NotFormed")


def test_an_instance_does_not_form_a_cluster_that_excludes_it(client):
    body = {"cluster": "c", "voters": {"other": "127.0.0.1:1"}}
    response = client.simulate_post("/commands/form", json=body)
    assert response.status_code == 409
    assert "do not include this instance" in response.json["error"]


def test_queries_outside_of_a_cluster_are_marked_as_stale(client):
    for name in ("status", "configuration"):
        assert client.simulate_get(f"/queries/{name}").json["stale"] is True
    assert client.simulate_get("/queries/identity").json["cluster"] == ""
    assert client.simulate_get("/queries/else").status_code == 400
    assert client.simulate_get("/health").status_code == 503
