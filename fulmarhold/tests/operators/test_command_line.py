"""The command line: what it prints, its exit codes, and errors without a traceback."""

from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

import pytest

from fulmarhold.fleet.ports import PortAllocator

EXAMPLE = Path(__file__).parents[3] / "examples" / "lysvik.yml"


def run(*arguments, module="fulmarhold"):
    return subprocess.run(
        [sys.executable, "-m", module, *map(str, arguments)],
        capture_output=True,
        text=True,
        check=False,
    )


def test_init_writes_a_questionnaire_that_passes_the_check(tmp_path):
    path = tmp_path / "q.yml"
    assert run("init", path).returncode == 0
    assert run("check", path).stdout == f"{path} is in order\n"
    again = run("init", path)
    assert again.returncode == 1
    assert "File exists" in again.stderr


def test_generate_and_explain():
    assert "connections_per_entry: 4" in run("generate", EXAMPLE).stdout
    explained = run("explain", "services.configurator.replicas", "--questionnaire", EXAMPLE).stdout
    assert explained.startswith("services.configurator.replicas = 3")


@pytest.mark.parametrize(
    ("text", "words"),
    [
        ("deployment: x\nentres: 3\n", "did you mean 'entries'"),
        ("a: [", "not valid YAML"),
    ],
)
def test_a_wrong_questionnaire_is_refused_without_a_traceback(tmp_path, text, words):
    path = tmp_path / "q.yml"
    path.write_text(text)
    result = run("check", path)
    assert result.returncode == 1
    assert words in result.stderr
    assert "Traceback" not in result.stderr


@pytest.mark.parametrize("module", ["fulmarhold.entry", "fulmarhold.control", "fulmarhold.standin"])
def test_a_daemon_with_a_wrong_settings_file_ends_with_every_problem(tmp_path, module):
    path = tmp_path / "settings.yml"
    path.write_text("nme: x\n")
    result = run(path, module=module)
    assert result.returncode == 1
    assert "nme: is not an option" in result.stderr
    assert "address: is required" in result.stderr
    assert "Traceback" not in result.stderr


def test_a_daemon_whose_port_is_in_use_says_so(tmp_path):
    port = PortAllocator().allocate()
    path = tmp_path / "settings.yml"
    path.write_text(
        f"name: e\ndata_centre: a\naddress: 127.0.0.1\ncaller_port: {port}\n"
        f"peer_port: {PortAllocator().allocate() + 50}\ncontrol: ['127.0.0.1:1']\n"
    )
    with socket.create_server(("127.0.0.1", port)):
        result = run(path, module="fulmarhold.entry")
    assert result.returncode == 1
    assert f"port {port} of 127.0.0.1 is in use" in result.stderr


def test_a_query_without_control_says_who_did_not_answer():
    endpoint = PortAllocator().allocate_endpoint()
    result = run("drain", endpoint)
    assert result.returncode == 1
    assert endpoint in result.stderr
