"""The simulated behaviour of a stand-in upstream, which tests change by commands."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from random import Random

    from fulmarhold.clock import Milliseconds


@dataclass(frozen=True)
class Behaviour:
    """Simulated latencies in milliseconds and fault probabilities between 0 and 1."""

    service_ms: float = 3.0
    spread_ms: float = 1.0
    straggle_share: float = 0.0
    straggle_factor: float = 20.0
    slow_factor: float = 1.0
    cold_ms: float = 0.0
    cold_factor: float = 5.0
    shed_share: float = 0.0
    error_share: float = 0.0
    wrong_echo_share: float = 0.0
    lose_response_share: float = 0.0
    late_after_cancel_ms: float = 0.0
    network_ms: float = 0.0
    network_spread_ms: float = 0.0
    reported_load: float | None = None
    announces: bool = True

    def draw_service_time(self, random: Random, age: Milliseconds) -> Milliseconds:
        """Return a random service time for a server that started `age` ms ago."""
        duration = self.service_ms + random.expovariate(1.0) * self.spread_ms
        duration *= self.slow_factor
        if self.straggle_share and random.random() < self.straggle_share:
            duration *= self.straggle_factor
        if age < self.cold_ms:
            duration *= self.cold_factor
        return duration

    def draw_network_time(self, random: Random) -> Milliseconds:
        """Return a random network delay for one request, both directions together."""
        if not self.network_ms and not self.network_spread_ms:
            return 0.0
        return 2 * self.network_ms + random.expovariate(1.0) * self.network_spread_ms
