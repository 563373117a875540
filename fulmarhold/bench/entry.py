"""An entry process that runs a named policy set, for comparisons between policy sets."""

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
    """Choose replicas at random, send no hedges and wait for all parts until the deadline."""
    return ServicePolicies("random", hedges=False, returns_early=False)


@policy_sets.register("random_hedged")
def make_random_hedged() -> ServicePolicies:
    """Choose replicas at random but send hedges, to isolate the effect of replica choice."""
    return ServicePolicies("random")


@policy_sets.register("least_expected")
def make_least_expected() -> ServicePolicies:
    """Choose the replica with the least expected latency of all, not the better of two."""
    return ServicePolicies("least_expected")


@policy_sets.register("unhedged")
def make_unhedged() -> ServicePolicies:
    """Use the default choice of replicas, without hedges."""
    return ServicePolicies(hedges=False)


@policy_sets.register("product")
def make_product() -> ServicePolicies:
    """Use the default policies."""
    return ServicePolicies()


@dataclass(frozen=True)
class BenchEntrySettings(EntrySettings):
    """Entry settings plus the name of the policy set."""

    __pydantic_config__ = STRICT

    policy: str = "product"


def _make_daemon(settings: BenchEntrySettings) -> EntryDaemon:
    return EntryDaemon(settings, policy_sets.find(settings.policy)())


if __name__ == "__main__":
    sys.exit(run_daemon(Path(sys.argv[1]), BenchEntrySettings, _make_daemon))
