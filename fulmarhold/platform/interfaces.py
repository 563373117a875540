"""The HTTP interfaces of control, the directory and readiness on the platform."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

import falcon

from fulmarhold.clock import SECOND
from fulmarhold.errors import FulmarholdError, MalformedInput
from fulmarhold.limits.retry_after import retry_delay_after_refusal
from fulmarhold.observe.limited import LimitedLog, bounded_text
from fulmarhold.observe.logs import get_logger
from fulmarhold.platform.documents import (
    HEARTBEAT_FIELDS,
    MAX_DOCUMENT_BYTES,
    decode_departure,
    decode_heartbeat,
    decode_new_configuration,
    pack_document,
    unpack_document,
)
from fulmarhold.platform.settings import DIRECTORY_ANSWER_TTL
from fulmarhold.settings.problems import InvalidSettings
from fulmarhold.web.serving import (
    LARGEST_BODY_BYTES,
    NoMemory,
    held_body,
    is_connected,
    plain_application,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.clock import Clock
    from fulmarhold.control.evacuations import EvacuationService
    from fulmarhold.control.feeds import FeedService
    from fulmarhold.control.versions import VersionService
    from fulmarhold.limits.memory import MemoryBudget
    from fulmarhold.observe.counters import Counters

log = get_logger("heartbeats")
_random = Random()


class ConfigurationResource:
    """PUT and GET /api/config: operators store and read the configuration."""

    def __init__(self, versions: VersionService, counters: Counters, memory: MemoryBudget) -> None:
        self._memory = memory
        self._versions = versions
        self._counters = counters

    def on_put(self, request: falcon.Request, response: falcon.Response) -> None:
        with held_body(request, MAX_DOCUMENT_BYTES, self._memory) as body:
            version = decode_new_configuration(body).version
            self._versions.store(version, pack_document(body))
        response.media = {"version": version}

    def on_get(self, _: falcon.Request, response: falcon.Response) -> None:
        latest = self._versions.read()
        if not latest.document:
            response.status = falcon.HTTP_503
            response.media = {"error": "no configuration is stored yet"}
            return
        response.content_type = falcon.MEDIA_JSON
        response.data = unpack_document(latest.document)


class EvacuationResource:
    """POST and DELETE /api/evacuations/{name}: operators evacuate a data centre, or end that."""

    def __init__(self, evacuations: EvacuationService) -> None:
        self._evacuations = evacuations

    def on_post(self, request: falcon.Request, response: falcon.Response, name: str) -> None:
        self._order(request, response, name, is_evacuated=True)

    def on_delete(self, request: falcon.Request, response: falcon.Response, name: str) -> None:
        self._order(request, response, name, is_evacuated=False)

    def _order(
        self, request: falcon.Request, response: falcon.Response, name: str, *, is_evacuated: bool
    ) -> None:
        ordered = self._evacuations.order(
            name, is_evacuated=is_evacuated, is_wanted=lambda: is_connected(request)
        )
        # The platform calls a data centre a zone.
        response.media = {"evacuated": ordered.data_centres, "version": ordered.version}


class HeartbeatResource:
    """PUT and DELETE /api/instances/{name}: upstreams send heartbeats and deregister."""

    def __init__(
        self,
        feeds: FeedService,
        own_endpoint: str,
        clock: Clock,
        counters: Counters,
        memory: MemoryBudget,
    ) -> None:
        self._memory = memory
        self._feeds = feeds
        # Every control instance serves heartbeats on the same port.
        self._port = own_endpoint.rpartition(":")[2]
        self._counters = counters
        self._log = LimitedLog(log, clock)

    def on_put(self, request: falcon.Request, response: falcon.Response, name: str) -> None:
        try:
            with held_body(request, LARGEST_BODY_BYTES, self._memory) as body:
                statement = decode_heartbeat(name, body)
        except FulmarholdError as error:
            self._record_refusal(name, error)
            raise
        self._respond(response, self._feeds.record_upstream(statement), statement.data_centre)

    def on_delete(self, request: falcon.Request, response: falcon.Response, name: str) -> None:
        try:
            with held_body(request, LARGEST_BODY_BYTES, self._memory) as body:
                born = decode_departure(name, body)
        except FulmarholdError as error:
            self._record_refusal(name, error)
            raise
        self._respond(response, self._feeds.deregister_upstream(name, born))

    def _record_refusal(self, name: str, error: FulmarholdError) -> None:
        self._counters.add("heartbeat_refusals", reason=_refusal_reason(error))
        self._log.warning("refused a heartbeat of {}: {}", name, error)

    def _respond(
        self, response: falcon.Response, can_acknowledge: bool, data_centre: str | None = None
    ) -> None:
        if can_acknowledge:
            # Name a control instance in the upstream's own data centre: heartbeats between data
            # centres cost as much as queries do.
            peer = self._feeds.control_endpoint_in(data_centre) if data_centre else None
            address = f"{peer.rpartition(':')[0]}:{self._port}" if peer else None
            response.media = {"heartbeatAddress": address} if address else {}
        else:
            self._counters.add("heartbeat_refusals", reason="not_handed_over")
            response.status = falcon.HTTP_503
            response.media = {"error": "no other control instance could be told"}


class DirectoryResource:
    """GET /api/lookup: the addresses of the entries that a caller may use."""

    def __init__(self, addresses: Callable[[str], list[str]]) -> None:
        self._addresses = addresses

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        # The platform calls a data centre a zone.
        addresses = self._addresses(request.get_param("zone", default=""))
        if not addresses:
            response.status = falcon.HTTP_503
            response.media = {"error": "no entry is known to serve"}
            return
        response.media = {"addrs": addresses, "ttl_s": DIRECTORY_ANSWER_TTL / SECOND}


class ReadinessResource:
    """GET /api/readiness: 200 while this entry serves, 503 otherwise."""

    def __init__(self, is_ready: Callable[[], bool]) -> None:
        self._is_ready = is_ready

    def on_get(self, _: falcon.Request, response: falcon.Response) -> None:
        response.status = falcon.HTTP_200 if self._is_ready() else falcon.HTTP_503


def control_application(
    versions: VersionService,
    feeds: FeedService,
    own_endpoint: str,
    clock: Clock,
    counters: Counters,
    memory: MemoryBudget,
    evacuations: EvacuationService,
) -> falcon.App:
    """Return the application for operators and upstreams."""
    application = _application()
    application.add_route("/api/config", ConfigurationResource(versions, counters, memory))
    # With a converter that takes slashes, a name that contains one is answered as invalid.
    application.add_route("/api/evacuations/{name:path}", EvacuationResource(evacuations))
    heartbeats = HeartbeatResource(feeds, own_endpoint, clock, counters, memory)
    application.add_route("/api/instances/{name}", heartbeats)
    return application


def directory_application(addresses: Callable[[str], list[str]]) -> falcon.App:
    """Return the application for callers that look up entries."""
    application = _application()
    application.add_route("/api/lookup", DirectoryResource(addresses))
    return application


def readiness_application(is_ready: Callable[[], bool]) -> falcon.App:
    """Return the application for readiness checks."""
    application = _application()
    application.add_route("/api/readiness", ReadinessResource(is_ready))
    return application


def _application() -> falcon.App:
    application = plain_application()
    application.add_error_handler(FulmarholdError, _write_error)
    return application


def _write_error(
    _: falcon.Request, response: falcon.Response, error: FulmarholdError, __: object
) -> None:
    is_invalid = isinstance(error, MalformedInput | InvalidSettings)
    response.status = falcon.HTTP_400 if is_invalid else falcon.HTTP_503
    if isinstance(error, NoMemory):
        response.set_header("Retry-After", f"{retry_delay_after_refusal(_random) / SECOND:.3f}")
    response.media = {"error": bounded_text(error.message), "step": error.step}


def _refusal_reason(error: FulmarholdError) -> str:
    """Return `invalid_` and the field that a heartbeat is refused for, `malformed` without one."""
    if isinstance(error, InvalidSettings):
        field = error.problems[0].path
        if field in HEARTBEAT_FIELDS:
            return f"invalid_{field}"
    return "malformed"
