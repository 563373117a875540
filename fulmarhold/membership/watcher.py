"""Keeps an entry's view of configuration, upstreams and instances up to date from control."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

import gevent
from msgspec import UNSET

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.errors import FulmarholdError
from fulmarhold.membership.evacuation import Evacuations
from fulmarhold.membership.feed import AskConfirmation, Confirmation, FeedReply, WatchFeed
from fulmarhold.membership.filtering import StatementFilter
from fulmarhold.membership.statements import (
    LEFT,
    READY,
    SILENT,
    InstanceStatement,
    State,
    StatementStore,
    UpstreamStatement,
    newest_by_name,
    owners_by_address,
)
from fulmarhold.observe.logs import get_logger
from fulmarhold.observe.traffic import TrafficCounter
from fulmarhold.wire.client import Link
from fulmarhold.wire.links import Links

if TYPE_CHECKING:
    from collections.abc import Callable, Container

    from fulmarhold.clock import Clock
    from fulmarhold.observe.counters import Counters

log = get_logger("watcher")

# Idle feeds are answered every 400 ms; a source that takes longer than this counts as lost.
FEED_TIMEOUT: Milliseconds = 900.0
# A source whose leader was last confirmed longer ago may be partitioned from newer configurations.
MAX_CONFIRMATION_AGE: Milliseconds = 1_200.0
# A starting entry probes all sources at once, since one without power never answers. Allows for
# two round trips between data centres and a busy control instance.
PROBE_TIMEOUT: Milliseconds = 150.0
# How long a starting entry waits for the instance in its data centre, once another has named it.
LOCAL_PROBE_TIMEOUT: Milliseconds = 60.0
# Pause between two rounds of probes: the first, and the limit that it grows to.
MIN_PROBE_PAUSE: Milliseconds = 30.0
MAX_PROBE_PAUSE: Milliseconds = 250.0
PROBE_PAUSE_GROWTH = 1.2
RETRY_PAUSE: Milliseconds = 60.0
# A failed source is not tried again for this long unless all have failed. The restart of a control
# instance takes half a second, and an election not much longer.
FAILURE_COOLDOWN: Milliseconds = 3_000.0


class FleetWatcher:
    """Follows one control instance at a time, and keeps its state when the source is lost."""

    def __init__(
        self,
        own: InstanceStatement,
        seeds: Callable[[], tuple[str, ...]],
        apply_configuration: Callable[[int, bytes], None],
        on_change: Callable[[], None],
        clock: Clock,
        counters: Counters,
    ) -> None:
        self.upstreams: StatementStore[UpstreamStatement] = StatementStore()
        self.instances: StatementStore[InstanceStatement] = StatementStore()
        self._evacuations = Evacuations()
        self._own = own
        self._seeds = seeds
        self._apply_configuration = apply_configuration
        self._on_change = on_change
        self._clock = clock
        self._counters = counters
        self._traffic = TrafficCounter(own.data_centre, counters)
        self._filter = StatementFilter(log, clock, counters)
        self._version = 0
        # Whether the configuration of that version is in use.
        self._is_applied = True
        self._source = ""
        self._positions = (0, 0)
        self._endpoint = ""
        self._failed: dict[str, Milliseconds] = {}
        self._confirmed_at: Milliseconds = float("-inf")

    @property
    def own(self) -> InstanceStatement:
        return self._own

    @property
    def evacuations(self) -> Evacuations:
        """The newest set of evacuated data centres; kept when contact with control is lost."""
        return self._evacuations

    @property
    def feed_age(self) -> Milliseconds:
        """Time since a majority of control last confirmed the data that this entry has."""
        return self._clock.now() - self._confirmed_at

    def control_endpoints(self) -> list[str]:
        """Return the endpoints of control instances, that of the followed one first."""
        followed = [self._endpoint] if self._endpoint else []
        return list(dict.fromkeys((*followed, *self._sources())))

    def control_data_centre(self, endpoint: str) -> str:
        """Return the data centre of a control instance, empty if that is unknown."""
        instance = self._control_instances().get(endpoint)
        return instance.data_centre if instance else ""

    def announce(self, state: State, is_busy: bool = False) -> None:
        """Change the state of this instance and send it to the source at once."""
        sequence = self._own.sequence + 1
        self._own = replace(self._own, state=state, is_busy=is_busy, sequence=sequence)
        self.instances.apply(self._own, self._clock.now())
        self._on_change()
        if self._endpoint:
            gevent.spawn(self._send_state)

    def serving_upstreams(self, services: Container[str]) -> list[UpstreamStatement]:
        """Return the upstreams of some services that own their address and are ready.

        A statement of another service, which may be unknown, takes neither a name nor an address
        from them. Where an address is used again, its new owner rejects requests that name the
        previous one.
        """
        self.upstreams.run_down(self._clock.now())
        stated = newest_by_name(item for item in self.upstreams.all() if item.service in services)
        return [item for item in owners_by_address(stated).values() if item.state == READY]

    def entries(self) -> list[InstanceStatement]:
        """Return the entries that serve callers now."""
        return [
            item for item in self.instances.all() if item.role == "entry" and item.state == READY
        ]

    def run(self) -> None:
        """Follow a source, and switch to another when it is lost or partitioned, until killed."""
        endpoint = self._first_source()
        while True:
            link = Link(endpoint)
            self._endpoint = endpoint
            try:
                self._follow(link)
                log.info("leaving the feed of {} for one in the same data centre", endpoint)
                endpoint = self._choose_source()
                continue
            except FulmarholdError as error:
                self._counters.add("feed_losses", reason=type(error).__name__)
                log.warning("lost the feed of {}: {}", endpoint, error)
            finally:
                self._count_traffic(link)
                link.close()
            self._failed[endpoint] = self._clock.now()
            gevent.sleep(RETRY_PAUSE / SECOND)
            endpoint = self._choose_source() if self._version else self._first_source()

    def _first_source(self) -> str:
        """Return the first control instance that replies that it can be followed.

        If that one names another in this data centre, the latter is returned if it replies too: an
        entry that starts gets the whole state, which is expensive between data centres.
        """
        links = Links()
        pause = MIN_PROBE_PAUSE
        try:
            while True:
                asked = {
                    gevent.spawn(self._probe, links.to(endpoint), PROBE_TIMEOUT): endpoint
                    for endpoint in self._sources()
                }
                for answered in gevent.iwait(asked):
                    if answered.value is None:
                        continue
                    local = answered.value.local_endpoint
                    is_local = local and self._probe(links.to(local), LOCAL_PROBE_TIMEOUT)
                    return local if is_local else asked[answered]
                gevent.sleep(pause / SECOND)
                pause = min(MAX_PROBE_PAUSE, PROBE_PAUSE_GROWTH * pause)
        finally:
            links.close()

    def _probe(self, link: Link, timeout: Milliseconds) -> Confirmation | None:
        """Return the confirmation of an instance that can be followed, or `None`."""
        try:
            reply = link.call(AskConfirmation(self._own.data_centre), timeout)
        except FulmarholdError as error:
            self._counters.add("feed_losses", reason=type(error).__name__)
            return None
        is_followable = (
            isinstance(reply, Confirmation)
            and reply.is_ready
            and reply.confirmed_age <= MAX_CONFIRMATION_AGE
        )
        return reply if is_followable else None

    def _choose_source(self) -> str:
        """Return a source that has not failed recently, preferring the same data centre."""
        local = self._local_sources()
        earliest = self._clock.now() - FAILURE_COOLDOWN
        never = float("-inf")

        def sort_key(endpoint: str) -> tuple[bool, bool, Milliseconds]:
            failed_at = self._failed.get(endpoint, never)
            has_failed = failed_at > earliest
            return has_failed, not has_failed and endpoint not in local, failed_at

        return min(self._sources(), key=sort_key)

    def _sources(self) -> list[str]:
        return list(dict.fromkeys((*self._seeds(), *self._control_instances())))

    def _control_instances(self) -> dict[str, InstanceStatement]:
        return {
            item.endpoint: item
            for item in self.instances.all()
            if item.role == "control" and item.state not in (SILENT, LEFT)
        }

    def _local_sources(self) -> set[str]:
        return {
            endpoint
            for endpoint, item in self._control_instances().items()
            if item.data_centre == self._own.data_centre
        }

    def _has_local_alternative(self, endpoint: str) -> bool:
        """Whether the source is remote while a local one, with cheaper traffic, is available."""
        local = self._local_sources()
        earliest = self._clock.now() - FAILURE_COOLDOWN
        return endpoint not in local and any(
            self._failed.get(item, earliest) <= earliest for item in local
        )

    def _follow(self, link: Link) -> None:
        """Follow a source until it is lost or a source in the same data centre is available."""
        is_first = True
        while True:
            # A higher sequence supersedes the statement that control holds, such as one of another
            # run, or one that declares this entry silent.
            self._own = replace(self._own, sequence=self._own.sequence + 1)
            asked_at = self._clock.now()
            reply = link.call(self._feed_request(), FEED_TIMEOUT)
            if not isinstance(reply, FeedReply):
                raise FulmarholdError("unexpected reply", step="watching", peer=link.endpoint)
            self._apply_reply(reply, asked_at)
            self._count_traffic(link)
            if reply.confirmed_age > MAX_CONFIRMATION_AGE:
                raise FulmarholdError(
                    f"the leader of the source was last confirmed {reply.confirmed_age:.0f} ms ago",
                    step="watching",
                    peer=link.endpoint,
                )
            if is_first:
                log.info("following {} at version {}", link.endpoint, self._version)
                is_first = False
            elif self._has_local_alternative(link.endpoint):
                return

    def _feed_request(self) -> WatchFeed:
        return WatchFeed(
            self._own,
            self._source,
            *self._positions,
            self._version,
            accepts_packed=True,
            evacuations_version=self._evacuations.version or UNSET,
        )

    def _apply_reply(self, reply: FeedReply, asked_at: Milliseconds) -> None:
        now = self._clock.now()
        previous_content = self._content_version()
        upstreams, instances = reply.statements()
        for upstream in self._filter.usable_upstreams(upstreams, self._endpoint):
            before = self.upstreams.find_same(upstream)
            if self.upstreams.apply(upstream, now):
                log.info(
                    "upstream {} of {} at {} is {}, was {}",
                    upstream.name,
                    upstream.service,
                    upstream.address,
                    upstream.state,
                    before.state if before else "unknown",
                )
        for instance in self._filter.usable_instances(instances, self._endpoint):
            if instance.name != self._own.name:
                self.instances.apply(instance, now)
            elif instance.born > self._own.born:
                # The wall clock went back between two runs of this instance.
                self._own = replace(self._own, born=instance.born + 1)
        self._source = reply.source
        self._positions = (reply.upstream_position, reply.instance_position)
        # Before a first configuration, with which this entry starts to serve.
        self._apply_evacuations(reply)
        is_confirmed = reply.confirmed_age <= MAX_CONFIRMATION_AGE
        # The first configuration must be the newest; later ones only have to be newer.
        may_apply = is_confirmed or self._version > 0
        if may_apply and reply.configuration is not None and reply.version > self._version:
            self._version = reply.version
            self._is_applied = False
            self._apply_configuration(reply.version, reply.configuration)
            self._is_applied = True
        # What is in use is confirmed, not what was received and could not be applied.
        if is_confirmed and self._is_applied and self._version >= reply.version:
            self._confirmed_at = max(self._confirmed_at, asked_at - reply.confirmed_age)
        if self._content_version() != previous_content:
            self._on_change()
        self.upstreams.forget_ended(now)
        self.instances.forget_ended(now)

    def _apply_evacuations(self, reply: FeedReply) -> None:
        """Take over a newer set; even one that is not confirmed recently was accepted once."""
        newer, before = reply.evacuations, self._evacuations
        if newer is UNSET or newer.version <= before.version:
            return
        self._evacuations = newer
        self._counters.add("evacuations_applied")
        log.info(
            "evacuated data centres are {}, were {}; from {}, confirmed {:.0f} ms ago",
            newer,
            before,
            self._endpoint,
            reply.confirmed_age,
        )

    def _content_version(self) -> tuple[int, int, int, int]:
        return (
            self.upstreams.position,
            self.instances.position,
            self._version,
            self._evacuations.version,
        )

    def _count_traffic(self, link: Link) -> None:
        source = self._control_instances().get(link.endpoint)
        self._traffic.add("feed", link.take_bytes(), source.data_centre if source else "")

    def _send_state(self) -> None:
        """Send a new state to the source without waiting for the reply to the open request."""
        link = Link(self._endpoint)
        try:
            link.call(self._feed_request(), FEED_TIMEOUT)
        except FulmarholdError as error:
            log.warning("could not send the new state to {}: {}", self._endpoint, error)
        finally:
            self._count_traffic(link)
            link.close()
