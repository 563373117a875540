"""A process that hosts many stand-in upstreams, with an HTTP port for commands from tests."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from random import Random
from typing import TYPE_CHECKING, Annotated, Any

import falcon
import gevent
from gevent.event import AsyncResult
from pydantic import ConfigDict, Field

from fulmarhold.callers.finder import EntryFinder
from fulmarhold.clock import Clock, Milliseconds
from fulmarhold.errors import MalformedInput
from fulmarhold.membership.records import UpstreamRecord
from fulmarhold.observe.counters import Counters
from fulmarhold.settings.processes import Address, Endpoint, LogSettings, Name, Port
from fulmarhold.standin.announcer import Announcer
from fulmarhold.standin.behaviour import Behaviour
from fulmarhold.standin.upstream import StandinUpstream
from fulmarhold.web.serving import make_application, read_json, start_server

if TYPE_CHECKING:
    from collections.abc import Callable

STRICT = ConfigDict(extra="forbid")


@dataclass(frozen=True)
class StandinServer:
    """Settings of one upstream that the process hosts."""

    __pydantic_config__ = STRICT

    record: UpstreamRecord
    connection_cost_ms: Annotated[float, Field(ge=0)] = 0.0


@dataclass(frozen=True)
class StandinSettings:
    """Settings of `fulmarhold-standin`."""

    __pydantic_config__ = STRICT

    address: Address
    command_port: Port
    data_centre: Name
    entries: tuple[Endpoint, ...]
    servers: tuple[StandinServer, ...]
    seed: int = 1
    behaviour: Behaviour = field(default_factory=Behaviour)
    log: LogSettings = field(default_factory=LogSettings)


class StandinProcess:
    """Runs all stand-in upstreams of one process and executes commands on them."""

    def __init__(self, settings: StandinSettings) -> None:
        self._settings = settings
        self.failure: AsyncResult = AsyncResult()
        clock = Clock()
        finder = EntryFinder(settings.entries, settings.data_centre, clock)
        self._upstreams: dict[str, StandinUpstream] = {}
        self._announcers: dict[str, Announcer] = {}
        for number, server in enumerate(settings.servers):
            upstream = StandinUpstream(
                server.record,
                server.connection_cost_ms,
                settings.behaviour,
                Random(settings.seed * 10_007 + number),
                clock,
            )
            self._upstreams[server.record.address] = upstream
            self._announcers[server.record.address] = Announcer(
                upstream, finder, settings.data_centre
            )
        self._commands: dict[str, Callable[[StandinUpstream, dict[str, Any]], None]] = {
            "behave": self._behave,
            "announce": self._announce,
            "stop": lambda upstream, _: upstream.stop(),
            "restart": lambda upstream, _: upstream.restart(),
        }

    def start(self) -> None:
        """Start the command port, then start and announce every upstream."""
        application = make_application(Counters(), lambda: "")
        application.add_route("/command", self)
        application.add_route("/report", _ReportResource(self._upstreams))
        self._http = start_server(application, self._settings.address, self._settings.command_port)
        for upstream in self._upstreams.values():
            upstream.start()
        self._greenlets = [gevent.spawn(item.run) for item in self._announcers.values()]

    def stop(self, told_at: Milliseconds) -> None:
        """Stop all upstreams immediately."""
        gevent.killall(self._greenlets)
        for upstream in self._upstreams.values():
            upstream.stop()
        self._http.stop(timeout=0)

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """POST /command: {"command", "addresses" (all if omitted), "arguments"}."""
        body = read_json(request)
        command = self._commands.get(body.get("command", ""))
        if command is None:
            raise MalformedInput(f"command: must be one of {', '.join(self._commands)}")
        addresses = body.get("addresses") or list(self._upstreams)
        for address in addresses:
            if address not in self._upstreams:
                raise MalformedInput(f"addresses: no upstream {address!r}")
            command(self._upstreams[address], body.get("arguments") or {})
            self._announcers[address].announce_now()
        response.media = {"done": len(addresses)}

    def _behave(self, upstream: StandinUpstream, arguments: dict[str, Any]) -> None:
        upstream.behaviour = replace(upstream.behaviour, **arguments)

    def _announce(self, upstream: StandinUpstream, arguments: dict[str, Any]) -> None:
        if "versions" in arguments:
            arguments = {**arguments, "versions": tuple(arguments["versions"])}
        upstream.update(**arguments)


class _ReportResource:
    def __init__(self, upstreams: dict[str, StandinUpstream]) -> None:
        self._upstreams = upstreams

    def on_get(self, _: falcon.Request, response: falcon.Response) -> None:
        response.media = {
            address: upstream.report() for address, upstream in self._upstreams.items()
        }
