"""Checks of the guarantees against the recorded observations, one registered function each."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from fulmarhold.clock import Milliseconds
from fulmarhold.forwarding.records import greatest_records
from fulmarhold.registry import Registry

if TYPE_CHECKING:
    from fulmarhold.routes.configuration import Route
    from fulmarhold.soak.observations import (
        Observations,
        PauseAnswer,
        Response,
        Run,
        SentRequest,
    )

Check = Callable[["Observations"], Iterable[str]]

checks: Registry[Check] = Registry("promise")

# Bounds that the platform guarantees to its users.
UNDISTURBED_WINDOW: Milliseconds = 4_000.0
APPLY_BOUND: Milliseconds = 3_000.0
DRAIN_BOUND: Milliseconds = 3_000.0
# When an entry must have stopped sending to an upstream that asked for a pause, and how many
# requests may reach the upstream from then to the end of the pause.
PAUSE_BOUND: Milliseconds = 500.0
MOST_IN_PAUSE = 2
EVACUATION_BOUND: Milliseconds = 5_000.0
REGRESSION_TOLERANCE: Milliseconds = 250.0
LOSS_TOLERANCE: Milliseconds = 200.0
# A process that is asked to stop is killed at the end of the grace period. An entry owes answers
# until a while after it, but for requests sent early in it whose work lasts until its last part.
GRACE: Milliseconds = 6_000.0
STOP_WINDOW: Milliseconds = GRACE + 1_000.0
EARLY_IN_STOP: Milliseconds = 3_000.0
LATE_IN_STOP: Milliseconds = GRACE * 5 / 6
# Statuses which guarantee that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
OK, NOT_FOUND = 200, 404
# Followed by a version number, the prefix of a route that exists only in that version.
VERSION_ROUTE_PREFIX = "/at/"


@checks.register("seen at once")
def check_reported_during_run(observations: Observations) -> Iterable[str]:
    """Report the violations that were detected while the soak was running."""
    return observations.violations


@checks.register("runs at most once")
def check_at_most_once(observations: Observations) -> Iterable[str]:
    """A non-idempotent request runs at most once."""
    for request_id, runs in observations.runs.items():
        request = observations.sent_requests.get(request_id)
        if request is not None and not request.is_idempotent and len(runs) > 1:
            yield f"{request_id} ran at {[run.upstream for run in runs]}"


@checks.register("a refusal is true")
def check_refusals_did_not_run(observations: Observations) -> Iterable[str]:
    """A request whose response says that it did not run has not run and does not run later."""
    for response in observations.responses:
        request_id = response.request.request_id
        upstreams = [run.upstream for run in observations.runs.get(request_id, ())]
        if response.status in NOT_RUN_STATUSES and upstreams:
            yield f"{request_id} was answered {response.status} and ran at {upstreams}"


@checks.register("requests run as sent")
def check_requests_unchanged(observations: Observations) -> Iterable[str]:
    """Upstreams run only requests that a caller sent, unmodified."""
    for request_id, runs in observations.runs.items():
        request = observations.sent_requests.get(request_id)
        for run in runs:
            if request is None:
                yield f"{run.upstream} ran {request_id!r}, which nobody sent"
                continue
            sent = request.method, request.target, request.body
            if (run.method, run.target, run.body) != sent:
                yield f"{run.upstream} ran {request_id} changed: {run.method} {run.target}"


@checks.register("requests run where a version sends them")
def check_routes(observations: Observations) -> Iterable[str]:
    """A service runs only requests that some submitted configuration routes to it."""
    allowed: dict[str, set[str]] = {}
    for submitted in observations.submitted.values():
        for route in submitted.configuration.routes:
            allowed.setdefault(route.path_prefix, set()).update(route.service_names)
    for runs in observations.runs.values():
        for run in runs:
            if run.service not in allowed.get(_route_prefix(run.target), set()):
                yield f"{run.upstream} of {run.service} ran {run.request_id} for {run.target}"


@checks.register("answers are whole and their own")
def check_responses(observations: Observations) -> Iterable[str]:
    """A successful response is one upstream's complete response or a merge of the listed ones."""
    for response in observations.responses:
        if response.status != OK:
            continue
        problem = (
            _scatter_response_problem(observations, response)
            if response.signatures
            else _single_response_problem(observations, response)
        )
        if problem:
            yield f"{response.request.request_id}: {problem}"


def _single_response_problem(observations: Observations, response: Response) -> str:
    reply = observations.upstream_replies.get(response.signature)
    if reply is None:
        return f"unknown signature {response.signature!r}"
    if reply.request_id != response.request.request_id or reply.status != OK:
        return f"the response of {reply.request_id} with status {reply.status}"
    return "" if reply.body == response.body else "the body is not the upstream's"


