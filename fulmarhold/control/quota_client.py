"""Exchanges an entry's reports and the leader's grants."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent.event import Event

from fulmarhold.clock import SECOND, Milliseconds
from fulmarhold.control.messages import NotLeading
from fulmarhold.control.quota_messages import GrantQuotas, encode_report
from fulmarhold.errors import FulmarholdError, PeerUnavailable
from fulmarhold.observe.limited import LimitedLog
from fulmarhold.observe.logs import get_logger
from fulmarhold.wire.client import Link

if TYPE_CHECKING:
    from collections.abc import Callable

    from fulmarhold.accounts.leases import Report
    from fulmarhold.accounts.quota import EntryQuota
    from fulmarhold.clock import Clock
    from fulmarhold.observe.counters import Counters
    from fulmarhold.observe.events import EventLog
    from fulmarhold.observe.traffic import TrafficCounter

log = get_logger("quotas")

# How often it is checked whether something has to be reported: while accounts have limits, and
# otherwise.
CHECK_PERIOD: Milliseconds = 50.0
UNUSED_CHECK_PERIOD: Milliseconds = 250.0
# Two round trips between regions. A later answer could not be told from that to the next report.
ANSWER_TIMEOUT: Milliseconds = 400.0
# How long an entry that exits waits until its tokens are back.
CLOSING_TIMEOUT: Milliseconds = 100.0
# How often it is checked while requests wait for an answer.
AWAITED_CHECK_PERIOD: Milliseconds = 5.0
# Pause after a failure, while a leader is elected.
RETRY_PAUSE: Milliseconds = 100.0


class QuotaClient:
    """Reports to the leader, which any control instance names.

    `sources` returns the endpoints of control instances, the preferred one first, and
    `data_centre_of` the data centre of an endpoint.
    """

    def __init__(
        self,
        quota: EntryQuota,
        sources: Callable[[], list[str]],
        data_centre_of: Callable[[str], str],
        traffic: TrafficCounter,
        clock: Clock,
        counters: Counters,
        events: EventLog,
    ) -> None:
        self._quota = quota
        self._sources = sources
        self._data_centre_of = data_centre_of
        self._traffic = traffic
        self._clock = clock
        self._counters = counters
        self._events = events
        self._failures = LimitedLog(log, clock)
        self._link: Link | None = None
        self._attempt = 0
        # Set when a request waits for a report, and by the end of the next exchange.
        self._wake = Event()
        self._exchanged = Event()
        self._started = self._finished = self._waiting = 0

    def refresh(self, timeout: Milliseconds) -> bool:
        """Wait for the answer to a report that is sent from now on, and return whether it came."""
        until = self._clock.now() + timeout
        wanted = self._started + 1
        self._waiting += 1
        try:
            while self._finished < wanted:
                left = until - self._clock.now()
                if left <= 0:
                    return False
                self._wake.set()
                self._exchanged.wait(left / SECOND)
        finally:
            self._waiting -= 1
        return True

    def run(self) -> None:
        """Report whatever has changed, until killed."""
        while True:
            self._await_check()
            self._log_changes()
            asked_at = self._clock.now()
            report = self._quota.report(asked_at)
            if report is not None:
                self._started += 1
                if self._exchange(report, asked_at):
                    self._finished = self._started
                    ended, self._exchanged = self._exchanged, Event()
                    ended.set()

    def close(self) -> None:
        """Give all tokens back, so that others can use them, and close the connection."""
        report = self._quota.release(self._clock.now())
        try:
            if report is not None and self._link is not None:
                self._link.call(encode_report(report), CLOSING_TIMEOUT)
        except FulmarholdError as error:
            log.warning("tokens were not given back, and expire: {}", error)
        self._drop_link()

    def _await_check(self) -> None:
        """Wait until it is time to look for changes, or a request waits for a report."""
        if self._waiting:
            # Its account was reported a moment ago.
            gevent.sleep(AWAITED_CHECK_PERIOD / SECOND)
            return
        period = CHECK_PERIOD if self._quota.has_limits else UNUSED_CHECK_PERIOD
        self._wake.wait(period / SECOND)
        self._wake.clear()

    def _exchange(self, report: Report, asked_at: Milliseconds) -> bool:
        """Send a report and use the answer; returns whether there was one that could be used."""
        link = self._link
        try:
            link = link or self._next_link()
            answer = link.call(encode_report(report), ANSWER_TIMEOUT)
        except FulmarholdError as error:
            self._counters.add("quota_exchanges", result=type(error).__name__)
            self._failures.warning("report of quotas failed: {}", error)
            self._switch_to(None)
            gevent.sleep(RETRY_PAUSE / SECOND)
            return False
        finally:
            if link is not None:
                data_centre = self._data_centre_of(link.endpoint)
                self._traffic.add("quotas", link.take_bytes(), data_centre)
        if isinstance(answer, GrantQuotas):
            is_used = self._quota.accept(answer.grant(), report, asked_at, self._clock.now())
            self._counters.add("quota_exchanges", result="granted" if is_used else "late")
            return is_used
        if isinstance(answer, NotLeading):
            self._counters.add("quota_exchanges", result="not_leading")
            self._switch_to(answer.leader)
            if answer.leader is None or answer.leader == link.endpoint:
                gevent.sleep(RETRY_PAUSE / SECOND)
        else:
            self._counters.add("quota_exchanges", result="ignored")
        return False

    def _next_link(self) -> Link:
        """Return a link to the next control instance."""
        sources = self._sources()
        if not sources:
            raise PeerUnavailable("no control instance is known", step="reporting quotas")
        endpoint = sources[self._attempt % len(sources)]
        self._attempt += 1
        self._link = Link(endpoint)
        return self._link

    def _switch_to(self, leader: str | None) -> None:
        """Use another connection for the next report."""
        self._drop_link()
        if leader is not None:
            self._attempt = 0
            self._link = Link(leader)

    def _drop_link(self) -> None:
        if self._link is not None:
            self._link.close()
            self._link = None

    def _log_changes(self) -> None:
        for change in self._quota.take_changes(self._clock.now()):
            name = "account_at_limit" if change.is_limited else "account_below_limit"
            self._events.record(
                name,
                account=change.account,
                rate_per_s=change.rate,
                demand_per_s=change.demand,
                held=change.held,
                refused=change.refused,
                contact_age_ms=change.contact_age,
            )
