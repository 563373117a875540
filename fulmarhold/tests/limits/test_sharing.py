"""Who gives way when room is short, by the load that causes it; no network and no real time."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarhold.limits.sharing import FairShares
from fulmarhold.limits.waiting import WaitingQueue

STEP = 10.0
QUEUE_LIMIT = 64
TIMEOUT = 400.0
# No account inside its rate may be served less than half as often as the average.
MIN_SHARE_OF_AVERAGE = 0.5


class Upstream:
    """Serves a number of requests per second; the others wait, are displaced or expire."""

    def __init__(self, per_second, rates=(), seed=1):
        self.shares = FairShares()
        self.queue: WaitingQueue[Any] = WaitingQueue(QUEUE_LIMIT)
        self.shares.use(rates)
        self.random, self.now, self.per_step = Random(seed), 0.0, per_second * STEP / 1e3
        self.credit = 0.0
        self.sent: dict = {}
        self.served: dict = {}

    def run(self, seconds, demands):
        """Send `demands`, requests per second by account and rank, and serve what there is."""
        until = self.now + seconds * 1e3
        while self.now < until:
            self.now += STEP
            for (account, rank), demand in demands.items():
                arrivals = demand * STEP / 1e3
                for _ in range(int(arrivals) + (self.random.random() < arrivals % 1)):
                    self.arrive(account, rank)
            self.credit = min(self.credit + self.per_step, 1 + self.per_step)
            while self.credit >= 1 and len(self.queue):
                self.serve()

    def arrive(self, account, rank):
        self.sent[account, rank] = self.sent.get((account, rank), 0) + 1
        flow: Any = self.shares.flow(account, rank, self.now)
        request = SimpleNamespace(flow=flow, key=(account, rank), until=self.now + TIMEOUT)
        if len(self.queue) > QUEUE_LIMIT / 2:
            flow.note_shortage(self.now)
            if flow.is_excess(self.now):
                return
        self.queue.offer(request, self.now)

    def serve(self):
        request = self.queue.take(self.now)
        if request.until < self.now:
            return
        self.credit -= 1
        request.flow.note_sent(self.now)
        self.served[request.key] = self.served.get(request.key, 0) + 1

    def forget(self):
        self.sent, self.served = {}, {}

    def share(self, key):
        return self.served.get(key, 0) / self.sent[key]


def average(shares):
    return sum(shares) / len(shares)


def usual(count=8, demand=20.0, rank=1):
    return {(f"a{number}", rank): demand for number in range(count)}


@pytest.mark.parametrize("rate", [0.0, 25.0])
def test_one_account_floods_and_the_others_are_served(rate):
    demands = usual()
    upstream = Upstream(200.0, [(account, rate) for account, _ in demands])
    upstream.run(10, demands)
    upstream.forget()
    upstream.run(20, {**demands, ("a0", 1): 200.0})
    others = [upstream.share(key) for key in demands if key != ("a0", 1)]
    assert min(others) > 0.95
    assert upstream.share(("a0", 1)) < 0.5


@pytest.mark.parametrize("is_rated", [True, False])
def test_many_small_accounts_and_one_large_one_are_served_alike(is_rated):
    demands = {**usual(30, 2.0), ("large", 1): 100.0}
    rates = [(account, 1.6 * demand if is_rated else 0.0)
             for (account, _), demand in demands.items()]  # fmt: skip
    upstream = Upstream(300.0, rates)
    upstream.run(10, demands)
    upstream.per_step *= 0.3
    upstream.forget()
    upstream.run(20, demands)
    shares = [upstream.share(key) for key in demands]
    assert upstream.share(("large", 1)) >= MIN_SHARE_OF_AVERAGE * average(shares)
    assert average(shares) >= MIN_SHARE_OF_AVERAGE * upstream.share(("large", 1))


def test_a_background_burst_beside_urgent_work_takes_only_what_is_left():
    demands = usual(4, 20.0, rank=0)
    upstream = Upstream(150.0, [(account, 0.0) for account, _ in (*demands, ("batch", 9))])
    upstream.run(5, {**demands, ("batch", 9): 20.0})
    upstream.forget()
    upstream.run(10, {**demands, ("batch", 9): 2_000.0})
    assert min(upstream.share(key) for key in demands) > 0.98
    assert upstream.served["batch", 9] / 10 > 0.8 * (150.0 - 4 * 20.0)


@pytest.mark.parametrize("is_rated", [True, False])
def test_all_entries_restart_in_a_flood_and_no_account_is_left_out(is_rated):
    demands = {**usual(10, 10.0), ("large", 1): 60.0, ("flood", 1): 400.0}
    rates = [(account, 80.0 if account == "flood" else 1.6 * demand)
             for (account, _), demand in demands.items()]  # fmt: skip
    upstream = Upstream(250.0, rates if is_rated else [(account, 0.0) for account, _ in rates])
    upstream.run(15, demands)
    inside = [upstream.share(key) for key in demands if key[0] != "flood"]
    served = sum(upstream.served.values()) / sum(upstream.sent.values())
    assert min(inside) >= MIN_SHARE_OF_AVERAGE * max(served, average(inside))
    if is_rated:
        assert min(inside) > 0.9 and upstream.share(("flood", 1)) < 0.5


# Guards against an account that is held back because all of them are busier than usual.
def test_a_demand_of_all_accounts_above_the_usual_singles_none_out():
    demands = usual()
    upstream = Upstream(400.0, [(account, 0.0) for account, _ in demands])
    upstream.run(10, demands)
    upstream.forget()
    upstream.run(10, {key: 4 * demand for key, demand in demands.items()})
    shares = [upstream.share(key) for key in demands]
    assert min(shares) > 0.85 * average(shares)


def test_without_accounts_there_are_no_flows():
    shares = FairShares()
    assert shares.flow("a", 0, 0.0) is None
    shares.use([("a", 0.0)])
    unknown = shares.flow("unknown", 0, 0.0)
    assert unknown is not None and unknown.account == ""
    shares.use(None)
    assert shares.flow("a", 0, 0.0) is None


@settings(max_examples=200, deadline=None)
@given(
    st.lists(st.tuples(st.sampled_from(["add", "take", "remove"]), st.integers(0, 2),
                       st.sampled_from(["a", "b", "c", None])), max_size=60)
)  # fmt: skip
def test_a_queue_loses_nobody_and_keeps_the_order_of_each_account(steps):
    shares, ended = FairShares(), []
    queue: WaitingQueue[Any] = WaitingQueue(8)
    shares.use([("a", 0.0), ("b", 5.0), ("c", 0.0)])
    added: list = []
    for number, (step, rank, account) in enumerate(steps):
        now = 10.0 * number
        if step == "add":
            flow = None if account is None else shares.flow(account, rank, now)
            added.append(SimpleNamespace(flow=flow, number=number))
            displaced = queue.offer(added[-1], now)
            ended += [] if displaced is None else [displaced]
        elif len(queue) and step == "take":
            waiting = list(queue)
            taken = queue.take(now)
            ended.append(taken)
            line = [item for item in waiting if same_line(item, taken)]
            assert taken.number == min(item.number for item in line)
            least = min((item.flow.rank for item in waiting if item.flow), default=0)
            assert taken.flow is None or taken.flow.rank == least
        elif len(queue):
            ended.append(list(queue)[-1])
            queue.remove(ended[-1])
        assert len(queue) == len(list(queue)) <= 8
        assert all(item in queue for item in queue)
    assert sorted(item.number for item in [*ended, *queue]) == [item.number for item in added]


def same_line(item, other):
    if item.flow is None or other.flow is None:
        return item.flow is other.flow
    return (item.flow.rank, item.flow.account) == (other.flow.rank, other.flow.account)
