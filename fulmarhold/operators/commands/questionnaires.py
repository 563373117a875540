"""Writes questionnaires and the configurations derived from them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import yaml

from fulmarhold.configuration import configuration_to_document
from fulmarhold.errors import FulmarholdError
from fulmarhold.operators.queries.questionnaires import derive_from_file
from fulmarhold.questionnaire.template import TEMPLATE

if TYPE_CHECKING:
    from pathlib import Path


def write_questionnaire(path: Path) -> None:
    """Write the questionnaire template; raises `FulmarholdError` if the file exists."""
    try:
        with path.open("x", encoding="utf-8") as file:
            file.write(TEMPLATE)
    except OSError as error:
        raise FulmarholdError(f"{path} can't be written: {error}", step="init") from error


def write_configuration(questionnaire: Path, output: Path) -> None:
    """Derive the configuration of a questionnaire and write it as YAML."""
    document = configuration_to_document(derive_from_file(questionnaire))
    try:
        output.write_text(yaml.safe_dump(document, sort_keys=False), encoding="utf-8")
    except OSError as error:
        raise FulmarholdError(f"{output} can't be written: {error}", step="generate") from error
