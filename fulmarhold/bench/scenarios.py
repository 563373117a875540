"""Scenarios of the policy benchmark: upstream faults and load conditions."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.fleet.fleet import Fleet

STRAGGLE_SHARE = 0.02
STRAGGLE_FACTOR = 20.0
SLOW_FACTOR = 8.0
OVERLOAD_FACTOR = 1.5
COLD_DURATION: Milliseconds = 3_000.0
DISTURBANCE_DURATION: Milliseconds = 2_500.0


@dataclass(frozen=True)
class Scenario:
    """A fault or load condition that is applied to the upstreams of one service.

    `prepare` runs before the load starts, `disturb` concurrently with the measured load.
    """

    name: str
    prepare: Callable[[Fleet, list[str]], None]
    disturb: Callable[[Fleet, list[str]], None]
    load_factor: float = 1.0


scenarios: Registry[Scenario] = Registry("scenario")


def _do_nothing(_: Fleet, __: list[str]) -> None:
    """Leave the upstreams unchanged."""


def _register_scenario(
    name: str, prepare: Callable[[Fleet, list[str]], None] = _do_nothing, load_factor: float = 1.0
) -> Callable[[Callable[[Fleet, list[str]], None]], Callable[[Fleet, list[str]], None]]:
    def decorate(
        disturb: Callable[[Fleet, list[str]], None],
    ) -> Callable[[Fleet, list[str]], None]:
        scenarios.register(name)(Scenario(name, prepare, disturb, load_factor))
        return disturb

    return decorate


def _set_behaviour(**behaviour: float) -> Callable[[Fleet, list[str]], None]:
    def prepare(fleet: Fleet, addresses: list[str]) -> None:
        fleet.command("behave", addresses, **behaviour)

    return prepare


def _slow_first_replicas(fleet: Fleet, addresses: list[str]) -> None:
    fleet.command("behave", _first_replicas(fleet, addresses), slow_factor=SLOW_FACTOR)


def _slow_with_false_load_reports(fleet: Fleet, addresses: list[str]) -> None:
    first_replicas = _first_replicas(fleet, addresses)
    fleet.command("behave", first_replicas, slow_factor=SLOW_FACTOR, reported_load=0.0)


_register_scenario("healthy")(_do_nothing)
_register_scenario(
    "stragglers", _set_behaviour(straggle_share=STRAGGLE_SHARE, straggle_factor=STRAGGLE_FACTOR)
)(_do_nothing)
_register_scenario("one slow replica a shard", _slow_first_replicas)(_do_nothing)
_register_scenario("load reports that lie", _slow_with_false_load_reports)(_do_nothing)
_register_scenario(
    "links with delay and loss",
    _set_behaviour(network_ms=4.0, network_spread_ms=2.0, lose_response_share=0.002),
)(_do_nothing)
_register_scenario("overload", load_factor=OVERLOAD_FACTOR)(_do_nothing)


@_register_scenario("a server lost")
def _stop_one_server(fleet: Fleet, addresses: list[str]) -> None:
    gevent.sleep(DISTURBANCE_DURATION / SECOND / 2)
    fleet.command("stop", addresses[:1])


@_register_scenario("cold restart", _set_behaviour(cold_ms=COLD_DURATION))
def _restart_first_replicas(fleet: Fleet, addresses: list[str]) -> None:
    restarted = _first_replicas(fleet, addresses)
    fleet.command("stop", restarted)
    gevent.sleep(DISTURBANCE_DURATION / SECOND / 2)
    fleet.command("restart", restarted)


@_register_scenario("version switch")
def _switch_version(fleet: Fleet, addresses: list[str]) -> None:
    gevent.sleep(DISTURBANCE_DURATION / SECOND / 2)
    fleet.command("announce", addresses, versions=[1, 2])
    gevent.sleep(DISTURBANCE_DURATION / SECOND / 2)
    fleet.command("announce", addresses, versions=[2])


def _first_replicas(fleet: Fleet, addresses: list[str]) -> list[str]:
    """Return the first replica of each shard."""
    reports = fleet.report()
    first: dict[int, str] = {}
    for address in addresses:
        first.setdefault(reports[address]["record"]["shard"], address)
    return list(first.values())
