"""Patterns: rolling releases, pauses of all replicas, pauses that end together or never.

Modelled connections; the fleet fails if a request reaches an upstream that has said no.
"""

from __future__ import annotations

from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fulmarhold.forwarding.request import Refused, RefusedReason, Verdict
from fulmarhold.routing.choice import candidates
from fulmarhold.tests.forwarding.modelled import (
    DONE,
    LEAVING,
    NOT_RUN,
    fleet,
    pausing,
    statement,
)

NAMES = ("a", "b", "c")
PAUSE = 600.0
ANSWERS = [DONE, LEAVING, NOT_RUN, pausing(0.0), pausing(80.0), pausing(3_000.0)]
OPERATIONS = st.lists(
    st.tuples(
        st.sampled_from(("send", "send", "answer", "lose", "list", "restart", "move", "wait")),
        st.sampled_from(NAMES),
        st.sampled_from(ANSWERS),
    ),
    max_size=60,
)


# Guards against any order of answers, lost and late statements, new starts and changes of address
# in which a request reaches an incarnation that leaves or pauses, or a call never ends.
@settings(max_examples=150, deadline=None)
@given(OPERATIONS)
def test_nothing_reaches_an_upstream_that_leaves_or_pauses(operations):
    with fleet(*NAMES, connections=1) as model:
        known = dict(model.statements)
        for operation, name, reply in operations:
            if operation == "send":
                model.send()
            elif operation == "answer" and model.busy():
                model.answer(model.busy()[0], reply)
            elif operation == "restart":
                known[name] = statement(name, known[name].born + 1)
            elif operation == "move":
                known[name] = statement(name, known[name].born, f"{name}:moved")
            elif operation == "wait":
                model.step(70.0)
            if operation in ("lose", "list", "restart", "move"):
                model.update(**{name: None if operation == "lose" else known[name]})
            model.table.maintain()
            assert not {channel.key for channel in model.idle()} & model.left
        while model.busy():
            model.step()
        assert all(call.is_done for call in model.calls)


def test_in_a_rolling_release_of_a_shard_every_request_is_answered():
    with fleet(*NAMES) as model:
        for name in NAMES:
            model.behaviour = lambda record, _, name=name: (
                LEAVING if (record.name, record.born) == (name, 1) else DONE
            )
            calls = model.run(100.0)
            assert (name, 1) in model.left and model.table.find(name).pool.connections == 0
            # A lost heartbeat and a late statement "ready" change nothing.
            model.update(**{name: None})
            model.update(**{name: statement(name, 1)})
            calls += model.run(100.0)
            model.update(**{name: statement(name, 2)})
            assert all(call.reply is not None for call in calls + model.run(100.0))
        assert all(model.reached[name, 2] for name in NAMES)


@pytest.mark.parametrize("names", ["a", "ab"])
@pytest.mark.parametrize("reply", [LEAVING, pausing(PAUSE)])
def test_requests_that_wait_for_a_connection_are_placed_elsewhere_or_refused_at_once(names, reply):
    with fleet(*names) as model:
        calls = [model.send() for _ in range(10 * len(names))]
        sent = [call for call in calls if call.was_sent]
        assert len(sent) == 3 * len(names)
        model.answer(next(item for item in model.busy() if item.key == ("a", 1)), reply)
        refused = [call for call in calls if call.refusal is not None]
        expected = len(calls) - len(sent) + (reply is not LEAVING)
        assert len(refused) == (expected if names == "a" else 0)
        while model.busy():
            model.step()
        assert all(call.reply is not None for call in calls if call not in refused)


@pytest.mark.parametrize("deadline", [900.0, 6_000.0])
def test_while_all_replicas_pause_callers_are_refused_until_the_first_wants_work(deadline):
    with fleet(*NAMES) as model:
        model.behaviour = lambda record, _: pausing(PAUSE + 100.0 * NAMES.index(record.name))
        model.run(20.0, between=0.5)
        wanted_at = min(model.paused_until.values())
        assert len(model.paused_until) == len(NAMES)
        reached = dict(model.reached)
        refusals = [model.refuse(deadline) for _ in range(50)]
        left = wanted_at - model.clock.now()
        assert {type(item) for item in refusals} == {Refused}
        assert {item.reason for item in refusals} == {RefusedReason.PAUSED}
        delays = [item.retry_after for item in refusals]
        earliest = min(left, 0.8 * deadline / 3)
        assert min(delays) >= earliest and max(delays) <= deadline / 3
        assert max(delays) - min(delays) > 0.1 * earliest
        model.clock.advance(left - 1.0)
        model.refuse(deadline)
        assert model.reached == reached
        # An operator finds the pause of a refused request by the id of the answer that began it.
        refusal, began = model.log("refused_held_back")[0], model.log("upstream_held_back")
        (cause,) = [line for line in began if line["request"] == refusal["source"]]
        assert (cause["upstream"], cause["reason"], cause["asked_ms"]) == ("a", "paused", PAUSE)
        assert len(began) == len(NAMES)
        assert model.counters.value("upstreams_held_back", reason="paused") == len(NAMES)


