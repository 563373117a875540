"""Read-only queries of operators to a control instance."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarhold.clock import Clock
    from fulmarhold.consensus.node import Node
    from fulmarhold.control.machine import ControlMachine
    from fulmarhold.control.presence import Presence
    from fulmarhold.observe.counters import Gauge
    from fulmarhold.settings.processes import ControlSettings


class ControlQueries:
    """Answers queries; `stale` in an answer is false only for a linearizable read."""

    def __init__(
        self,
        settings: ControlSettings,
        node: Node,
        machine: ControlMachine,
        presence: Presence,
        clock: Clock,
    ) -> None:
        self._settings = settings
        self._node = node
        self._machine = machine
        self._presence = presence
        self._clock = clock

    def identity(self) -> dict[str, Any]:
        """Return the identity of this instance, which is needed to form a cluster or join one."""
        return {
            "name": self._settings.name,
            "identity": self._node.identity,
            "cluster": self._node.cluster,
            "endpoint": self._settings.peer_endpoint,
        }

    def health(self) -> str:
        """Return an empty string if healthy, or why this instance can't serve."""
        if not self._node.is_formed:
            return "belongs to no cluster yet"
        if self._node.leader_endpoint is None:
            return "knows no leader"
        return ""

    def configuration(self) -> dict[str, Any]:
        """Return the accepted revision and its configuration."""
        state = self._machine.state
        return {
            "stale": not self._node.can_serve_reads(),
            "revision": state.revision,
            "accepted_by": state.accepted_by,
            "accepted_at": state.accepted_at,
            "configuration": state.document,
        }

    def evacuations(self) -> dict[str, Any]:
        """Return the evacuated data centres."""
        evacuations = self._machine.state.evacuations
        return {
            "stale": not self._node.can_serve_reads(),
            "version": evacuations.version,
            "data_centres": list(evacuations.data_centres),
        }

    def status(self) -> dict[str, Any]:
        """Return cluster members, roster, and the version that each entry runs."""
        state = self._machine.state
        answer: dict[str, Any] = {
            "stale": not self._node.can_serve_reads(),
            "name": self._settings.name,
            "revision": state.revision,
            "version": state.version,
            "accepted_by": state.accepted_by,
            "claims": len(state.claims),
            "commands_remembered": len(state.commands),
            "entries": [self._entry(name) for name in sorted(state.roster)],
        }
        if self._node.is_formed:
            core = self._node.core
            answer["role"] = core.role.value
            answer["term"] = core.term
            answer["commit_index"] = core.commit_index
            answer["leader"] = core.leader
            answer["voters"] = core.members.voters
            answer["learners"] = core.members.learners
        return answer

    def gauges(self) -> Iterable[Gauge]:
        """Yield the gauges that a metrics scrape reads."""
        yield "control_revision", {}, float(self._machine.state.revision)
        yield "control_claims", {}, float(len(self._machine.state.claims))
        yield "control_can_store", {}, float(self._node.can_store)
        yield "control_applied_index", {}, float(self._node.applied_index)
        yield "control_leads", {}, float(self._node.is_formed and self._node.core.is_leader)

    def _entry(self, name: str) -> dict[str, Any]:
        roster = self._machine.state.roster[name]
        known = self._presence.find(name)
        return {
            "name": name,
            "data_centre": roster.data_centre,
            "caller_endpoint": roster.caller_endpoint,
            "version": known.version if known else None,
            "state": known.state if known else "not heard",
            "heard_ms_ago": round(self._clock.now() - known.heard_at) if known else None,
        }
