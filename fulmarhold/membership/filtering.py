"""Keeps statements that can't be used out of the stores of control and of entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarhold.membership.validity import instance_problem, upstream_problem
from fulmarhold.observe.limited import LimitedLog

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import logbook

    from fulmarhold.clock import Clock
    from fulmarhold.membership.statements import (
        InstanceStatement,
        Statement,
        UpstreamStatement,
    )
    from fulmarhold.observe.counters import Counters


class StatementFilter:
    """Passes on statements that can be used; the others are skipped, counted and logged."""

    def __init__(self, log: logbook.Logger, clock: Clock, counters: Counters) -> None:
        self._log = LimitedLog(log, clock)
        self._counters = counters

    def usable_upstreams(
        self, statements: Iterable[UpstreamStatement], origin: str
    ) -> tuple[UpstreamStatement, ...]:
        """Return the upstreams' statements that can be used; `origin` is for the log."""
        return self._usable(statements, upstream_problem, "upstream", origin)

    def usable_instances(
        self, statements: Iterable[InstanceStatement], origin: str
    ) -> tuple[InstanceStatement, ...]:
        """Return the instances' statements that can be used; `origin` is for the log."""
        return self._usable(statements, instance_problem, "instance", origin)

    def _usable(
        self,
        statements: Iterable[Statement],
        find_problem: Callable[[Statement], str],
        subject: str,
        origin: str,
    ) -> tuple[Statement, ...]:
        usable = []
        for statement in statements:
            problem = find_problem(statement)
            if problem:
                self._counters.add("statements_skipped", subject=subject)
                self._log.warning(
                    "skipped the statement of {} {} ({}): {}",
                    subject,
                    statement.name,
                    origin,
                    problem,
                )
            else:
                usable.append(statement)
        return tuple(usable)