def test_pauses_that_end_together_end_in_steps():
    with fleet(*NAMES) as model:
        model.behaviour = lambda *_: pausing(PAUSE)
        model.run(20.0, between=0.5)
        model.behaviour = lambda *_: DONE
        model.clock.advance(max(model.paused_until.values()) + 100.0 - model.clock.now())
        most_open, started_at = [], model.clock.now()
        for number in range(5):
            for _ in range(40):
                model.send()
            most_open.append(max(item.pool.load for item in model.table.replicas))
            while model.busy():
                model.step()
            model.step(started_at + 100.0 * number + 60.0 - model.clock.now())
        assert most_open == [1, 2, 4, 8, 14]
        assert model.counters.value("upstreams_used_again", reason="paused") == len(NAMES)
        assert {line["upstream"] for line in model.log("upstream_used_again")} == set(NAMES)


# Guards against callers that were refused during a pause and return in a burst after it, which
# the steps then refuse again.
@pytest.mark.parametrize(("length", "deadline"), [(600.0, 4_000.0), (2_000.0, 10_000.0)])
def test_callers_that_return_after_a_pause_of_all_replicas_come_spread(length, deadline):
    with fleet(*NAMES, connections=40) as model:
        model.behaviour = lambda *_: pausing(length)
        model.run(20.0, between=0.5)
        model.behaviour = lambda *_: DONE
        ends_at = model.clock.now() + 3 * length
        returning: list[tuple[float, int, float]] = []
        lost, per_period, reached = 0, [0], sum(model.reached.values())
        while (now := model.clock.now()) < ends_at:
            due = [item for item in returning if item[0] <= now]
            returning = [item for item in returning if item[0] > now]
            for _, tries, until in [(now, 0, now + deadline), *due]:
                if candidates(model.table.of_service("s"), [], now):
                    model.send(until - now)
                elif tries == 2:
                    lost += 1
                else:
                    delay = model.refuse(until - now).retry_after
                    returning.append((now + delay, tries + 1, until))
            model.step(2.0)
            per_period[-1] += sum(model.reached.values()) - reached
            reached = sum(model.reached.values())
            if model.clock.now() % 50.0 < 2.0:
                per_period.append(0)
        # The usual rate is 25 in a period, and half a caller a millisecond is refused in the pause.
        assert max(per_period) <= 4 * 25 and lost <= 0.15 * 0.5 * length


def test_a_replica_that_pauses_all_the_time_costs_one_request_a_pause():
    with fleet(*NAMES) as model:
        model.behaviour = lambda record, _: pausing(200.0) if record.name == "a" else DONE
        calls = model.run(4_000.0)
        assert all(call.reply is not None for call in calls)
        assert 15 <= model.reached["a", 1] <= 4_000.0 / 200.0
        replica = model.table.find("a")
        assert not replica.is_ejected(model.clock.now()) and replica.concurrency.value == 8.0


def test_a_leave_said_by_the_new_owner_of_an_address_holds_back_that_one_only():
    with fleet("a", "b") as model:
        model.send()
        other = replace(NOT_RUN, verdict=Verdict.OTHER_OWNER, status=421, is_leaving=True)
        (channel,) = model.busy()
        asked, sender = channel.key[0], {"a": "b", "b": "a"}[channel.key[0]]
        channel.exchange._context.find_upstream = model.table.find
        channel.answer(replace(other, sender=sender))
        assert not model.table.find(asked).signals.is_leaving
        assert model.table.find(sender).signals.is_leaving


def test_a_pause_without_the_guarantee_is_not_passed_on_as_not_run():
    with fleet("a") as model:
        call = model.send()
        model.answer(model.busy()[0], replace(pausing(PAUSE), verdict=Verdict.FAILURE))
        assert call.reply is None and call.refusal is None and call.failure is not None
