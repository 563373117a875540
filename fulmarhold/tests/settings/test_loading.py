"""Problems in settings files and questionnaires are reported together, with path and hint."""

from __future__ import annotations

from pathlib import Path

import pytest
import yaml

from fulmarhold.conftest import small_questionnaire
from fulmarhold.questionnaire.schema import Questionnaire
from fulmarhold.questionnaire.template import TEMPLATE
from fulmarhold.settings.loading import InvalidSettings, load_document, load_file
from fulmarhold.settings.processes import ControlSettings, EntrySettings

EXAMPLES = Path(__file__).parents[3] / "examples"
ENTRY = {
    "name": "entry-1",
    "data_centre": "a",
    "address": "127.0.0.1",
    "caller_port": 8000,
    "peer_port": 8001,
    "control": ["127.0.0.1:7000"],
}


def problems(document, schema):
    with pytest.raises(InvalidSettings) as caught:
        load_document(document, schema, "file")
    return {problem.path: problem.sentence for problem in caught.value.problems}


def test_a_valid_file_is_loaded():
    settings = load_document(ENTRY, EntrySettings, "file")
    assert (settings.caller_endpoint, settings.log.level) == ("127.0.0.1:8000", "info")


@pytest.mark.parametrize(
    ("change", "path", "words"),
    [
        ({"caler_port": 1}, "caler_port", "did you mean 'caller_port'"),
        ({"log": {"levle": "info"}}, "log.levle", "did you mean 'level'"),
        ({"log": {"level": "loud"}}, "log.level", "'debug', 'info'"),
        ({"caller_port": 0}, "caller_port", "greater than or equal to 1"),
        ({"caller_port": "many"}, "caller_port", "integer"),
        ({"address": "localhost"}, "address", "must be an IP address"),
        ({"control": []}, "control", "at least 1"),
        ({"control": ["127.0.0.1"]}, "control.0", "must be"),
        ({"control": ["127.0.0.1:99999"]}, "control.0", "IP:port"),
        ({"name": "Entry 1"}, "name", "pattern"),
    ],
)
def test_an_invalid_option_is_reported_with_its_path(change, path, words):
    found = problems({**ENTRY, **change}, EntrySettings)
    assert words in found[path]


def test_all_problems_are_reported_together():
    found = problems({"name": "x", "addres": "127.0.0.1"}, ControlSettings)
    missing = {"data_centre", "address", "operator_port", "peer_port", "data_folder"}
    assert set(found) == {*missing, "addres"}


@pytest.mark.parametrize(
    ("text", "words"),
    [("a: [", "not valid YAML"), ("- a", "must be a mapping"), ("", "must be a mapping")],
)
def test_a_file_that_is_not_a_mapping_is_rejected(tmp_path, text, words):
    path = tmp_path / "settings.yml"
    path.write_text(text)
    with pytest.raises(InvalidSettings, match=words):
        load_file(path, EntrySettings)


def test_a_missing_file_is_named_in_the_error(tmp_path):
    with pytest.raises(InvalidSettings, match=r"none\.yml"):
        load_file(tmp_path / "none.yml", EntrySettings)


@pytest.mark.parametrize("name", ["registry", "lysvik"])
def test_the_examples_are_valid(name):
    assert load_file(EXAMPLES / f"{name}.yml", Questionnaire).deployment == name


def test_the_template_is_valid():
    load_document(yaml.safe_load(TEMPLATE), Questionnaire, "template")


@pytest.mark.parametrize(
    ("change", "words"),
    [
        ({"control_instances": 4}, "must be odd"),
        ({"entries": 0}, "greater than or equal to 1"),
        ({"services": []}, "at least 1"),
    ],
)
def test_an_invalid_questionnaire_is_rejected(change, words):
    with pytest.raises(InvalidSettings, match=words):
        small_questionnaire(**change)
