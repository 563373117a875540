"""Runs a short soak with a fixed seed, and checks the documents that the soak writes."""

from __future__ import annotations

import json

import pytest

from fulmarhold.errors import MalformedInput
from fulmarhold.membership.statements import READY, UpstreamStatement
from fulmarhold.platform.documents import decode_configuration, decode_heartbeat
from fulmarhold.platform.encoding import write_configuration, write_heartbeat, write_settings
from fulmarhold.platform.settings import decode_settings
from fulmarhold.routes.configuration import (
    Route,
    RouteConfiguration,
    UpstreamService,
    WeightedService,
)
from fulmarhold.soak.faults import EVACUATE, faults
from fulmarhold.soak.restarts import cut_first_start_short
from fulmarhold.soak.run import PLANNED_FAULTS, plan_faults, plan_first_fault, run_soak

DURATION = 8_000.0
# An evacuation is planned work too, which is drawn apart from the others.
PLANNED = {*PLANNED_FAULTS, EVACUATE}


# Seed 27 plans nothing but planned work, and lost requests on 2cd6338.
@pytest.mark.parametrize("seed", [11, 27])
def test_short_soak_violates_no_guarantee(seed, tmp_path):
    result = run_soak(seed, DURATION, folder=tmp_path)
    assert result.violations == (), str(result)
    assert result.requests > 200 and sum(result.faults.values()) > 3


def test_a_seed_always_plans_the_same_faults_within_its_duration():
    plans = {seed: plan_faults(seed, DURATION) for seed in range(100)}
    assert plans == {seed: plan_faults(seed, DURATION) for seed in range(100)}
    for plan in plans.values():
        moments = [moment for moment, _ in plan]
        assert moments == sorted(moments)
        assert all(0 <= moment < DURATION for moment in moments)
    assert {name for plan in plans.values() for _, name in plan} == set(faults)
    planned_only = [plan for plan in plans.values() if {name for _, name in plan} <= PLANNED]
    assert 20 <= len(planned_only) <= 50


def test_a_seed_always_plans_the_same_fault_for_the_first_start():
    planned = [plan_first_fault(seed) for seed in range(100)]
    assert planned == [plan_first_fault(seed) for seed in range(100)]
    assert set(planned) == {None, cut_first_start_short}


def test_documents_written_by_the_soak_are_decoded_to_the_same_values():
    statement = UpstreamStatement("i", 7, 3, READY, "s1", "127.0.0.1:80", "a", 4)
    services = {"s1": UpstreamService("s1", 9), "s2": UpstreamService("s2", 9)}
    one = (WeightedService("s1", 1.0),)
    split = (WeightedService("s1", 1.0), WeightedService("s2", 2.0))
    routes = (
        Route("r1", "h", "/one/", True, 10.0, 5.0, 1, 2, one),
        Route("r2", "h", "/two/", False, 10.0, 5.0, 1, 1, split),
        Route("r3", "h", "/all/", True, 10.0, 5.0, 0, 2, (), ("s1", "s2"), 5, 0.5),
    )
    configuration = RouteConfiguration(4, routes, services)
    assert decode_heartbeat("i", json.dumps(write_heartbeat(statement)).encode()) == statement
    document = json.dumps(write_configuration(configuration)).encode()
    assert decode_configuration(document) == configuration
    settings = write_settings(
        "n", "entry", "127.0.0.1", "a", ("127.0.0.2",), "/d", 300.0, is_first_start=True
    )
    assert decode_settings(settings, "settings").caller_endpoint == "127.0.0.1:8226"
    with pytest.raises(MalformedInput):
        decode_heartbeat("i", document[:-1])
