"""Derives each setting of the system from the questionnaire, in one function per setting.

The docstring of such a function is the reason that `fulmarhold explain` prints for the setting.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from fulmarhold.configuration import Configuration, RequestType, ServiceConfiguration, Timings
from fulmarhold.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.questionnaire.schema import Questionnaire, ServiceAnswers

UPSTREAM_REMOVAL_LIMIT_MS = 3_000.0
CONFIGURATION_AGE_LIMIT_MS = 4_000.0
NETWORK_MARGIN_MS = 100.0
ANNOUNCEMENT_LEASE_FRACTION = 0.6
EXTRA_LOAD_SHARE = 0.05
ROUND_TRIPS_PER_CLAIM = 2
MIN_CLAIM_TIMEOUT_MS = 3_000.0
QUEUE_DEPTH_PER_SLOT = 2


@dataclass(frozen=True)
class Derivation:
    """The answers that one setting is derived from, the reason and the function that derives it."""

    answers: tuple[str, ...]
    reason: str
    compute: Callable[..., Any]


timing_derivations: Registry[Derivation] = Registry("timing")
service_derivations: Registry[Derivation] = Registry("service setting")


def _timing(name: str, *answers: str) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    return _register(timing_derivations, name, answers)


def _service(name: str, *answers: str) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    return _register(service_derivations, name, tuple(f"services.*.{answer}" for answer in answers))


def _register(
    registry: Registry[Derivation], name: str, answers: tuple[str, ...]
) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    def decorate(compute: Callable[..., Any]) -> Callable[..., Any]:
        reason = " ".join((compute.__doc__ or "").split())
        registry.register(name)(Derivation(answers, reason, compute))
        return compute

    return decorate


@_timing("announcement_period_ms")
def _announcement_period(_: Questionnaire) -> float:
    """One lease, counted from the previous announcement, covers three more and a margin."""
    return UPSTREAM_REMOVAL_LIMIT_MS / 6


@_timing("announcement_lease_ms")
def _announcement_lease(_: Questionnaire) -> float:
    """The larger part of the 3 s removal limit: announcements are many and polls are cheap."""
    return UPSTREAM_REMOVAL_LIMIT_MS * ANNOUNCEMENT_LEASE_FRACTION - NETWORK_MARGIN_MS


@_timing("poll_period_ms")
def _poll_period(_: Questionnaire) -> float:
    """Three polls fit into one poll lease, so two may be lost."""
    return 300.0


@_timing("poll_lease_ms")
def _poll_lease(_: Questionnaire) -> float:
    """Together with the announcement lease it stays below the 3 s limit for removing upstreams."""
    return UPSTREAM_REMOVAL_LIMIT_MS * (1 - ANNOUNCEMENT_LEASE_FRACTION) - NETWORK_MARGIN_MS


@_timing("confirmation_lease_ms")
def _confirmation_lease(_: Questionnaire) -> float:
    """An entry serves this long on one confirmation of its configuration: below the 4 s limit."""
    return CONFIGURATION_AGE_LIMIT_MS - 1_500.0


@_timing("address_answer_ms")
def _address_answer(_: Questionnaire) -> float:
    """Callers cache entry addresses this long; a leaving entry serves until they have expired."""
    return 3_000.0


@_timing("claim_timeout_ms", "distances.between_data_centres_ms")
def _claim_timeout(questionnaire: Questionnaire) -> float:
    """Two round trips between data centres and a disk sync, with time for two leader changes.

    Each change costs a call that waits 700 ms for an unresponsive leader, and the rest of an
    election timeout of 900 ms; the second allows for a split vote or another disk stall.
    """
    round_trip = 2 * questionnaire.distances.between_data_centres_ms
    return max(MIN_CLAIM_TIMEOUT_MS, 20 * ROUND_TRIPS_PER_CLAIM * round_trip)


@_service("shards", "shards")
def _shards(_: Questionnaire, service: ServiceAnswers) -> int:
    """As answered; the total in a response is still the shard count of its snapshot's layout."""
    return service.shards


@_service("replicas", "servers", "shards")
def _replicas(_: Questionnaire, service: ServiceAnswers) -> int:
    """Servers divided by shards."""
    return service.servers // service.shards


@_service("slots", "slots")
def _slots(_: Questionnaire, service: ServiceAnswers) -> int:
    """As answered: how many requests a server runs concurrently."""
    return service.slots


