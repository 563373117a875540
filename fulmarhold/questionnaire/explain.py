"""Explains which answers a setting is derived from."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from fulmarhold.errors import FulmarholdError
from fulmarhold.questionnaire.derive import (
    Derivation,
    derive_configuration,
    service_derivations,
    timing_derivations,
)
from fulmarhold.registry import nearest_hint

if TYPE_CHECKING:
    from fulmarhold.questionnaire.schema import Questionnaire


@dataclass(frozen=True)
class Explanation:
    """The value of a setting, the answers that it is derived from and the reason."""

    setting: str
    value: Any
    answers: tuple[str, ...]
    reason: str


def explain_setting(questionnaire: Questionnaire, setting: str) -> Explanation:
    """Explain `timings.NAME` or `services.SERVICE.NAME`; raises `FulmarholdError` for any other."""
    configuration = derive_configuration(questionnaire)
    match setting.split("."):
        case ["timings", name]:
            derivation = timing_derivations.find(name)
            return _explanation(setting, getattr(configuration.timings, name), derivation)
        case ["services", service, name]:
            if service not in configuration.services:
                hint = nearest_hint(service, configuration.services)
                raise FulmarholdError(f"unknown service {service!r}{hint}", step="explain")
            derivation = service_derivations.find(name)
            value = getattr(configuration.services[service], name)
            return _explanation(setting, value, derivation)
    raise FulmarholdError(
        f"unknown setting {setting!r}; use timings.NAME or services.SERVICE.NAME", step="explain"
    )


def _explanation(setting: str, value: Any, derivation: Derivation) -> Explanation:
    answers = derivation.answers or ("none: the same for every deployment",)
    return Explanation(setting, value, answers, derivation.reason)
