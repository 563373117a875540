"""Tests of route look-up by host and longest prefix, and of the validation of configurations."""

from __future__ import annotations

from dataclasses import replace

import pytest

from fulmarhold.routes.configuration import (
    Route,
    RouteConfiguration,
    UpstreamService,
    WeightedService,
    check_configuration,
)
from fulmarhold.routes.table import RouteTable
from fulmarhold.settings.loading import InvalidSettings

ROUTE = Route(
    name="r",
    host="shop.example",
    path_prefix="/a/",
    is_idempotent=True,
    timeout=1_000.0,
    target_latency=100.0,
    rank=1,
    most_attempts=2,
    services=(WeightedService("parts", 1.0),),
)


def configuration(*routes: Route) -> RouteConfiguration:
    return RouteConfiguration(1, routes, {"parts": UpstreamService("parts", 10)})


def test_longest_prefix_of_the_host_wins():
    inner = replace(ROUTE, name="inner", path_prefix="/a/b/")
    elsewhere = replace(ROUTE, name="elsewhere", host="other.example", path_prefix="/a/b/c/")
    table = RouteTable(configuration(ROUTE, inner, elsewhere))
    cases = {
        ("shop.example", "/a/x"): "r",
        ("shop.example", "/a/b/c/d"): "inner",
        ("SHOP.example:8080", "/a/b/"): "inner",
        ("other.example", "/a/b/c/"): "elsewhere",
    }
    for (host, path), name in cases.items():
        route = table.find(host, path)
        assert route is not None and route.name == name, (host, path)


@pytest.mark.parametrize(
    ("host", "path"),
    [("shop.example", "/"), ("shop.example", "/ab"), ("shop.example", "/a"), ("", "/a/x")],
)
def test_paths_without_a_matching_prefix_have_no_route(host, path):
    assert RouteTable(configuration(ROUTE)).find(host, path) is None


@pytest.mark.parametrize(
    ("routes", "problem"),
    [
        ((replace(ROUTE, timeout=0.0),), "timeout"),
        ((ROUTE, replace(ROUTE, name="again")), "defined 2 times"),
        ((replace(ROUTE, services=(WeightedService("nobody", 1.0),)),), "unknown service"),
        ((replace(ROUTE, shards=("parts", "nobody")),), "unknown service"),
        ((replace(ROUTE, services=(WeightedService("parts", 0.0),)),), "add up to zero"),
    ],
)
def test_invalid_configurations_are_rejected(routes, problem):
    with pytest.raises(InvalidSettings, match=problem):
        check_configuration(configuration(*routes))
