"""The operators' HTTP interface of a control instance, split into commands and queries."""

from __future__ import annotations

from dataclasses import asdict
from typing import TYPE_CHECKING, Any

import falcon

from fulmarhold.consensus.core import MembershipRefused, NotLeader
from fulmarhold.consensus.node import NotFormed, OutcomeUnknown
from fulmarhold.control.leader import Undecided
from fulmarhold.control.messages import Accepted, CommandRefused, Superseded
from fulmarhold.errors import FulmarholdError, MalformedInput
from fulmarhold.settings.loading import InvalidSettings
from fulmarhold.web.serving import is_connected, make_application, read_json

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.consensus.node import Node
    from fulmarhold.control.evacuations import EvacuationService
    from fulmarhold.control.queries import ControlQueries
    from fulmarhold.control.service import AcceptResult, ControlService
    from fulmarhold.observe.counters import Counters

MAX_CONFIGURATION_BYTES = 2 * 1024 * 1024


class CommandResource:
    """POST /commands/NAME: changes state; the body is a JSON object."""

    def __init__(self, service: ControlService, node: Node) -> None:
        self._commands: dict[str, Callable[[dict[str, Any]], tuple[str, dict[str, Any]]]] = {
            "accept": self._accept,
            "form": self._form,
            "admit": self._admit,
            "remove": self._remove,
        }
        self._service = service
        self._node = node

    def on_post(self, request: falcon.Request, response: falcon.Response, name: str) -> None:
        if name not in self._commands:
            raise MalformedInput(f"unknown command {name!r}", step="commands")
        body = read_json(request, MAX_CONFIGURATION_BYTES)
        response.status, response.media = self._commands[name](body)

    def _accept(self, body: dict[str, Any]) -> tuple[str, dict[str, Any]]:
        result = self._service.accept(
            _field(body, "command_id", str),
            _field(body, "operator", str),
            _field(body, "base_revision", int),
            _field(body, "configuration", dict),
        )
        return _accept_answer(result)

    def _form(self, body: dict[str, Any]) -> tuple[str, dict[str, Any]]:
        self._node.form(_field(body, "cluster", str), _field(body, "voters", dict))
        return falcon.HTTP_200, {"outcome": "formed"}

    def _admit(self, body: dict[str, Any]) -> tuple[str, dict[str, Any]]:
        self._service.admit_member(_field(body, "identity", str), _field(body, "endpoint", str))
        return falcon.HTTP_200, {"outcome": "admitted as a learner"}

    def _remove(self, body: dict[str, Any]) -> tuple[str, dict[str, Any]]:
        self._service.remove_member(_field(body, "identity", str))
        return falcon.HTTP_200, {"outcome": "removed"}


class EvacuationResource:
    """POST /commands/evacuate and /commands/restore: the body names the data centre."""

    def __init__(self, evacuations: EvacuationService, *, is_evacuated: bool) -> None:
        self._evacuations = evacuations
        self._is_evacuated = is_evacuated

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        data_centre = _field(read_json(request), "data_centre", str)
        ordered = self._evacuations.order(
            data_centre,
            is_evacuated=self._is_evacuated,
            is_wanted=lambda: is_connected(request),
        )
        response.media = {"version": ordered.version, "data_centres": ordered.data_centres}


class QueryResource:
    """GET /queries/NAME: reads state; linearizable unless the answer says `stale`."""

    def __init__(self, queries: ControlQueries) -> None:
        self._queries = {
            "identity": queries.identity,
            "status": queries.status,
            "configuration": queries.configuration,
            "evacuations": queries.evacuations,
        }

    def on_get(self, _: falcon.Request, response: falcon.Response, name: str) -> None:
        if name not in self._queries:
            raise MalformedInput(f"unknown query {name!r}", step="queries")
        response.media = self._queries[name]()


def operator_application(
    service: ControlService,
    queries: ControlQueries,
    node: Node,
    counters: Counters,
    evacuations: EvacuationService,
) -> falcon.App:
    """Return the operators' interface as a WSGI application."""
    application = make_application(counters, queries.health)
    for error_type in (NotLeader, NotFormed, OutcomeUnknown, Undecided):
        application.add_error_handler(error_type, _answer_unavailable)
    application.add_error_handler(InvalidSettings, _answer_invalid)
    application.add_error_handler(MembershipRefused, _answer_refused)
    application.add_route("/commands/{name}", CommandResource(service, node))
    for name, is_evacuated in (("evacuate", True), ("restore", False)):
        resource = EvacuationResource(evacuations, is_evacuated=is_evacuated)
        application.add_route(f"/commands/{name}", resource)
    application.add_route("/queries/{name}", QueryResource(queries))
    return application


def _accept_answer(result: AcceptResult) -> tuple[str, dict[str, Any]]:
    match result.outcome:
        case Accepted() as accepted:
            return falcon.HTTP_200, {
                "outcome": "accepted",
                "revision": accepted.revision,
                "in_force": result.in_force,
                "waiting_for": list(result.waiting_for),
            }
        case Superseded() as superseded:
            return falcon.HTTP_409, {"outcome": "superseded", **asdict(superseded)}
        case CommandRefused() as refused:
            return falcon.HTTP_400, {"outcome": "refused", "reason": refused.reason}


def _field(body: dict[str, Any], name: str, expected: type) -> Any:
    value = body.get(name)
    if not isinstance(value, expected) or isinstance(value, bool):
        raise MalformedInput(f"{name}: must be given as {expected.__name__}", step="commands")
    return value


def _answer_unavailable(
    _: falcon.Request, response: falcon.Response, error: FulmarholdError, __: Any
) -> None:
    response.status = falcon.HTTP_503
    response.media = {"error": type(error).__name__, "detail": str(error)}


def _answer_invalid(
    _: falcon.Request, response: falcon.Response, error: InvalidSettings, __: Any
) -> None:
    response.status = falcon.HTTP_422
    response.media = {"error": error.message, "problems": [str(item) for item in error.problems]}


def _answer_refused(
    _: falcon.Request, response: falcon.Response, error: FulmarholdError, __: Any
) -> None:
    response.status = falcon.HTTP_409
    response.media = {"error": error.message}
