"""What an entry keeps per service while queries come and go: budget, estimates, policy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarhold.gather.scatter import Policy
from fulmarhold.limits.budget import ExtraLoadBudget
from fulmarhold.observe.estimates import QuantileEstimate
from fulmarhold.routing.choice import DEFAULT_CHOICE, choosers

if TYPE_CHECKING:
    from fulmarhold.configuration import ServiceConfiguration

INITIAL_HEDGE_SHARE = 0.2


class ServicePolicies:
    """The policy of each service, made anew when its configuration changes."""

    def __init__(
        self, choice: str = DEFAULT_CHOICE, *, hedges: bool = True, returns_early: bool = True
    ):
        self._choice = choice
        self._hedges = hedges
        self._early = returns_early
        self._policies: dict[str, Policy] = {}

    def find(self, service: ServiceConfiguration) -> Policy:
        """Return the policy of a service; estimates and budget outlive a change of settings."""
        policy = self._policies.get(service.name)
        if policy is None or policy.service is not service:
            policy = self._policies[service.name] = self._make(service, policy)
        return policy

    def _make(self, service: ServiceConfiguration, before: Policy | None) -> Policy:
        keeps = before is not None and before.service.hedge_quantile == service.hedge_quantile
        estimate = (
            before.hedge_after
            if before is not None and keeps
            else QuantileEstimate(service.hedge_quantile, INITIAL_HEDGE_SHARE * service.deadline_ms)
        )
        return Policy(
            service,
            choosers.find(self._choice),
            self._hedges,
            self._early and service.priority == "latency",
            ExtraLoadBudget(service.extra_load_share, service.shards),
            estimate,
        )
