"""The control daemon: a replicated log with interfaces for entries and operators."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import gevent

from fulmarhold.clock import Clock, Milliseconds
from fulmarhold.consensus.node import Node
from fulmarhold.consensus.storage import Storage
from fulmarhold.consensus.transport import Transport
from fulmarhold.control.evacuations import EvacuationService
from fulmarhold.control.http import operator_application
from fulmarhold.control.machine import ControlMachine
from fulmarhold.control.presence import Presence
from fulmarhold.control.queries import ControlQueries
from fulmarhold.control.service import IN_FORCE_TIMEOUT, ControlService
from fulmarhold.observe.counters import Counters
from fulmarhold.observe.logs import get_logger
from fulmarhold.web.serving import start_server
from fulmarhold.wire.server import MessageServer

if TYPE_CHECKING:
    from fulmarhold.settings.processes import ControlSettings

log = get_logger("control")

# How long a stopping instance waits for commands: until a configuration that it has accepted is in
# force. Without a majority, they are not decided in any time.
COMMAND_TIME: Milliseconds = IN_FORCE_TIMEOUT + 500.0


class ControlDaemon:
    """Wires up and runs the parts of one control process."""

    def __init__(self, settings: ControlSettings) -> None:
        self._settings = settings
        clock = self._clock = Clock()
        counters = self._counters = Counters()
        machine = ControlMachine()
        presence = Presence(clock)
        storage = Storage(Path(settings.data_folder))
        transport = Transport(settings.peer_endpoint)
        self.node = Node(storage, transport, machine, clock)
        self.failure = self.node.failure
        self._service = ControlService(self.node, machine, presence, clock, counters)
        queries = ControlQueries(settings, self.node, machine, presence, clock)
        counters.register_gauges(queries.gauges)
        evacuations = EvacuationService(self.node, machine, clock, counters)
        counters.register_gauges(evacuations.gauges)
        self._application = operator_application(
            self._service, queries, self.node, counters, evacuations
        )
        self._messages = MessageServer(settings.peer_endpoint, counters)
        self._service.register(self._messages)
        evacuations.register(self._messages)

    def start(self) -> None:
        """Load the durable state, start this member and listen for entries and operators."""
        self.node.start()
        self._messages.start()
        self._http = start_server(
            self._application,
            self._settings.address,
            self._settings.operator_port,
            self._counters,
        )
        self._housekeeping = gevent.spawn(self._service.run_housekeeping)
        log.info("{} listening on {}", self._settings.name, self._settings.peer_endpoint)

    def stop(self, told_at: Milliseconds) -> None:
        """Answer the commands that have arrived, hand over leadership and stop."""
        self._housekeeping.kill()
        # Without leadership, the outcome of commands in progress would be unknown.
        self._http.finish(told_at + COMMAND_TIME - self._clock.now())
        self.node.transfer_leadership()
        self._http.stop(timeout=0)
        self._messages.stop()
        self.node.stop()
        log.info("{} stopped", self._settings.name)
