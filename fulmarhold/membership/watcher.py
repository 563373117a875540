"""Keeps an entry's view of configuration, upstreams and instances up with control."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import gevent

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.errors import FulmarholdError
from fulmarhold.membership.feed import AskConfirmation, Confirmation, FeedReply, WatchFeed
from fulmarhold.membership.statements import (
    LEFT,
    READY,
    SILENT,
    InstanceStatement,
    State,
    StatementStore,
    UpstreamStatement,
    owners,
)
from fulmarhold.observe.logs import part_log
from fulmarhold.wire.client import Link
from fulmarhold.wire.links import Links

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.clock import Clock
    from fulmarhold.observe.counters import Counters

log = part_log("watcher")

# An idle feed is answered every 400 ms; past this the source counts as lost.
FEED_TIMEOUT: Milliseconds = 900.0
# A source whose leader was confirmed longer ago may be cut off from newer configurations.
OLDEST_CONFIRMATION: Milliseconds = 1_200.0
# A starting entry asks all sources at once, since one that has no power never answers; two trips
# between data centres and a busy control instance fit.
ASK_TIMEOUT: Milliseconds = 150.0
# Between two rounds of that, at first and while no control instance can be followed for long.
SHORTEST_ROUND: Milliseconds = 30.0
LONGEST_ROUND: Milliseconds = 250.0
ROUND_GROWTH = 1.2
RETRY_PAUSE: Milliseconds = 60.0
# A source that failed is not asked again for this long unless all have failed: a restart of one
# takes half a second, and an election not much longer.
FAILURE_REMEMBERED: Milliseconds = 3_000.0


class FleetWatcher:
    """Follows one control instance at a time; what it learnt stays when the source is lost."""

    def __init__(
        self,
        own: InstanceStatement,
        seeds: Callable[[], tuple[str, ...]],
        take_configuration: Callable[[int, bytes], None],
        on_change: Callable[[], None],
        clock: Clock,
        counters: Counters,
    ) -> None:
        self.upstreams: StatementStore[UpstreamStatement] = StatementStore()
        self.instances: StatementStore[InstanceStatement] = StatementStore()
        self._own = own
        self._seeds = seeds
        self._take_configuration = take_configuration
        self._on_change = on_change
        self._clock = clock
        self._counters = counters
        self._version = 0
        self._source = ""
        self._positions = (0, 0)
        self._endpoint = ""
        self._failed: dict[str, Milliseconds] = {}
        self._confirmed_at: Milliseconds = float("-inf")

    @property
    def own(self) -> InstanceStatement:
        return self._own

    @property
    def feed_age(self) -> Milliseconds:
        """How long ago a majority of control stood behind what this entry knows."""
        return self._clock.now() - self._confirmed_at

    def announce(self, state: State, is_busy: bool = False) -> None:
        """Change what this instance says of itself, and tell it at once."""
        sequence = self._own.sequence + 1
        self._own = replace(self._own, state=state, is_busy=is_busy, sequence=sequence)
        self.instances.apply(self._own, self._clock.now())
        self._on_change()
        if self._endpoint:
            gevent.spawn(self._tell_now)

    def serving_upstreams(self) -> list[UpstreamStatement]:
        """Return the upstreams that take work, by the newest word of whoever owns the address."""
        return [
            statement
            for statement in owners(self.upstreams.all()).values()
            if statement.state == READY
        ]

    def entries(self) -> list[InstanceStatement]:
        """Return the entries that serve callers now."""
        return [
            item for item in self.instances.all() if item.role == "entry" and item.state == READY
        ]

    def run(self) -> None:
        """Follow a source, and another when it is lost or cut off, until killed."""
        endpoint = self._first_source()
        while True:
            link = Link(endpoint)
            self._endpoint = endpoint
            try:
                self._follow(link)
                log.info("leaves the feed of {} for one at home", endpoint)
                endpoint = self._choose_source()
                continue
            except FulmarholdError as error:
                self._counters.add("feed_losses", reason=type(error).__name__)
                log.warning("lost the feed of {}: {}", endpoint, error)
            finally:
                link.close()
            self._failed[endpoint] = self._clock.now()
            gevent.sleep(RETRY_PAUSE / SECOND)
            endpoint = self._choose_source() if self._version else self._first_source()

    def _first_source(self) -> str:
        """Return the first control instance that answers that it may be followed."""
        links = Links()
        pause = SHORTEST_ROUND
        try:
            while True:
                asked = {
                    gevent.spawn(self._may_follow, links.to(endpoint)): endpoint
                    for endpoint in self._sources()
                }
                for answered in gevent.iwait(asked):
                    if answered.value:
                        return asked[answered]
                gevent.sleep(pause / SECOND)
                pause = min(LONGEST_ROUND, ROUND_GROWTH * pause)
        finally:
            links.close()

    def _may_follow(self, link: Link) -> bool:
        try:
            reply = link.call(AskConfirmation(), ASK_TIMEOUT)
        except FulmarholdError as error:
            self._counters.add("feed_losses", reason=type(error).__name__)
            return False
        return (
            isinstance(reply, Confirmation)
            and reply.is_ready
            and reply.confirmed_age <= OLDEST_CONFIRMATION
        )

    def _choose_source(self) -> str:
        """Return a source that has not just failed, preferring the own data centre."""
        at_home = self._sources_at_home()
        earliest = self._clock.now() - FAILURE_REMEMBERED
        never = float("-inf")

        def order(endpoint: str) -> tuple[bool, bool, Milliseconds]:
            failed_at = self._failed.get(endpoint, never)
            has_failed = failed_at > earliest
            return has_failed, not has_failed and endpoint not in at_home, failed_at

        return min(self._sources(), key=order)

    def _sources(self) -> list[str]:
        return list(dict.fromkeys((*self._seeds(), *self._control_instances())))

    def _control_instances(self) -> dict[str, InstanceStatement]:
        return {
            item.endpoint: item
            for item in self.instances.all()
            if item.role == "control" and item.state not in (SILENT, LEFT)
        }

    def _sources_at_home(self) -> set[str]:
        return {
            endpoint
            for endpoint, item in self._control_instances().items()
            if item.data_centre == self._own.data_centre
        }

    def _is_better_at_home(self, endpoint: str) -> bool:
        """Whether a source of this data centre, whose traffic costs less, may be followed."""
        at_home = self._sources_at_home()
        earliest = self._clock.now() - FAILURE_REMEMBERED
        return endpoint not in at_home and any(
            self._failed.get(item, earliest) <= earliest for item in at_home
        )

    def _follow(self, link: Link) -> None:
        """Follow a source until it is lost, or until one at home can take its place."""
        is_first = True
        while True:
            # Another life of this entry may be known under an older sequence.
            self._own = replace(self._own, sequence=self._own.sequence + 1)
            asked_at = self._clock.now()
            reply = link.call(
                WatchFeed(self._own, self._source, *self._positions, self._version), FEED_TIMEOUT
            )
            if not isinstance(reply, FeedReply):
                raise FulmarholdError("unexpected reply", step="watching", peer=link.endpoint)
            self._take(reply, asked_at)
            if reply.confirmed_age > OLDEST_CONFIRMATION:
                raise FulmarholdError(
                    f"its leader was confirmed {reply.confirmed_age:.0f} ms ago",
                    step="watching",
                    peer=link.endpoint,
                )
            if is_first:
                log.info("follows {} at version {}", link.endpoint, self._version)
                is_first = False
            elif self._is_better_at_home(link.endpoint):
                return

    def _take(self, reply: FeedReply, asked_at: Milliseconds) -> None:
        now = self._clock.now()
        before_all = self._state()
        for upstream in reply.upstreams:
            before = self.upstreams.find(upstream.name)
            if self.upstreams.apply(upstream, now):
                log.info(
                    "upstream {} of {} at {} is {}, was {}",
                    upstream.name,
                    upstream.service,
                    upstream.address,
                    upstream.state,
                    before.state if before else "unknown",
                )
        for instance in reply.instances:
            if instance.name != self._own.name:
                self.instances.apply(instance, now)
            elif instance.born > self._own.born:
                # The time of day went back between two lives of this instance.
                self._own = replace(self._own, born=instance.born + 1)
        self._source = reply.source
        self._positions = (reply.upstream_position, reply.instance_position)
        is_confirmed = reply.confirmed_age <= OLDEST_CONFIRMATION
        # A first configuration must be the newest; later ones only need to be newer.
        may_take = is_confirmed or self._version > 0
        if may_take and reply.configuration is not None and reply.version > self._version:
            self._version = reply.version
            self._take_configuration(reply.version, reply.configuration)
        if is_confirmed:
            self._confirmed_at = max(self._confirmed_at, asked_at - reply.confirmed_age)
        if self._state() != before_all:
            self._on_change()
        self.upstreams.forget_ended(now)
        self.instances.forget_ended(now)

    def _state(self) -> tuple[int, int, int]:
        return self.upstreams.position, self.instances.position, self._version

    def _tell_now(self) -> None:
        """Tell the source of a new state without waiting for the open watch to be answered."""
        link = Link(self._endpoint)
        try:
            link.call(
                WatchFeed(self._own, self._source, *self._positions, self._version), FEED_TIMEOUT
            )
        except FulmarholdError as error:
            log.warning("could not tell {} of the new state: {}", self._endpoint, error)
        finally:
            link.close()
