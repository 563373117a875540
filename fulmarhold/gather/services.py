"""The state of each service that outlives single queries: policy, budget, latency estimate."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarhold.gather.scatter import Policy
from fulmarhold.limits.budget import ExtraLoadBudget
from fulmarhold.observe.estimates import QuantileEstimate
from fulmarhold.routing.choice import DEFAULT_CHOICE, choosers

if TYPE_CHECKING:
    from fulmarhold.configuration import ServiceConfiguration

# The first hedge delay, as a share of the service's deadline.
INITIAL_HEDGE_DELAY_SHARE = 0.2


class ServicePolicies:
    """Caches the policy of each service and rebuilds it when the configuration changes."""

    def __init__(
        self, choice: str = DEFAULT_CHOICE, *, hedges: bool = True, returns_early: bool = True
    ):
        self._choice = choice
        self._hedges = hedges
        self._returns_early = returns_early
        self._policies: dict[str, Policy] = {}

    def find(self, service: ServiceConfiguration) -> Policy:
        """Return the policy of a service.

        A changed configuration makes a new budget; the estimate of the hedge delay is kept
        unless its quantile changed.
        """
        policy = self._policies.get(service.name)
        if policy is None or policy.service is not service:
            policy = self._policies[service.name] = self._make(service, policy)
        return policy

    def _make(self, service: ServiceConfiguration, previous: Policy | None) -> Policy:
        is_quantile_unchanged = (
            previous is not None and previous.service.hedge_quantile == service.hedge_quantile
        )
        estimate = (
            previous.hedge_after
            if previous is not None and is_quantile_unchanged
            else QuantileEstimate(
                service.hedge_quantile, INITIAL_HEDGE_DELAY_SHARE * service.deadline_ms
            )
        )
        return Policy(
            service,
            choosers.find(self._choice),
            self._hedges,
            self._returns_early and service.priority == "latency",
            ExtraLoadBudget(service.extra_load_share, service.shards),
            estimate,
        )
