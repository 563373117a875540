"""The promises, checked against what was seen; a registry, so that each is one function."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING

from fulmarhold.clock import Milliseconds
from fulmarhold.forwarding.records import greatest_records
from fulmarhold.registry import Registry

if TYPE_CHECKING:
    from fulmarhold.routes.configuration import Route
    from fulmarhold.soak.observations import Answer, Observations

Check = Callable[["Observations"], Iterable[str]]

checks: Registry[Check] = Registry("promise")

# The bounds that the users' pages state.
STABLE_WINDOW: Milliseconds = 4_000.0
APPLY: Milliseconds = 3_000.0
DRAIN: Milliseconds = 3_000.0
REGRESS_SLACK: Milliseconds = 250.0
LOSS_SLACK: Milliseconds = 200.0
# Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
OK, NOT_FOUND = 200, 404
# The prefix of a route that exists in one version alone, and names it.
MARKER = "/at/"


@checks.register("seen at once")
def check_seen_at_once(seen: Observations) -> Iterable[str]:
    """What was found to be broken while the soak ran."""
    return seen.broken


@checks.register("runs at most once")
def check_at_most_once(seen: Observations) -> Iterable[str]:
    """A request that is not idempotent runs once at most."""
    for request_id, runs in seen.runs.items():
        sent = seen.sent.get(request_id)
        if sent is not None and not sent.is_idempotent and len(runs) > 1:
            yield f"{request_id} ran at {[run.upstream for run in runs]}"


@checks.register("a refusal is true")
def check_refusals(seen: Observations) -> Iterable[str]:
    """A request that was answered as not run has not run, and does not run later."""
    for answer in seen.answers:
        if answer.status in NOT_RUN_STATUSES and seen.runs.get(answer.sent.request_id):
            ran = [run.upstream for run in seen.runs[answer.sent.request_id]]
            yield f"{answer.sent.request_id} was answered {answer.status} and ran at {ran}"


@checks.register("requests run as sent")
def check_unasked(seen: Observations) -> Iterable[str]:
    """Upstreams run only what a caller has sent, unchanged."""
    for request_id, runs in seen.runs.items():
        sent = seen.sent.get(request_id)
        for run in runs:
            if sent is None:
                yield f"{run.upstream} ran {request_id!r}, which nobody sent"
            elif (run.method, run.target, run.body) != (sent.method, sent.target, sent.body):
                yield f"{run.upstream} ran {request_id} changed: {run.method} {run.target}"


@checks.register("requests run where a version sends them")
def check_routes(seen: Observations) -> Iterable[str]:
    """A service runs only requests that a configuration may send it."""
    allowed: dict[str, set[str]] = {}
    for stored in seen.stored.values():
        for route in stored.configuration.routes:
            allowed.setdefault(route.path_prefix, set()).update(route.service_names)
    for runs in seen.runs.values():
        for run in runs:
            if run.service not in allowed.get(_prefix(run.target), set()):
                yield f"{run.upstream} of {run.service} ran {run.request_id} for {run.target}"


@checks.register("answers are whole and their own")
def check_answers(seen: Observations) -> Iterable[str]:
    """A success is one upstream's whole response, or the parts that it names."""
    for answer in seen.answers:
        if answer.status != OK:
            continue
        problem = _scatter_problem(seen, answer) if answer.signatures else _problem(seen, answer)
        if problem:
            yield f"{answer.sent.request_id}: {problem}"


def _problem(seen: Observations, answer: Answer) -> str:
    part = seen.parts.get(answer.signature)
    if part is None:
        return f"unknown signature {answer.signature!r}"
    if part.request_id != answer.sent.request_id or part.status != OK:
        return f"the response of {part.request_id} with status {part.status}"
    return "" if part.body == answer.body else "the body is not the upstream's"


def _scatter_problem(seen: Observations, answer: Answer) -> str:
    parts = [seen.parts.get(signature) for signature in answer.signatures]
    known = [part for part in parts if part is not None]
    if len(known) < len(parts):
        return "an unknown signature among the parts"
    if any(part.request_id != answer.sent.request_id or part.status != OK for part in known):
        return "a part that is not this request's"
    services = {part.service for part in known}
    if len(services) < len(known):
        return "two parts of one shard"
    routes = list(_shard_routes(seen, _prefix(answer.sent.target)))
    if not any(
        services <= set(route.shards)
        and len(known) + answer.missing == len(route.shards)
        and len(known) / len(route.shards) >= route.least_share
        and answer.body == greatest_records([part.body for part in known], route.top_records)
        for route in routes
    ):
        return f"{len(known)} parts and {answer.missing} missing fit no version, or its records"
    return ""


