"""Every value the system runs by, each derived in one function from the answers it follows from."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from fulmarhold.configuration import Configuration, RequestType, ServiceConfiguration, Timings
from fulmarhold.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.questionnaire.schema import Questionnaire, ServiceAnswers

LEAVING_BOUND_MS = 3_000.0
CONFIGURATION_BOUND_MS = 4_000.0
NETWORK_MARGIN_MS = 100.0
ANNOUNCEMENT_PART = 0.6
EXTRA_LOAD_SHARE = 0.05
ROUND_TRIPS_PER_CLAIM = 2
MIN_CLAIM_TIMEOUT_MS = 3_000.0
QUEUE_DEPTH_PER_SLOT = 2


@dataclass(frozen=True)
class Derivation:
    """How one setting follows from answers, with a sentence that says why."""

    answers: tuple[str, ...]
    reason: str
    compute: Callable[..., Any]


timing_derivations: Registry[Derivation] = Registry("timing")
service_derivations: Registry[Derivation] = Registry("service setting")


def _timing(name: str, *answers: str) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    return _filed(timing_derivations, name, answers)


def _service(name: str, *answers: str) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    return _filed(service_derivations, name, tuple(f"services.*.{answer}" for answer in answers))


def _filed(
    registry: Registry[Derivation], name: str, answers: tuple[str, ...]
) -> Callable[[Callable[..., Any]], Callable[..., Any]]:
    def decorate(compute: Callable[..., Any]) -> Callable[..., Any]:
        reason = " ".join((compute.__doc__ or "").split())
        registry.register(name)(Derivation(answers, reason, compute))
        return compute

    return decorate


@_timing("announcement_period_ms")
def _announcement_period(_: Questionnaire) -> float:
    """Three announcements and a margin fit into one lease, which runs from the one before."""
    return LEAVING_BOUND_MS / 6


@_timing("announcement_lease_ms")
def _announcement_lease(_: Questionnaire) -> float:
    """The larger part of the 3 s for leaving: announcements are many and polls are cheap."""
    return LEAVING_BOUND_MS * ANNOUNCEMENT_PART - NETWORK_MARGIN_MS


@_timing("poll_period_ms")
def _poll_period(_: Questionnaire) -> float:
    """Three polls fit into one poll lease, so two may be lost."""
    return 300.0


@_timing("poll_lease_ms")
def _poll_lease(_: Questionnaire) -> float:
    """With the announcement lease it stays below the 3 s bound for leaving upstreams."""
    return LEAVING_BOUND_MS * (1 - ANNOUNCEMENT_PART) - NETWORK_MARGIN_MS


@_timing("confirmation_lease_ms")
def _confirmation_lease(_: Questionnaire) -> float:
    """An entry serves this long on one confirmation of its configuration: below the 4 s bound."""
    return CONFIGURATION_BOUND_MS - 1_500.0


@_timing("address_answer_ms")
def _address_answer(_: Questionnaire) -> float:
    """Callers keep an address answer this long; a leaving entry serves until it has run out."""
    return 3_000.0


@_timing("claim_timeout_ms", "distances.between_data_centres_ms")
def _claim_timeout(questionnaire: Questionnaire) -> float:
    """Two round trips between data centres and a sync, with room for two changes of leader.

    Each takes a call that waits 700 ms for a leader that hangs, and the rest of an election timeout
    of 900 ms; the second is for a vote that split, or a disk that stalls again.
    """
    round_trip = 2 * questionnaire.distances.between_data_centres_ms
    return max(MIN_CLAIM_TIMEOUT_MS, 20 * ROUND_TRIPS_PER_CLAIM * round_trip)


@_service("shards", "shards")
def _shards(_: Questionnaire, service: ServiceAnswers) -> int:
    """As answered; an answer's total is still the shard count of its snapshot's layout."""
    return service.shards


@_service("replicas", "servers", "shards")
def _replicas(_: Questionnaire, service: ServiceAnswers) -> int:
    """Servers divided by shards."""
    return service.servers // service.shards


@_service("slots", "slots")
def _slots(_: Questionnaire, service: ServiceAnswers) -> int:
    """As answered: how many requests a server runs at once."""
    return service.slots


@_service("connections_per_entry", "connections")
def _connections_per_entry(questionnaire: Questionnaire, service: ServiceAnswers) -> int:
    """A server's connections shared evenly by the entries, one kept free for restarts."""
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
    """As answered: whether an answer waits for the last shard or returns once it may."""
    return service.priority


@_service("urgency", "urgency")
def _urgency(_: Questionnaire, service: ServiceAnswers) -> str:
    """As answered: which service gives way when an entry has too much to do."""
    return service.urgency


@_service("deadline_ms", "deadline_ms")
def _deadline(_: Questionnaire, service: ServiceAnswers) -> float:
    """As answered: the time for a query that states none of its own."""
    return service.deadline_ms


@_service("longest_deadline_ms", "deadline_ms")
def _longest_deadline(_: Questionnaire, service: ServiceAnswers) -> float:
    """Ten deadlines, and a minute at most: no query holds connections for longer."""
    return min(60_000.0, 10 * service.deadline_ms)


@_service("least_coverage", "least_coverage")
def _least_coverage(_: Questionnaire, service: ServiceAnswers) -> float:
    """As answered: below this share of shards a query is refused or keeps waiting."""
    return service.least_coverage


@_service("extra_load_share")
def _extra_load_share(_: Questionnaire, service: ServiceAnswers) -> float:
    """Hedges, retries and reruns together stay below this share of first tries."""
    return EXTRA_LOAD_SHARE


@_service("hedge_quantile", "shards", "priority")
def _hedge_quantile(_: Questionnaire, service: ServiceAnswers) -> float:
    """Hedging past this quantile of a replica's latency stays inside the extra load share."""
    return 1 - EXTRA_LOAD_SHARE if service.priority == "latency" else 1 - EXTRA_LOAD_SHARE / 2


@_service("slow_start_ms", "connection_cost_ms")
def _slow_start(_: Questionnaire, service: ServiceAnswers) -> float:
    """A cold upstream is brought to its full share of requests over this time."""
    return max(2_000.0, 500 * service.connection_cost_ms)


@_service("ejection_ms", "deadline_ms")
def _ejection(_: Questionnaire, service: ServiceAnswers) -> float:
    """A replica that fails repeatedly is passed over for this long, then tried with care."""
    return max(1_000.0, 4 * service.deadline_ms)


@_service("admission_limit", "slots", "servers", "shards")
def _admission_limit(questionnaire: Questionnaire, service: ServiceAnswers) -> int:
    """Queries one entry runs at once: its share of all slots with a short queue behind each."""
    at_once = service.slots * (service.servers // service.shards) * QUEUE_DEPTH_PER_SLOT
    return max(4, -(-2 * at_once // questionnaire.entries))


@_service("requests", "requests")
def _requests(_: Questionnaire, service: ServiceAnswers) -> dict[str, RequestType]:
    """As answered: the kinds of request and whether each is idempotent."""
    return {item.name: RequestType(item.name, item.idempotent) for item in service.requests}


def derive_configuration(questionnaire: Questionnaire) -> Configuration:
    """Return the whole configuration that follows from a checked questionnaire."""
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