@_service("connections_per_entry", "connections")
def _connections_per_entry(questionnaire: Questionnaire, service: ServiceAnswers) -> int:
    """A server's connections divided evenly among the entries, one kept free for restarts."""
    return max(1, (service.connections - 1) // questionnaire.entries)


@_service("warm_connections", "connections", "slots")
def _warm_connections(questionnaire: Questionnaire, service: ServiceAnswers) -> int:
    """Enough warm connections to fill the slots together with the other entries, at least one."""
    share = -(-service.slots // questionnaire.entries)
    return min(_connections_per_entry(questionnaire, service), share + 1)


@_service("connection_cost_ms", "connection_cost_ms")
def _connection_cost(_: Questionnaire, service: ServiceAnswers) -> float:
    """As answered: the time that a new connection costs."""
    return service.connection_cost_ms


@_service("priority", "priority")
def _priority(_: Questionnaire, service: ServiceAnswers) -> str:
    """As answered: whether a response waits for the last shard or is sent early when it may be."""
    return service.priority


@_service("urgency", "urgency")
def _urgency(_: Questionnaire, service: ServiceAnswers) -> str:
    """As answered: which services yield capacity first when an entry is overloaded."""
    return service.urgency


@_service("deadline_ms", "deadline_ms")
def _deadline(_: Questionnaire, service: ServiceAnswers) -> float:
    """As answered: the deadline of a query that states none of its own."""
    return service.deadline_ms


@_service("longest_deadline_ms", "deadline_ms")
def _longest_deadline(_: Questionnaire, service: ServiceAnswers) -> float:
    """Ten times the deadline, at most a minute: no query holds connections for longer."""
    return min(60_000.0, 10 * service.deadline_ms)


@_service("least_coverage", "least_coverage")
def _least_coverage(_: Questionnaire, service: ServiceAnswers) -> float:
    """As answered: below this share of shards a query is refused or keeps waiting."""
    return service.least_coverage


@_service("extra_load_share")
def _extra_load_share(_: Questionnaire, service: ServiceAnswers) -> float:
    """Hedges, retries and reruns together stay below this share of first attempts."""
    return EXTRA_LOAD_SHARE


@_service("hedge_quantile", "shards", "priority")
def _hedge_quantile(_: Questionnaire, service: ServiceAnswers) -> float:
    """Hedging beyond this quantile of a replica's latency stays within the extra load share."""
    return 1 - EXTRA_LOAD_SHARE if service.priority == "latency" else 1 - EXTRA_LOAD_SHARE / 2


@_service("slow_start_ms", "connection_cost_ms")
def _slow_start(_: Questionnaire, service: ServiceAnswers) -> float:
    """Above zero, a new upstream is used at a limited pace until its replies are good."""
    return max(2_000.0, 500 * service.connection_cost_ms)


@_service("ejection_ms", "deadline_ms")
def _ejection(_: Questionnaire, service: ServiceAnswers) -> float:
    """A replica that fails repeatedly is ejected for this long, then tried with caution."""
    return max(1_000.0, 4 * service.deadline_ms)


@_service("admission_limit", "slots", "servers", "shards")
def _admission_limit(questionnaire: Questionnaire, service: ServiceAnswers) -> int:
    """Concurrent queries per entry: its share of all slots with a short queue behind each."""
    concurrent = service.slots * (service.servers // service.shards) * QUEUE_DEPTH_PER_SLOT
    return max(4, -(-2 * concurrent // questionnaire.entries))


@_service("requests", "requests")
def _requests(_: Questionnaire, service: ServiceAnswers) -> dict[str, RequestType]:
    """As answered: the request types and whether each is idempotent."""
    return {item.name: RequestType(item.name, item.idempotent) for item in service.requests}


def derive_configuration(questionnaire: Questionnaire) -> Configuration:
    """Return the complete configuration that a validated questionnaire yields."""
    timings = {
        name: timing_derivations.find(name).compute(questionnaire) for name in timing_derivations
    }
    return Configuration(
        deployment=questionnaire.deployment,
        data_centres=questionnaire.data_centres,
        entries=questionnaire.entries,
        timings=Timings(**timings),
        services={
            service.name: _derive_service(questionnaire, service)
            for service in questionnaire.services
        },
    )


def _derive_service(questionnaire: Questionnaire, service: ServiceAnswers) -> ServiceConfiguration:
    settings = {
        name: service_derivations.find(name).compute(questionnaire, service)
        for name in service_derivations
    }
    return ServiceConfiguration(name=service.name, **settings)
