"""Common parts of the daemons' HTTP interfaces: server, errors, bodies, health and metrics."""

from __future__ import annotations

import json
from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import falcon
from gevent.pool import Pool

from fulmarhold.clock import Clock
from fulmarhold.errors import FulmarholdError, MalformedInput
from fulmarhold.limits.connections import ConnectionBudget
from fulmarhold.limits.memory import Holder
from fulmarhold.observe.counters import Counters
from fulmarhold.observe.logs import get_logger
from fulmarhold.web.server import CONNECTION_KEY, SOCKET_KEY, ApplicationServer
from fulmarhold.wire.server import listen
from fulmarhold.wire.sockets import has_ended

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from fulmarhold.limits.connections import TrackedConnection
    from fulmarhold.limits.memory import MemoryBudget

log = get_logger("web")

LARGEST_BODY_BYTES = 64 * 1024
READ_BYTES = 65_536


class BodyTooLarge(MalformedInput):
    """The body of a request is larger than its interface accepts."""


class NoMemory(FulmarholdError):
    """There is no room for the body of a request now."""


class MetricsResource:
    """GET /metrics: the counters in the Prometheus text format."""

    def __init__(self, counters: Counters) -> None:
        self._counters = counters

    def on_get(self, _: falcon.Request, response: falcon.Response) -> None:
        response.content_type = "text/plain; version=0.0.4"
        response.data = self._counters.expose()


class HealthResource:
    """GET /health: 200 while the daemon is healthy, otherwise 503 with the reason."""

    def __init__(self, check: Callable[[], str]) -> None:
        self._check = check

    def on_get(self, _: falcon.Request, response: falcon.Response) -> None:
        problem = self._check()
        response.status = falcon.HTTP_503 if problem else falcon.HTTP_200
        response.media = {"healthy": not problem, "reason": problem}


def plain_application() -> falcon.App:
    """Return an application without resources."""
    application = falcon.App()
    # The table of file types, of 52 KB for each application, is only for files that are served.
    application.resp_options.static_media_types = {}
    return application


def make_application(counters: Counters, health: Callable[[], str]) -> falcon.App:
    """Return an application with JSON error responses, a health check and metrics."""
    application = plain_application()
    application.add_error_handler(FulmarholdError, _answer_error)
    application.add_route("/metrics", MetricsResource(counters))
    application.add_route("/health", HealthResource(health))
    return application


def metrics_application(counters: Counters) -> falcon.App:
    """Return an application that serves only metrics."""
    application = plain_application()
    application.add_route("/metrics", MetricsResource(counters))
    return application


def start_server(
    application: falcon.App,
    address: str,
    port: int,
    counters: Counters | None = None,
    budget: ConnectionBudget | None = None,
) -> ApplicationServer:
    """Serve an application; raises `FulmarholdError` if the port can't be bound.

    `budget` is shared with other ports of the process, if it has any for callers.
    """
    clock, counters = Clock(), counters or Counters()
    server = ApplicationServer(
        listen(address, port),
        application,
        # Without a name, the server would look up that of the address, which may take seconds and
        # loads a resolver with its threads.
        environ={"SERVER_NAME": address},
        budget=budget or ConnectionBudget(clock, counters),
        clock=clock,
        counters=counters,
        log=None,
        error_log=_ErrorLog(),
        spawn=Pool(),
    )
    server.start()
    return server


def read_body(request: falcon.Request, max_bytes: int = LARGEST_BODY_BYTES) -> bytes:
    """Return the body of a request; raises `BodyTooLarge` above `max_bytes`."""
    if (request.content_length or 0) > max_bytes:
        raise BodyTooLarge(f"the body is larger than {max_bytes} bytes", step="reading the body")
    body: bytes = request.bounded_stream.read(max_bytes + 1)
    if len(body) > max_bytes:
        raise BodyTooLarge(f"the body is larger than {max_bytes} bytes", step="reading the body")
    return body


@contextmanager
def held_body(request: falcon.Request, max_bytes: int, memory: MemoryBudget) -> Iterator[bytes]:
    """Yield the body of a request, and count it as held until the request is handled.

    Raises `BodyTooLarge` above `max_bytes`, and `NoMemory` once there is no room for more of it.
    """
    owners = (f"caller {request.remote_addr}",)
    held = memory.open_fixed(Holder.REQUEST, owners)
    connection: TrackedConnection | None = request.env.get(CONNECTION_KEY)
    if connection is not None:
        connection.held, connection.owners = held, owners
    length = request.content_length or 0
    if length > max_bytes:
        raise BodyTooLarge(f"the body is larger than {max_bytes} bytes", step="reading the body")
    pieces: list[bytes] = []
    try:
        while piece := request.bounded_stream.read(READ_BYTES):
            if not held.try_grow(len(piece)):
                raise NoMemory("no memory is left for the body", step="reading the body")
            pieces.append(piece)
            if held.size > max_bytes:
                raise BodyTooLarge(
                    f"the body is larger than {max_bytes} bytes", step="reading the body"
                )
        body = b"".join(pieces)
        pieces.clear()
        yield body
    finally:
        held.release()
        if connection is not None:
            connection.held = None


def is_connected(request: falcon.Request) -> bool:
    """Whether the caller of a request still waits for the response.

    A process that was suspended finds requests whose callers have given up since, and may have sent
    them again elsewhere.
    """
    connection = request.env.get(SOCKET_KEY)
    return connection is None or not has_ended(connection)


def read_json(request: falcon.Request, max_bytes: int = LARGEST_BODY_BYTES) -> dict[str, Any]:
    """Return the body as a JSON object; raises `MalformedInput` if it is not one."""
    try:
        value = json.loads(read_body(request, max_bytes))
    except (ValueError, RecursionError) as error:
        raise MalformedInput(f"the body is not JSON: {error}", step="reading the body") from error
    if not isinstance(value, dict):
        raise MalformedInput("the body must be a JSON object", step="reading the body")
    return value


def _answer_error(
    _: falcon.Request, response: falcon.Response, error: FulmarholdError, __: Any
) -> None:
    response.status = falcon.HTTP_400 if isinstance(error, MalformedInput) else falcon.HTTP_409
    if isinstance(error, BodyTooLarge):
        response.status = falcon.HTTP_413
    response.media = {"error": error.message, "step": error.step, "peer": error.peer}


class _ErrorLog:
    def write(self, text: str) -> None:
        if text.strip():
            log.warning("{}", text.strip())