def _scatter_response_problem(observations: Observations, response: Response) -> str:
    replies = [observations.upstream_replies.get(signature) for signature in response.signatures]
    known = [reply for reply in replies if reply is not None]
    if len(known) < len(replies):
        return "an unknown signature among the parts"
    if any(
        reply.request_id != response.request.request_id or reply.status != OK for reply in known
    ):
        return "a part that is not this request's"
    services = {reply.service for reply in known}
    if len(services) < len(known):
        return "two parts of one shard"
    routes = list(_shard_routes(observations, _route_prefix(response.request.target)))
    if not any(
        services <= set(route.shards)
        and len(known) + response.missing == len(route.shards)
        and len(known) / len(route.shards) >= route.least_share
        and response.body == greatest_records([reply.body for reply in known], route.top_records)
        for route in routes
    ):
        return f"{len(known)} parts and {response.missing} missing fit no version, or its records"
    return ""


def _shard_routes(observations: Observations, prefix: str) -> Iterable[Route]:
    for submitted in observations.submitted.values():
        yield from (
            route
            for route in submitted.configuration.routes
            if route.shards and route.path_prefix == prefix
        )


@checks.register("nothing reaches an upstream that has left")
def check_drains(observations: Observations) -> Iterable[str]:
    """An upstream runs nothing later than `DRAIN_BOUND` ms after its acknowledged drain."""
    drained_at = {
        acknowledgement.upstream: acknowledgement.at
        for acknowledgement in observations.drain_acknowledgements
    }
    for runs in observations.runs.values():
        for run in runs:
            at = drained_at.get(run.upstream)
            if at is None or run.at <= at + DRAIN_BOUND:
                continue
            request = observations.sent_requests.get(run.request_id)
            involved = (*observations.control_names, request.entry) if request is not None else ()
            if observations.was_undisturbed(at - UNDISTURBED_WINDOW, run.at, involved):
                yield f"{run.upstream} ran {run.request_id} {run.at - at:.0f} ms after its leave"


@checks.register("nothing reaches an upstream that says that it leaves")
def check_leaving_answers(observations: Observations) -> Iterable[str]:
    """An upstream gets nothing `DRAIN_BOUND` ms after an entry has passed on that it leaves."""
    passed_on: dict[tuple[str, int, str], Milliseconds] = {}
    for response in observations.responses:
        request = response.request
        for signature in (response.signature, *response.signatures):
            reply = observations.upstream_replies.get(signature)
            if reply is not None and reply.leaving:
                key = request.entry, request.incarnation, reply.leaving
                passed_on[key] = min(response.at, passed_on.get(key, response.at))
    for upstream, request, _ in _arrivals(observations):
        at = passed_on.get((request.entry, request.incarnation, upstream))
        if at is not None and request.at > at + DRAIN_BOUND:
            yield f"{upstream} got {request.request_id} {request.at - at:.0f} ms after its leave"


@checks.register("little reaches an upstream that pauses")
def check_pauses(observations: Observations) -> Iterable[str]:
    """`MOST_IN_PAUSE` requests of an entry reach an upstream that has asked it for a pause.

    Requests over shards don't count, since another entry may have sent them.
    """
    arrivals: dict[tuple[str, int, str], list[Milliseconds]] = {}
    for upstream, request, at in _arrivals(observations):
        if not any(_shard_routes(observations, _route_prefix(request.target))):
            arrivals.setdefault((request.entry, request.incarnation, upstream), []).append(at)
    for pause in observations.pause_answers:
        request = observations.sent_requests[pause.request_id]
        if any(_shard_routes(observations, _route_prefix(request.target))):
            continue
        late = [
            at
            for at in arrivals[request.entry, request.incarnation, pause.upstream]
            if at < pause.until and observations.time_between(pause.at, at) > PAUSE_BOUND
        ]
        involved = request.entry, pause.place
        if len(late) > MOST_IN_PAUSE and observations.was_undisturbed(
            pause.at, pause.until, involved
        ):
            yield f"{pause.upstream} got {len(late)} requests in the pause of {pause.request_id}"


def _arrivals(
    observations: Observations,
) -> Iterable[tuple[str, SentRequest, Milliseconds]]:
    """Yield the requests of callers that reached an upstream, run or not, and when."""
    runs = [run for runs in observations.runs.values() for run in runs]
    reached: list[Run | PauseAnswer] = [*runs, *observations.pause_answers]
    for item in reached:
        request = observations.sent_requests.get(item.request_id)
        if request is not None:
            yield item.upstream, request, item.at


@checks.register("nothing reaches an evacuated data centre")
def check_evacuations(observations: Observations) -> Iterable[str]:
    """Nothing runs in a data centre later than `EVACUATION_BOUND` ms after its evacuation."""
    for evacuation in observations.evacuations:
        since = evacuation.acknowledged_at
        for run in (item for runs in observations.runs.values() for item in runs):
            is_late = since + EVACUATION_BOUND < run.at < evacuation.ended_at
            if run.data_centre != evacuation.data_centre or not is_late:
                continue
            request = observations.sent_requests.get(run.request_id)
            involved = (*observations.control_names, request.entry) if request is not None else ()
            if observations.was_undisturbed(since - UNDISTURBED_WINDOW, run.at, involved):
                yield (
                    f"{run.upstream} ran {run.request_id} {run.at - since:.0f} ms after "
                    f"{run.data_centre} was evacuated"
                )


