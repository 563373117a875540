"""Scenarios of the policy bench: what happens to the upstreams while callers ask."""

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
COLD: Milliseconds = 3_000.0
SETTLING: Milliseconds = 2_500.0


@dataclass(frozen=True)
class Scenario:
    """`prepare` runs before the load, `disturb` beside it, on the upstreams of one service."""

    name: str
    prepare: Callable[[Fleet, list[str]], None]
    disturb: Callable[[Fleet, list[str]], None]
    load_factor: float = 1.0


scenarios: Registry[Scenario] = Registry("scenario")


def _nothing(_: Fleet, __: list[str]) -> None:
    """Leave the upstreams alone."""


def _scenario(
    name: str, prepare: Callable[[Fleet, list[str]], None] = _nothing, load_factor: float = 1.0
) -> Callable[[Callable[[Fleet, list[str]], None]], Callable[[Fleet, list[str]], None]]:
    def decorate(
        disturb: Callable[[Fleet, list[str]], None],
    ) -> Callable[[Fleet, list[str]], None]:
        scenarios.register(name)(Scenario(name, prepare, disturb, load_factor))
        return disturb

    return decorate


def _behave(**behaviour: float) -> Callable[[Fleet, list[str]], None]:
    def prepare(fleet: Fleet, addresses: list[str]) -> None:
        fleet.command("behave", addresses, **behaviour)

    return prepare


def _slow_first_replicas(fleet: Fleet, addresses: list[str]) -> None:
    fleet.command("behave", _first_replicas(fleet, addresses), slow_factor=SLOW_FACTOR)


def _slow_and_lying(fleet: Fleet, addresses: list[str]) -> None:
    lying = _first_replicas(fleet, addresses)
    fleet.command("behave", lying, slow_factor=SLOW_FACTOR, reported_load=0.0)


_scenario("healthy")(_nothing)
_scenario("stragglers", _behave(straggle_share=STRAGGLE_SHARE, straggle_factor=STRAGGLE_FACTOR))(
    _nothing
)
_scenario("one slow replica a shard", _slow_first_replicas)(_nothing)
_scenario("load reports that lie", _slow_and_lying)(_nothing)
_scenario(
    "links with delay and loss",
    _behave(network_ms=4.0, network_spread_ms=2.0, lose_response_share=0.002),
)(_nothing)
_scenario("overload", load_factor=OVERLOAD_FACTOR)(_nothing)


@_scenario("a server lost")
def _lose_server(fleet: Fleet, addresses: list[str]) -> None:
    gevent.sleep(SETTLING / SECOND / 2)
    fleet.command("stop", addresses[:1])


@_scenario("cold restart", _behave(cold_ms=COLD))
def _restart_third(fleet: Fleet, addresses: list[str]) -> None:
    restarted = _first_replicas(fleet, addresses)
    fleet.command("stop", restarted)
    gevent.sleep(SETTLING / SECOND / 2)
    fleet.command("restart", restarted)


@_scenario("version switch")
def _switch_version(fleet: Fleet, addresses: list[str]) -> None:
    gevent.sleep(SETTLING / SECOND / 2)
    fleet.command("announce", addresses, versions=[1, 2])
    gevent.sleep(SETTLING / SECOND / 2)
    fleet.command("announce", addresses, versions=[2])


def _first_replicas(fleet: Fleet, addresses: list[str]) -> list[str]:
    """Return the first replica of each shard."""
    reports = fleet.report()
    first: dict[int, str] = {}
    for address in addresses:
        first.setdefault(reports[address]["record"]["shard"], address)
    return list(first.values())
