"""Derived settings: invariants for every questionnaire, explanations and differences."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from fulmarhold.configuration import configuration_from_document, configuration_to_document
from fulmarhold.conftest import small_questionnaire
from fulmarhold.errors import FulmarholdError
from fulmarhold.membership.running import CONFIRMATION_LEASE
from fulmarhold.questionnaire.compare import compare_configurations
from fulmarhold.questionnaire.derive import (
    CONFIGURATION_AGE_LIMIT_MS,
    UPSTREAM_REMOVAL_LIMIT_MS,
    derive_configuration,
    service_derivations,
    timing_derivations,
)
from fulmarhold.questionnaire.explain import explain_setting


@given(
    entries=st.integers(1, 1_000),
    connections=st.integers(1, 1_000),
    slots=st.integers(1, 100),
    shards=st.integers(1, 300),
    replicas=st.integers(1, 5),
)
def test_derived_settings_are_consistent_for_every_questionnaire(
    entries, connections, slots, shards, replicas
):
    answers = small_questionnaire()
    service = {
        "name": "s",
        "shards": shards,
        "servers": shards * replicas,
        "slots": slots,
        "connections": connections,
        "connection_cost_ms": 6,
        "priority": "latency",
        "urgency": "normal",
        "deadline_ms": 100,
        "least_coverage": 0.9,
        "requests": [{"name": "r", "idempotent": True}],
    }
    answers = small_questionnaire(entries=entries, services=[service])
    configuration = derive_configuration(answers)
    derived = configuration.services["s"]
    share = derived.connections_per_entry
    assert share * entries <= connections or share == 1
    assert 0 < derived.warm_connections <= share
    assert derived.admission_limit >= 1
    document = configuration_to_document(configuration)
    assert configuration_from_document(document, "again") == configuration


def test_leases_stay_below_the_guaranteed_limits():
    timings = derive_configuration(small_questionnaire()).timings
    assert timings.announcement_lease_ms + timings.poll_lease_ms < UPSTREAM_REMOVAL_LIMIT_MS
    assert 3 * timings.announcement_period_ms < timings.announcement_lease_ms
    assert 3 * timings.poll_period_ms < timings.poll_lease_ms
    assert timings.confirmation_lease_ms <= CONFIRMATION_LEASE < CONFIGURATION_AGE_LIMIT_MS


def test_every_setting_can_be_explained():
    questionnaire = small_questionnaire()
    names = [f"timings.{name}" for name in timing_derivations]
    names += [f"services.lookup.{name}" for name in service_derivations]
    for name in names:
        explanation = explain_setting(questionnaire, name)
        assert explanation.reason
        assert explanation.answers


@pytest.mark.parametrize(
    ("setting", "message"),
    [
        ("services.lokup.slots", "did you mean 'lookup'"),
        ("services.lookup.slot", "did you mean 'slots'"),
        ("timings.poll", "unknown timing"),
        ("else", "use timings.NAME"),
    ],
)
def test_an_unknown_setting_gets_a_hint(setting, message):
    with pytest.raises(FulmarholdError, match=message):
        explain_setting(small_questionnaire(), setting)


def test_differences_name_each_setting():
    before = derive_configuration(small_questionnaire())
    after = derive_configuration(small_questionnaire(entries=5))
    changed = {item.setting for item in compare_configurations(before, after)}
    assert {"entries", "services.lookup.connections_per_entry"} <= changed
    assert compare_configurations(before, before) == ()