@checks.register("versions only grow in one life of an entry")
def check_version_regression(observations: Observations) -> Iterable[str]:
    """An entry that has used a version never routes a later request by an older one."""
    newest: dict[tuple[str, int], list[tuple[Milliseconds, int]]] = {}
    for response in sorted(observations.responses, key=lambda item: item.at):
        version = _route_version(response)
        if version is None or response.status != OK:
            continue
        process = response.request.entry, response.request.incarnation
        for at, used in newest.setdefault(process, []):
            if used > version and response.request.at > at + REGRESSION_TOLERANCE:
                yield f"{process[0]} served version {version} after {used}"
        newest[process].append((response.at, version))


@checks.register("a version is in force in time")
def check_applied_in_time(observations: Observations) -> Iterable[str]:
    """Without disturbances, entries know the routes of the newest version within `APPLY_BOUND`."""
    for response in observations.responses:
        version, request = _route_version(response), response.request
        if version is None or response.status != NOT_FOUND:
            continue
        submitted = observations.submitted.get(version)
        if submitted is None or request.at < submitted.acknowledged_at + APPLY_BOUND:
            continue
        is_newest = not any(
            other.sent_at < response.at
            for number, other in observations.submitted.items()
            if number > version
        )
        if is_newest and observations.was_undisturbed(
            submitted.acknowledged_at - UNDISTURBED_WINDOW, response.at
        ):
            yield f"{request.entry} did not know version {version} {request.at:.0f}"


@checks.register("reads are never older than what was acknowledged")
def check_read_versions(observations: Observations) -> Iterable[str]:
    """Control instances return no version older than those acknowledged `APPLY_BOUND` ms before."""
    for read in observations.reads:
        minimum = observations.newest_acknowledged(read.sent_at - APPLY_BOUND)
        if read.version < minimum:
            yield f"version {read.version} was read although {minimum} had been acknowledged"
        if not read.matches_submitted:
            yield f"version {read.version} was read with other content than was sent"


@checks.register("what was refused is never in force")
def check_refused_versions(observations: Observations) -> Iterable[str]:
    """A configuration that was refused as invalid is neither read back nor applied."""
    for read in observations.reads:
        if read.version in observations.refused_versions:
            yield f"version {read.version} was refused and is read back"
    for response in observations.responses:
        if response.status == OK and _route_version(response) in observations.refused_versions:
            yield f"{response.request.entry} obeys {response.request.target}, which was refused"


@checks.register("a planned stop cuts nothing")
def check_planned_stops(observations: Observations) -> Iterable[str]:
    """An entry that is asked to stop or to reload answers every request that it has read."""
    for response in observations.responses:
        request = response.request
        work = _planned_work(observations, response) if _is_cut(observations, response) else ""
        if work and observations.was_undisturbed(
            request.at - UNDISTURBED_WINDOW, response.at, include_planned=False
        ):
            yield f"{request.entry} lost {request.request_id} {work}"


def _is_cut(observations: Observations, response: Response) -> bool:
    """Return whether an entry has read a request and broke off, in time and by itself."""
    request = response.request
    runs = observations.runs.get(request.request_id, [])
    was_read = bool(runs) or observations.time_between(request.at, response.at) >= LOSS_TOLERANCE
    broke_off_before = bool(runs) and all(run.broke_off for run in runs)
    in_time = response.at < request.until
    return response.status == 0 and was_read and in_time and not broke_off_before


def _planned_work(observations: Observations, response: Response) -> str:
    """Return the planned work during which an entry must not cut a request, if there is any."""
    entry, sent_at = response.request.entry, response.request.at
    stops = [at for (name, _), at in observations.stops.items() if name == entry]
    if any(_is_excused(observations, response, at) for at in stops):
        return ""
    for at in stops:
        if at <= response.at <= at + STOP_WINDOW:
            sent, cut = sent_at - at, response.at - at
            return f"{cut:.0f} ms after it was told to stop, sent {sent:.0f} ms after it"
    for name, at in observations.reloads:
        if name == entry and sent_at <= at + APPLY_BOUND and at <= response.at:
            return f"{response.at - at:.0f} ms after it was told to reload"
    return ""


def _is_excused(observations: Observations, response: Response, stopped_at: Milliseconds) -> bool:
    """Return whether a request was sent early in a stop and its work lasts until late in it."""
    late_at, killed_at = stopped_at + LATE_IN_STOP, stopped_at + GRACE
    return (
        response.request.at <= stopped_at + EARLY_IN_STOP
        and response.at >= late_at
        and any(
            run.started_at <= min(response.at, killed_at) and run.until >= late_at
            for run in observations.runs.get(response.request.request_id, [])
        )
    )


def _route_prefix(target: str) -> str:
    """Return the path prefix of the route that matches a target of the soak."""
    return target[: target.rindex("/") + 1]


def _route_version(response: Response) -> int | None:
    prefix = _route_prefix(response.request.target)
    is_versioned = prefix.startswith(VERSION_ROUTE_PREFIX)
    return int(prefix[len(VERSION_ROUTE_PREFIX) : -1]) if is_versioned else None
