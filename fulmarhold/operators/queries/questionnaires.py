"""Reads questionnaires and configurations."""

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
    """Return the checked questionnaire; raises `InvalidSettings` with every problem."""
    return load_file(path, Questionnaire)


def derive_from_file(path: Path) -> Configuration:
    """Return the configuration that follows from a questionnaire file."""
    return derive_configuration(load_questionnaire(path))


def load_configuration(path: Path) -> Configuration:
    """Return a configuration that was generated into a file."""
    return configuration_from_document(read_yaml(path), str(path))


def find_differences(
    accepted: dict[str, object] | None, configuration: Configuration
) -> tuple[Difference, ...]:
    """Return how a configuration differs from the accepted one."""
    before = configuration_from_document(accepted, "accepted configuration") if accepted else None
    return compare_configurations(before, configuration)
