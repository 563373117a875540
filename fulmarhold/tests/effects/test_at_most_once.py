"""Non-idempotent requests across entries, counted where they take effect."""

from __future__ import annotations

from random import Random

import gevent
import pytest

from fulmarhold.callers.caller import Caller, CallerAnswer
from fulmarhold.control.identifiers import new_identifier
from fulmarhold.errors import PeerUnavailable
from fulmarhold.operators.control import read_query

DEADLINE = 3_000.0


def all_upstreams(fleet):
    return [address for addresses in fleet.upstreams.values() for address in addresses]


def redeem(fleet, key, entry, deadline=DEADLINE):
    """Send a redemption to one entry; returns the outcome's tag, or `lost`."""
    caller = Caller(fleet.entry_endpoints, "a", Random(1))
    try:
        answer = caller.send("lookup", "redeem", deadline=deadline, key=key, entry=entry)
    except PeerUnavailable:
        return "lost"
    finally:
        caller.close()
    return answer.outcome


def test_the_same_key_at_the_same_moment_at_every_entry_takes_effect_once(fleet):
    for _ in range(10):
        key = new_identifier()
        tasks = [gevent.spawn(redeem, fleet, key, entry) for entry in fleet.entry_endpoints]
        outcomes = [task.get() for task in tasks]
        assert fleet.effects()[key] == 1
        assert outcomes.count("answered") >= 1
        assert "not_run" not in outcomes


def test_a_resent_key_gets_the_first_answer_from_another_entry(fleet):
    key = new_identifier()
    first, second = fleet.entry_endpoints[:2]
    assert redeem(fleet, key, first) == "answered"
    assert redeem(fleet, key, second) == "answered"
    assert fleet.effects() == {key: 1}


def test_after_a_timeout_the_outcome_is_unknown_and_a_resend_does_not_run_it_again(fleet):
    fleet.command("behave", all_upstreams(fleet), service_ms=1_500.0)
    key = new_identifier()
    assert redeem(fleet, key, fleet.entry_endpoints[0], deadline=400.0) == "unknown"
    assert redeem(fleet, key, fleet.entry_endpoints[1]) == "unknown"
    gevent.sleep(1.5)
    assert fleet.effects() == {key: 1}


def test_a_lost_response_is_unknown_and_never_not_run(fleet):
    fleet.command("behave", all_upstreams(fleet), lose_response_share=1.0)
    key = new_identifier()
    assert redeem(fleet, key, fleet.entry_endpoints[0]) == "unknown"
    fleet.command("behave", all_upstreams(fleet), lose_response_share=0.0)
    assert redeem(fleet, key, fleet.entry_endpoints[1]) == "unknown"
    assert fleet.effects() == {key: 1}


def test_redemptions_in_flight_at_graceful_stops_all_get_their_answer(fleet):
    fleet.command("behave", all_upstreams(fleet), service_ms=60.0)
    answers: dict[str, CallerAnswer] = {}
    is_running = True

    def redeem_on(number):
        caller = Caller(fleet.entry_endpoints, "a", Random(number))
        while is_running:
            key = new_identifier()
            answers[key] = caller.send("lookup", "redeem", deadline=DEADLINE, key=key)
        caller.close()

    tasks = [gevent.spawn(redeem_on, number) for number in range(4)]
    for entry in fleet.entries:
        entry.terminate()
        assert entry.await_exit() == 0
        entry.start()
        entry.await_answer(status=200)
        fleet.await_ready()
    is_running = False
    gevent.joinall(tasks, raise_error=True)
    assert [answer for answer in answers.values() if answer.outcome != "answered"] == []
    assert fleet.effects() == dict.fromkeys(answers, 1)


def test_what_every_upstream_sheds_is_not_run_and_may_run_later(fleet):
    fleet.command("behave", all_upstreams(fleet), shed_share=1.0)
    key = new_identifier()
    assert redeem(fleet, key, fleet.entry_endpoints[0]) == "not_run"
    assert fleet.effects() == {}
    fleet.command("behave", all_upstreams(fleet), shed_share=0.0)
    outcomes = set()
    while "answered" not in outcomes:
        outcomes.add(redeem(fleet, key, fleet.entry_endpoints[1]))
    assert fleet.effects() == {key: 1}


@pytest.mark.parametrize("after_ms", [0, 2, 5, 10, 30, 100])
def test_an_entry_killed_before_during_or_after_dispatch(fleet, after_ms):
    fleet.command("behave", all_upstreams(fleet), service_ms=20.0)
    keys = [new_identifier() for _ in range(8)]
    killed = fleet.entries[0]
    tasks = [gevent.spawn(redeem, fleet, key, killed.endpoint) for key in keys]
    gevent.sleep(after_ms / 1_000)
    killed.kill()
    first = [task.get() for task in tasks]
    again = [redeem(fleet, key, fleet.entry_endpoints[1]) for key in keys]
    effects = fleet.effects()
    assert all(count == 1 for count in effects.values())
    for key, outcomes in zip(keys, zip(first, again, strict=True), strict=True):
        assert "not_run" not in outcomes, "nothing was refused in this case"
        if "answered" in outcomes:
            assert effects[key] == 1


def test_a_change_of_leader_between_claim_and_resend(fleet):
    keys = [new_identifier() for _ in range(6)]
    tasks = [gevent.spawn(redeem, fleet, key, fleet.entry_endpoints[0]) for key in keys]
    status = read_query(fleet.operator_endpoints, "status")
    leader = next(process for process in fleet.control if process.name == status["name"])
    leader.kill()
    first = [task.get() for task in tasks]
    again = [redeem(fleet, key, fleet.entry_endpoints[1], 6_000.0) for key in keys]
    effects = fleet.effects()
    assert all(count == 1 for count in effects.values())
    for key, one, two in zip(keys, first, again, strict=True):
        assert not (one == "answered" and two == "not_run")
        assert effects.get(key, 0) == 1 or "answered" not in (one, two)


def test_without_control_nothing_runs_and_that_is_said(fleet):
    for process in fleet.control:
        process.kill()
    key = new_identifier()
    assert redeem(fleet, key, fleet.entry_endpoints[0]) == "not_run"
    assert fleet.effects() == {}
