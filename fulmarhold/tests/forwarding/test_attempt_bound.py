"""The bound on the attempts of a call, over orders of failures, waits, hedges and late replies.

No network: the pools hold each attempt until the schedule sends, fails or answers it.
"""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarhold.forwarding.request import Verdict
from fulmarhold.tests.forwarding.scripted import ForwardingFixture, ScriptedPool

REPLICAS = 5
STEPS = st.lists(
    st.tuples(
        st.sampled_from(("send", "reply", "lose", "hedge", "reject", "refuse")),
        st.integers(0, REPLICAS - 1),
    ),
    min_size=8,
    max_size=30,
)


class HeldPool(ScriptedPool):
    """Takes an attempt and does nothing with it until it is told to."""

    def __init__(self, address, max_free):
        super().__init__(address)
        self.has_connection = max_free
        self.waiting, self.running, self.ran = None, None, False

    def submit(self, exchange):
        self.waiting = exchange
        if self.has_connection:
            self.send()

    def withdraw(self, exchange):
        if self.waiting is exchange:
            self.waiting = None

    def send(self):
        exchange, self.waiting = self.waiting, None
        if exchange is not None and exchange.may_send():
            exchange.encode()
            self.running = exchange

    def end(self, verdict):
        exchange, self.running = self.running, None
        if exchange is None:
            return
        self.verdict, self.status = verdict, 500 if verdict is Verdict.FAILURE else 503
        self.ran = self.ran or verdict is not Verdict.NOT_RUN
        exchange.completed(self)

    def lose(self):
        exchange, self.running = self.running, None
        if exchange is not None:
            self.ran = True
            exchange.failed("connection lost", sent=True)

    def refuse(self):
        exchange, self.waiting = self.waiting, None
        if exchange is not None:
            exchange.failed("connect refused", sent=False)


class NoOwner:
    def call_finished(self, call):
        pass


# Guards against a retry that waits for a connection and a hedge, which together are sent to one
# upstream more than the route allows.
def test_a_retry_that_waits_for_a_connection_counts_when_a_hedge_is_decided():
    fixture = ForwardingFixture(attempts=2)
    first, waiting, third = HeldPool("0", True), HeldPool("1", False), HeldPool("2", True)
    waiting.load, third.load = 1, 2
    call = fixture.call("s", [first, waiting, third], NoOwner())
    call.start()
    assert first.running is not None
    first.end(Verdict.FAILURE)
    assert waiting.waiting is not None, "the retry waits"
    call.hedge()
    waiting.send()
    assert (waiting.running is None) + (third.running is None) == 1


@settings(max_examples=1_000, derandomize=True, deadline=None)
@given(
    steps=STEPS,
    free=st.lists(st.booleans(), min_size=REPLICAS, max_size=REPLICAS),
    attempts=st.integers(1, 3),
    idempotent=st.booleans(),
)
def test_no_order_of_events_runs_a_request_on_more_upstreams_than_allowed(
    steps, free, attempts, idempotent
):
    fixture = ForwardingFixture(attempts=attempts, idempotent=idempotent, deadline=60_000.0)
    pools = [HeldPool(f"{number}", is_free) for number, is_free in enumerate(free)]
    call = fixture.call("s", pools, NoOwner())
    call.start()
    for event, number in steps:
        if event == "hedge":
            call.hedge()
            continue
        waits = event in ("send", "refuse")
        concerned = [pool for pool in pools if (pool.waiting if waits else pool.running)]
        if not concerned:
            continue
        pool = concerned[number % len(concerned)]
        match event:
            case "send":
                pool.send()
            case "reply":
                pool.end(Verdict.FAILURE)
            case "reject":
                pool.end(Verdict.NOT_RUN)
            case "lose":
                pool.lose()
            case "refuse":
                pool.refuse()
        involved = sum(pool.ran or pool.running is not None for pool in pools)
        assert involved <= (attempts if idempotent else 1)
