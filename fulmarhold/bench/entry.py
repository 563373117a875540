"""An entry process whose policies are chosen by name, to measure them side by side."""

from __future__ import annotations

import sys
from dataclasses import dataclass
from pathlib import Path

from fulmarhold.daemons import run_daemon
from fulmarhold.entry.daemon import EntryDaemon
from fulmarhold.gather.services import ServicePolicies
from fulmarhold.registry import Registry
from fulmarhold.settings.processes import STRICT, EntrySettings

policy_sets: Registry = Registry("policy set")


@policy_sets.register("baseline")
def make_baseline() -> ServicePolicies:
    """A random replica, no hedge, wait to the deadline."""
    return ServicePolicies("random", hedges=False, returns_early=False)


@policy_sets.register("random_hedged")
def make_random_hedged() -> ServicePolicies:
    """A random replica with hedges, to see what the choice of replica adds."""
    return ServicePolicies("random")


@policy_sets.register("least_expected")
def make_least_expected() -> ServicePolicies:
    """The best replica of all instead of the better of two."""
    return ServicePolicies("least_expected")


@policy_sets.register("unhedged")
def make_unhedged() -> ServicePolicies:
    """The product's choice of replica without hedges."""
    return ServicePolicies(hedges=False)


@policy_sets.register("product")
def make_product() -> ServicePolicies:
    """What the product does."""
    return ServicePolicies()


@dataclass(frozen=True)
class BenchEntrySettings(EntrySettings):
    """Settings of an entry with the name of its policy set."""

    __pydantic_config__ = STRICT

    policy: str = "product"


def _make(settings: BenchEntrySettings) -> EntryDaemon:
    return EntryDaemon(settings, policy_sets.find(settings.policy)())


if __name__ == "__main__":
    sys.exit(run_daemon(Path(sys.argv[1]), BenchEntrySettings, _make))
