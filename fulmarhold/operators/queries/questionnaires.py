"""Loads and compares questionnaires and configurations."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarhold.configuration import configuration_from_document
from fulmarhold.questionnaire.compare import compare_configurations
from fulmarhold.questionnaire.derive import derive_configuration
from fulmarhold.questionnaire.schema import Questionnaire
from fulmarhold.settings.loading import load_file, read_yaml

if TYPE_CHECKING:
    from pathlib import Path

    from fulmarhold.configuration import Configuration
    from fulmarhold.questionnaire.compare import Difference


def load_questionnaire(path: Path) -> Questionnaire:
    """Return the validated questionnaire; raises `InvalidSettings` with every problem."""
    return load_file(path, Questionnaire)


def derive_from_file(path: Path) -> Configuration:
    """Return the configuration derived from a questionnaire file."""
    return derive_configuration(load_questionnaire(path))


def load_configuration(path: Path) -> Configuration:
    """Return a configuration from a file that `fulmarhold generate` wrote."""
    return configuration_from_document(read_yaml(path), str(path))


def find_differences(
    accepted: dict[str, object] | None, configuration: Configuration
) -> tuple[Difference, ...]:
    """Return the differences between a configuration and the accepted one, if any."""
    before = configuration_from_document(accepted, "accepted configuration") if accepted else None
    return compare_configurations(before, configuration)
