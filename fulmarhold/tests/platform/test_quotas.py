"""End-to-end test of the quota of an account over several entries, while control is killed."""

from __future__ import annotations

import signal
from bisect import bisect_left
from collections import Counter

import gevent
import pytest

from fulmarhold.accounts.bucket import QuotaBound, QuotaLimit
from fulmarhold.clock import Clock
from fulmarhold.tests.platform.fleet import (
    CONTROL,
    ENTRIES,
    NETWORK,
    UPSTREAM_HOST,
    Upstream,
    configuration,
    put_configuration,
    read_metrics,
    send_request,
    wait_for,
    wait_for_status,
)

LIMIT = QuotaLimit(20.0, 10.0)
FLOOD_SECONDS = 3.0
OUTAGE_SECONDS = 1.5
CLIENTS_PER_ENTRY = 4
CLIENT_PAUSE = 0.01
KEY = (("Authorization", "Bearer key-1"),)
OTHER_KEY = (("Authorization", "Bearer key-2"),)
ACCOUNTS = [
    {"name": "one", "apiKeys": ["key-1"], "ratePerS": LIMIT.rate, "burst": LIMIT.burst},
    {"name": "free", "apiKeys": ["key-2"]},
]


class TimingUpstream(Upstream):
    """An upstream that notes when requests arrive."""

    def __init__(self, address, service):
        self.clock, self.times = Clock(), []
        super().__init__(address, service)

    def _note(self):
        self.times.append(self.clock.now())


@pytest.fixture
def upstream():
    started = TimingUpstream(f"{NETWORK}.{UPSTREAM_HOST}", "s1")
    yield started
    started.stop()


def flood(entry, answers, state):
    while state["runs"]:
        status, head, _ = send_request(entry, headers=KEY)
        answers[status] += 1
        assert status == 200 or "retry-after" in head
        gevent.sleep(CLIENT_PAUSE)


# Guards against an account that gets its quota once from each entry or once from each leader.
def test_an_account_that_floods_all_entries_stays_within_its_quota(fleet, upstream):
    assert put_configuration(configuration(1)).status == 200
    assert wait_for(upstream.send_heartbeat, lambda answer: answer.status == 200)
    for entry in ENTRIES:
        wait_for_status(entry)
    # Without accounts, nothing is reported.
    assert all("quota_exchanges" not in read_metrics(entry) for entry in ENTRIES)

    assert put_configuration({**configuration(2), "tenants": ACCOUNTS}).status == 200
    for entry in ENTRIES:
        wait_for(lambda to=entry: send_request(to, headers=KEY), lambda found: found[0] == 200)
        found = send_request(entry, headers=OTHER_KEY)
        assert found[0] == 200
    upstream.times.clear()

    answers: Counter[int] = Counter()
    state = {"runs": True}
    clients = [
        gevent.spawn(flood, entry, answers, state)
        for entry in ENTRIES
        for _ in range(CLIENTS_PER_ENTRY)
    ]
    gevent.sleep(FLOOD_SECONDS)
    for address in CONTROL:
        fleet.signal(address, signal.SIGKILL)
        fleet.wait(address)
    gevent.sleep(OUTAGE_SECONDS)
    for address in CONTROL:
        fleet.start(address, first=False)
    gevent.sleep(FLOOD_SECONDS)
    # Tokens are granted again by the new leader.
    served = answers[200]
    wait_for(lambda: answers[200], lambda count: count > served + LIMIT.rate)
    state["runs"] = False
    gevent.joinall(clients, raise_error=True)

    window = QuotaBound().window
    bound = QuotaBound().most_in(LIMIT, window)
    times = upstream.times
    counts = [bisect_left(times, start + window) - index for index, start in enumerate(times)]
    assert max(counts) <= bound
    assert set(answers) <= {200, 429, 503} and answers[429] > answers[200]
    metrics = read_metrics(ENTRIES[0])
    assert 'account_admissions_total{account="one",result="exceeded"}' in metrics
