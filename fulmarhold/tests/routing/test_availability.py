"""Whether new work may go to an upstream, by everything that can be known of it."""

from __future__ import annotations

import pytest

from fulmarhold.forwarding.attempt import FIRST, CallAttempt
from fulmarhold.limits.concurrency import MIN_LIMIT
from fulmarhold.routing.availability import (
    MIN_PAUSE,
    RETURN_LIMIT,
    RETURN_PERIOD,
    AnswerSignals,
    Reason,
)
from fulmarhold.routing.choice import candidates, wanting_first
from fulmarhold.routing.replica import SUPERSEDED_FOR, UNRESPONSIVE_AFTER
from fulmarhold.tests.forwarding.modelled import fleet
from fulmarhold.tests.routing.test_routing import WARM, eject, make

PAUSE = 500.0
END = WARM + PAUSE


def leave(signals):
    signals.note_leaving("r1", WARM)


def pause(signals, length=PAUSE, now=WARM):
    signals.note_pause(length, "r2", now)


def pause_twice(signals):
    pause(signals, 300.0)
    signals.note_pause(PAUSE, "r3", WARM)
    signals.note_pause(10.0, "r4", WARM + 400.0)


def answer(sent_at, now):
    def act(signals):
        pause(signals)
        signals.note_good_answer(sent_at, now)

    return act


@pytest.mark.parametrize(
    ("act", "now", "load", "held"),
    [
        (leave, WARM, 0, ("leaving", WARM, None, "r1")),
        (leave, WARM + 1e9, 0, ("leaving", WARM, None, "r1")),
        (pause, END - 1, 0, ("paused", WARM, END, "r2")),
        (lambda signals: (pause(signals), leave(signals)), END, 0, ("leaving", WARM, None, "r1")),
        (lambda signals: pause(signals, 0.0), WARM + MIN_PAUSE - 1, 0,
         ("paused", WARM, WARM + MIN_PAUSE, "r2")),
        # A later answer prolongs a pause and never shortens it.
        (pause_twice, END - 1, 0, ("paused", WARM, END, "r2")),
        (pause_twice, END, 0, None),
        # One at a time until one is answered well, and one more for each that may be lost.
        (pause, END, 0, None),
        (pause, END, 1, ("paused", WARM, None, "r2")),
        (pause, END + RETURN_PERIOD, 1, None),
        (pause, END + RETURN_PERIOD, 2, ("paused", WARM, None, "r2")),
        (pause, END + RETURN_LIMIT, 99, None),
        # Answers to what was sent before the end of the pause say nothing.
        (answer(END - 1, END + 5), END + 6, 1, ("paused", WARM, None, "r2")),
        (answer(END, END + 5), END + 6, 1, None),
        (answer(END, END + 5), END + 6, 2, ("paused", WARM, None, "r2")),
        (answer(END, END + 5), END + 105, 3, None),
        (answer(END, END + 5), END + 405, 99, None),
    ],
)  # fmt: skip
def test_an_upstream_is_held_back_as_its_answers_say(act, now, load, held):
    signals = AnswerSignals()
    assert signals.is_clear
    act(signals)
    found = signals.held_back(load, now)
    assert found.is_forbidden == (held is not None)
    if held is not None:
        reason, *rest = held
        assert found.reason is Reason(reason)
        assert [found.since, found.until, found.source] == rest


def hang(replica):
    replica.note_sent(WARM - UNRESPONSIVE_AFTER - 1)


def limit(replica):
    replica.concurrency.value, replica.pool.load = MIN_LIMIT, 1


@pytest.mark.parametrize(
    ("act", "reason", "is_forbidden"),
    [
        (lambda replica: None, None, False),
        (lambda replica: leave(replica.signals), "leaving", True),
        (lambda replica: pause(replica.signals), "paused", True),
        (lambda replica: replica.note_superseded(WARM), "superseded", True),
        (lambda replica: setattr(replica.upstream, "is_live", lambda _: False), "draining", True),
        (lambda replica: (eject(replica), hang(replica)), "ejected", False),
        (lambda replica: (limit(replica), hang(replica)), "unresponsive", False),
        (limit, "at_limit", False),
    ],
)
def test_each_reason_is_named_and_only_what_forbids_work_removes_the_last_replica(
    act, reason, is_forbidden
):
    replica = make()
    replica.pool.longest_wait = lambda _: 0.0
    act(replica)
    availability = replica.availability(WARM, is_urgent=True)
    found = availability.reason
    assert (found.value if found else None, availability.is_forbidden) == (reason, is_forbidden)
    assert candidates([replica], [], WARM) == ([] if is_forbidden else [replica])
    held = wanting_first([replica], WARM)
    assert (held is not None) == (reason in ("leaving", "paused"))
    if reason == "superseded":
        assert (availability.since, availability.until) == (WARM, WARM + SUPERSEDED_FOR)


def test_one_replica_that_is_not_held_back_serves_and_else_the_first_to_end_its_pause_is_named():
    leaving, soon, late, free = (make(name) for name in ("leaving", "soon", "late", "free"))
    leave(leaving.signals)
    pause(soon.signals, 100.0)
    pause(late.signals)
    held = wanting_first([leaving, late, soon], WARM)
    assert held is not None and held[0] is soon
    assert wanting_first([leaving, soon, late, free], WARM) is None
    assert wanting_first([], WARM) is None


# Guards against a pause that another connection's answer began while a request waits, and against
# connections that are opened to an upstream that wants no work.
def test_a_paused_upstream_gets_no_waiting_request_and_no_new_connection():
    with fleet("a") as model:
        (replica,) = model.table.replicas
        attempt = CallAttempt(model.send(), model.fixture().context, replica, FIRST)
        assert attempt.may_send()
        replica.signals.note_pause(PAUSE, "r", model.clock.now())
        assert not attempt.may_send()
        (busy,) = model.busy()
        busy.close("closed by upstream")
        model.step(PAUSE - 1.0)
        assert replica.pool.connections == 0
        model.step(1.0)
        assert replica.pool.connections == 1 and attempt.may_send()