def _shard_routes(seen: Observations, prefix: str) -> Iterable[Route]:
    for stored in seen.stored.values():
        yield from (
            route
            for route in stored.configuration.routes
            if route.shards and route.path_prefix == prefix
        )


@checks.register("nothing reaches an upstream that has left")
def check_drains(seen: Observations) -> Iterable[str]:
    """Once an upstream knows that it is known to leave, its work ends within the bound."""
    left = {leave.upstream: leave.at for leave in seen.leaves}
    for runs in seen.runs.values():
        for run in runs:
            at = left.get(run.upstream)
            if at is None or run.at <= at + DRAIN:
                continue
            sent = seen.sent.get(run.request_id)
            involved = (*seen.control, sent.entry) if sent is not None else ()
            if seen.was_calm(at - STABLE_WINDOW, run.at, involved):
                yield f"{run.upstream} ran {run.request_id} {run.at - at:.0f} ms after its leave"


@checks.register("versions only grow in one life of an entry")
def check_regress(seen: Observations) -> Iterable[str]:
    """An entry that has shown a version never handles a later request by an older one."""
    newest: dict[tuple[str, int], list[tuple[Milliseconds, int]]] = {}
    for answer in sorted(seen.answers, key=lambda item: item.at):
        version = _marked_version(answer)
        if version is None or answer.status != OK:
            continue
        life = answer.sent.entry, answer.sent.life
        for at, shown in newest.setdefault(life, []):
            if shown > version and answer.sent.at > at + REGRESS_SLACK:
                yield f"{life[0]} served version {version} after {shown}"
        newest[life].append((answer.at, version))


@checks.register("a version is in force in time")
def check_applied(seen: Observations) -> Iterable[str]:
    """Calm entries do not refuse a route of the newest version as unknown."""
    for answer in seen.answers:
        version, sent = _marked_version(answer), answer.sent
        if version is None or answer.status != NOT_FOUND:
            continue
        stored = seen.stored.get(version)
        if stored is None or sent.at < stored.acknowledged_at + APPLY:
            continue
        is_newest = not any(
            other.sent_at < answer.at for number, other in seen.stored.items() if number > version
        )
        if is_newest and seen.was_calm(stored.acknowledged_at - STABLE_WINDOW, answer.at):
            yield f"{sent.entry} did not know version {version} {sent.at:.0f}"


@checks.register("reads are never older than what was acknowledged")
def check_reads(seen: Observations) -> Iterable[str]:
    """Any control instance that names a version names one that is new enough."""
    for read in seen.reads:
        least = seen.newest_acknowledged(read.sent_at - APPLY)
        if read.version < least:
            yield f"version {read.version} was read although {least} had been acknowledged"
        if not read.is_as_sent:
            yield f"version {read.version} was read with other content than was sent"


@checks.register("what was refused is never in force")
def check_refused_versions(seen: Observations) -> Iterable[str]:
    """A configuration that was answered as invalid is neither read back nor obeyed."""
    for read in seen.reads:
        if read.version in seen.refused_versions:
            yield f"version {read.version} was refused and is read back"
    for answer in seen.answers:
        if answer.status == OK and _marked_version(answer) in seen.refused_versions:
            yield f"{answer.sent.entry} obeys version {_marked_version(answer)}, which was refused"


@checks.register("a planned stop cuts nothing")
def check_planned_stops(seen: Observations) -> Iterable[str]:
    """An entry that is told to stop answers what it has read."""
    for answer in seen.answers:
        sent = answer.sent
        was_passed_on = bool(seen.runs.get(sent.request_id))
        if answer.status or not (was_passed_on or answer.at >= sent.at + LOSS_SLACK):
            continue
        is_stopping = any(
            item.is_planned and item.subject == sent.entry and item.at <= answer.at <= item.until
            for item in seen.disturbances
        )
        if is_stopping and seen.was_calm(sent.at - STABLE_WINDOW, answer.at, plans_count=False):
            yield f"{sent.entry} was told to stop and lost {sent.request_id}"


def _prefix(target: str) -> str:
    """Return the prefix of the route that a soak's target belongs to."""
    return target[: target.rindex("/") + 1]


def _marked_version(answer: Answer) -> int | None:
    prefix = _prefix(answer.sent.target)
    return int(prefix[len(MARKER) : -1]) if prefix.startswith(MARKER) else None
