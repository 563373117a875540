"""Evacuates data centres and ends evacuations on the orders of operators."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.control.leader import DECISION_TIMEOUT, LeaderCalls, Undecided
from fulmarhold.control.messages import CommandRefused
from fulmarhold.errors import MalformedInput
from fulmarhold.membership.evacuation import (
    EvacuationOrdered,
    EvacuationOutdated,
    OrderEvacuation,
    SetEvacuation,
)
from fulmarhold.membership.validity import check_data_centre_name
from fulmarhold.observe.logs import get_logger

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from fulmarhold.clock import Clock
    from fulmarhold.consensus.node import Node
    from fulmarhold.control.machine import ControlMachine
    from fulmarhold.membership.evacuation import Evacuations
    from fulmarhold.observe.counters import Counters, Gauge
    from fulmarhold.wire.server import MessageServer

log = get_logger("evacuations")

# Pause before an order that no leader has decided is submitted again.
RETRY_PAUSE: Milliseconds = 40.0


class EvacuationService:
    """Decides orders on this instance if it leads, and else on the leader.

    An order that is submitted again within its time can't take effect after a later order was
    acknowledged, because each submission is valid only until the next order is applied.
    """

    def __init__(
        self, node: Node, machine: ControlMachine, clock: Clock, counters: Counters
    ) -> None:
        self._machine = machine
        self._clock = clock
        self._counters = counters
        self._leader = LeaderCalls(node, counters, "evacuation_refusals")

    @property
    def current(self) -> Evacuations:
        """The set as far as this instance has applied it."""
        return self._machine.state.evacuations

    def register(self, server: MessageServer) -> None:
        """Register the handler of orders that other control instances forward."""
        server.handle(OrderEvacuation, self._order_here)

    def order(
        self,
        data_centre: str,
        *,
        is_evacuated: bool,
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> Evacuations:
        """Evacuate a data centre or end that, and return the set once a majority has stored it.

        Nothing more is submitted once `is_wanted` is false, because the operator has given up.
        Raises `MalformedInput` for an invalid name, and `Undecided` when no majority confirmed the
        order in time.
        """
        verb = "evacuate" if is_evacuated else "restore"
        arrived_at = self._clock.now()
        try:
            check_data_centre_name(data_centre)
            ordered = self._submit(
                data_centre, is_evacuated, arrived_at + DECISION_TIMEOUT, is_wanted
            )
        except MalformedInput as error:
            self._count(verb, "refused")
            log.warning("{} {!r:.80}: refused, {}", verb, data_centre, error)
            raise
        except ValueError as error:
            self._count(verb, "invalid")
            log.warning("{} {!r:.80}: refused, the name {}", verb, data_centre, error)
            raise MalformedInput(f"the name of a data centre {error}", step=verb) from error
        except Undecided as error:
            self._count(verb, "undecided")
            log.warning("{} {}: undecided after {:.0f} ms, {}", verb, data_centre,
                        self._clock.now() - arrived_at, error)  # fmt: skip
            raise
        self._count(verb, "changed" if ordered.is_change else "unchanged")
        log.info(
            "{} {}: {} after {:.0f} ms, evacuated data centres are {}",
            verb,
            data_centre,
            "changed" if ordered.is_change else "unchanged",
            self._clock.now() - arrived_at,
            ordered.evacuations,
        )
        if is_evacuated and len(ordered.evacuations.data_centres) > 1:
            log.warning("more than one data centre is evacuated: {}", ordered.evacuations)
        return ordered.evacuations

    def gauges(self) -> Iterable[Gauge]:
        """Yield how many data centres are evacuated, and the version of the set."""
        yield "control_evacuated_data_centres", {}, float(len(self.current.data_centres))
        yield "control_evacuations_version", {}, float(self.current.version)

    def _submit(
        self,
        data_centre: str,
        is_evacuated: bool,
        until: Milliseconds,
        is_wanted: Callable[[], bool],
    ) -> EvacuationOrdered:
        base = self._machine.state.evacuation_orders
        while True:
            left = until - self._clock.now()
            if left <= 0:
                raise Undecided("other orders came in between", step="ordering an evacuation")
            if not is_wanted():
                raise Undecided("the operator has given up", step="ordering an evacuation")
            request = OrderEvacuation(data_centre, is_evacuated, base, left)
            try:
                reply = self._leader.ask(request, self._order_here, left)
            except Undecided:
                if self._clock.now() + RETRY_PAUSE >= until:
                    raise
                gevent.sleep(RETRY_PAUSE / SECOND)
                continue
            match reply:
                case EvacuationOrdered():
                    return reply
                case EvacuationOutdated(orders):
                    base = orders
                case CommandRefused(reason):
                    raise MalformedInput(reason, step="ordering an evacuation")
                case _:
                    raise Undecided(f"unexpected reply {reply!r:.80}", step="ordering")

    def _order_here(self, request: OrderEvacuation) -> Any:
        command = SetEvacuation(
            request.data_centre, request.is_evacuated, request.base, self._clock.wall()
        )
        return self._leader.propose(command, min(max(0.0, request.left), DECISION_TIMEOUT))

    def _count(self, order: str, result: str) -> None:
        self._counters.add("evacuation_orders", order=order, result=result)
