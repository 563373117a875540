"""Replica choice, ejection that keeps the last replica, slow start and data centres."""

from __future__ import annotations

from random import Random
from types import SimpleNamespace
from typing import Any

import pytest

from fulmarhold.observe.estimates import ESTIMATE_HALF_LIFE, QuantileEstimate
from fulmarhold.routing.choice import candidates, choosers, timely_local, with_room
from fulmarhold.routing.replica import FAILURES_BEFORE_EJECTION, Replica

EJECTION = 1_000.0
WARM = 10_000.0


def make(address="a", load=0, live=True, is_local=True, typical=None, starts=False):
    record = SimpleNamespace(address=address, incarnation=1, slots=2)
    upstream: Any = SimpleNamespace(record=record, is_live=lambda _: live)
    pool: Any = SimpleNamespace(load=load)
    replica = Replica(upstream, pool, EJECTION, now=0.0, is_local=is_local, is_starting=starts)
    replica.typical_latency = typical
    return replica


def eject(replica, now=WARM):
    for _ in range(FAILURES_BEFORE_EJECTION):
        replica.note_failure(now)


@pytest.mark.parametrize("name", ["two_choices", "least_expected"])
def test_choice_follows_load_and_measured_latency(name):
    fast, slow = make("fast"), make("slow")
    slow.note_success(100.0, WARM)
    fast.note_success(5.0, WARM)
    choose = choosers.find(name)
    assert choose([fast, slow], Random(1), WARM) is fast
    busy = make("busy", load=50)
    assert choose([busy, slow], Random(1), WARM) is slow


@pytest.mark.parametrize("name", ["two_choices", "least_expected"])
def test_recovered_replica_is_tried_again_although_the_other_stays_fast(name):
    fast, recovered = make("fast"), make("recovered")
    recovered.note_success(100.0, WARM)
    tried_at = []
    for step in range(1, 400):
        now = WARM + 100.0 * step
        chosen = choosers.find(name)([fast, recovered], Random(step), now)
        if chosen is recovered:
            tried_at.append(now - WARM)
        chosen.note_success(5.0, now)
    assert ESTIMATE_HALF_LIFE < tried_at[0] < 5 * ESTIMATE_HALF_LIFE
    assert len(tried_at) > 100


@pytest.mark.parametrize("name", ["two_choices", "least_expected"])
def test_replica_that_stays_slow_is_tried_only_every_few_seconds(name):
    fast, slow = make("fast"), make("slow")
    tries = 0
    for step in range(600):
        now = WARM + 100.0 * step
        chosen = choosers.find(name)([fast, slow], Random(step), now)
        chosen.note_success(40.0 if chosen is slow else 5.0, now)
        tries += chosen is slow
    assert 3 < tries < 15


def test_estimate_does_not_decay_while_a_response_is_outstanding():
    frozen = make("frozen", load=1)
    frozen.note_success(5.0, WARM)
    later = WARM + 10 * ESTIMATE_HALF_LIFE
    assert frozen.expected_latency(later) == frozen.expected_latency(WARM)


def test_error_for_an_unknown_chooser_suggests_a_similar_name():
    with pytest.raises(Exception, match="did you mean 'two_choices'"):
        choosers.find("two_choises")


def test_ejection_follows_repeated_failures_and_lasts_longer_each_time():
    replica = make()
    eject(replica)
    assert replica.is_ejected(WARM + EJECTION - 1)
    assert not replica.is_ejected(WARM + EJECTION)
    replica.note_failure(WARM + EJECTION)
    assert replica.is_ejected(WARM + EJECTION + 2 * EJECTION - 1)
    replica.note_success(1.0, WARM)
    replica.note_failure(WARM * 2)
    assert not replica.is_ejected(WARM * 2)


def test_ejected_replicas_are_skipped_unless_all_of_a_shard_are_ejected():
    one, other = make("one"), make("other")
    eject(one)
    assert candidates([one, other], [], WARM) == [other]
    eject(other)
    assert candidates([one, other], [], WARM) == [one, other]
    assert candidates([one, other], [one], WARM) == [other]


def test_replicas_without_a_valid_lease_are_never_candidates():
    assert candidates([make(live=False)], [], WARM) == []


def test_new_replica_gets_its_share_of_the_slots_until_its_replies_are_good():
    """Load: 400 requests a second, which an entry would all send to the replica that is empty."""
    cold, warm = make("cold", starts=True), make("warm", load=3)
    sent = []
    for step in range(400):
        now = 2.5 * step
        usable = with_room([cold, warm], now)
        chosen = choosers.find("least_expected")(usable, Random(1), now)
        chosen.note_sent(now)
        sent.append(chosen)
        if step >= 100:
            chosen.note_reply()
            chosen.note_success(5.0, now + 5.0)
    # One of two slots, for work that takes twice the usual 5 ms as long as no reply is known.
    assert 20 <= sent[:100].count(cold) <= 30
    assert cold.pace.is_full and set(sent[-20:]) == {cold}


# Guards against a pace that takes effect where no service asks for it.
def test_a_replica_that_is_not_paced_starts_slowly_and_is_never_limited():
    upstream: Any = SimpleNamespace(record=make().upstream.record, is_live=lambda _: True)
    pool: Any = SimpleNamespace(load=0)
    new = Replica(upstream, pool, EJECTION, 0.0, is_starting=True, is_paced=False, slow_start=WARM)
    usual = make().expected_latency(0.2 * WARM)
    assert new.expected_latency(0.2 * WARM) == pytest.approx(5 * usual)
    eject(new)
    for number in range(20):
        new.note_success(5.0 if number < 10 else 100.0, WARM + 200.0 * number)
        assert new.pace.is_full and new.has_room(WARM) and new.may_send(WARM, is_urgent=True)


@pytest.mark.parametrize(
    "recover",
    [
        eject,
        lambda replica: replica.note_unreachable(WARM),
        lambda replica: replica.note_responsive_again(2_000.0, WARM),
    ],
    ids=["ejected", "unreachable", "unresponsive"],
)
def test_a_recovered_replica_is_used_at_a_limited_pace(recover):
    replica = make()
    recover(replica)
    now = WARM + EJECTION
    assert replica.may_send(now, is_urgent=True)
    for _ in range(3):
        replica.note_sent(now)
    assert not replica.may_send(now, is_urgent=True)
    assert with_room([replica], now) == [replica]


def test_a_pause_of_a_healthy_replica_leaves_its_pace_full():
    replica = make()
    replica.note_responsive_again(400.0, WARM)
    assert replica.pace.is_full


@pytest.mark.parametrize("quantile", [0.5, 0.95])
def test_estimate_converges_to_its_quantile(quantile):
    random = Random(7)
    estimate = QuantileEstimate(quantile, 50.0)
    below = 0
    for number in range(20_000):
        latency = random.expovariate(0.1)
        estimate.update(latency)
        if number >= 10_000:
            below += latency <= estimate.value
    assert below / 10_000 == pytest.approx(quantile, abs=0.05)


def test_another_data_centre_is_used_for_a_loaded_local_replica_but_not_to_explore():
    # Load pattern: few queries per entry, so estimates of remote replicas are always outdated.
    local, remote = make("local"), make("remote", is_local=False)
    local.note_success(20.0, WARM)
    remote.note_success(28.0, WARM)
    choose = choosers.find("least_expected")
    assert choose([local, remote], Random(1), WARM + 1_000) is local
    loaded = make("local", load=5)
    loaded.note_success(20.0, WARM)
    assert choose([loaded, remote], Random(1), WARM + 1_000) is remote


def median_estimate(latency):
    return QuantileEstimate(0.5, latency)


def simulate(replicas, latencies, steps=400, period=100.0):
    """Return the replica that each request went to; `latencies` gives the latency of each reply."""
    chosen = []
    for step in range(1, steps):
        now = WARM + period * step
        replica = choosers.find("least_expected")(replicas, Random(step), now)
        replica.note_success(latencies(replica, now), now)
        chosen.append(replica.address)
    return chosen


def test_remote_replicas_get_no_requests_while_the_local_one_has_typical_latency():
    """Load: every entry queries 36 shards, each with one local and two remote replicas."""
    typical = median_estimate(28.0)
    local = make("local", typical=typical)
    remote = [make(name, is_local=False, typical=typical) for name in ("b", "c")]
    random = Random(7)
    chosen = simulate([local, *remote], lambda *_: random.lognormvariate(3.3, 0.35))
    assert chosen.count("local") >= 0.99 * len(chosen)


def test_remote_replica_takes_over_within_a_few_replies_of_a_slow_local_one():
    typical = median_estimate(28.0)
    local, other = make("local", typical=typical), make("b", is_local=False, typical=typical)
    chosen = simulate([local, other], lambda item, _: 140.0 if item is local else 36.0)
    assert "b" in chosen[:3]
    assert chosen.count("b") >= 0.9 * len(chosen)


def test_local_replica_is_tried_again_and_kept_once_it_has_recovered():
    typical = median_estimate(28.0)
    local, other = make("local", typical=typical), make("b", is_local=False, typical=typical)
    recovers_at = WARM + 10_000.0

    def latency(replica, now):
        return 140.0 if replica is local and now < recovers_at else 28.0

    chosen = simulate([local, other], latency)
    assert set(chosen[-200:]) == {"local"}


def test_recovered_local_replica_is_tried_again_next_to_one_with_typical_latency():
    typical = median_estimate(28.0)
    fast, recovered = make("fast", typical=typical), make("recovered", typical=typical)
    recovered.note_success(140.0, WARM)
    chosen = simulate([fast, recovered], lambda *_: 28.0)
    assert chosen.count("recovered") > 20


def latency_with_pauses(random, base=28.0, pause=250.0, period=6_000.0):
    """Return latencies of upstreams that stop for `pause` ms, each at its own time."""
    offsets: dict[str, float] = {}

    def latency(replica, now):
        offset = offsets.setdefault(replica.address, random.uniform(0.0, period))
        since = (now + offset) % period
        distance = 0.0 if replica.address == "local" else 9.0
        return max(0.0, pause - since) + distance + base * random.lognormvariate(0.0, 0.35)

    return latency


@pytest.mark.parametrize(("pause", "period"), [(100.0, 2_400.0), (250.0, 6_000.0)])
def test_pauses_of_the_local_replica_do_not_send_requests_to_other_data_centres(pause, period):
    """Load: every entry queries 42 shards a few times a second, and every upstream pauses."""
    random = Random(11)
    remote_requests = total = 0
    for _ in range(40):
        typical = median_estimate(28.0)
        replicas = [make("local", typical=typical)]
        replicas += [make(name, is_local=False, typical=typical) for name in ("b", "c")]
        latency = latency_with_pauses(random, pause=pause, period=period)
        chosen = simulate(replicas, latency, steps=100, period=370.0)
        total += len(chosen)
        remote_requests += sum(address != "local" for address in chosen)
    assert remote_requests < 0.03 * total


def test_a_slow_local_replica_is_left_after_two_replies_even_if_each_could_be_a_pause():
    """Load: upstreams of many shards turn slow by less than the longest pause."""
    typical = median_estimate(28.0)
    local, other = make("local", typical=typical), make("b", is_local=False, typical=typical)
    latencies = {"local": 200.0, "b": 36.0}
    chosen = simulate(
        [local, other], lambda item, _: latencies[item.address], steps=12, period=300.0
    )
    assert chosen[:2] == ["local", "local"]
    assert set(chosen[2:]) == {"b"}


def test_replies_that_one_pause_delayed_count_as_one_pause():
    typical = median_estimate(28.0)
    local, unused = make("local", typical=typical), make("unused", typical=typical)
    for waited in (250.0, 200.0, 150.0):
        local.note_success(waited, WARM + 250.0)
    before = local.expected_latency(WARM + 250.0)
    assert before == unused.expected_latency(WARM + 250.0)
    local.note_success(200.0, WARM + 800.0)
    assert local.expected_latency(WARM + 800.0) > 2 * before


def test_an_upstream_slower_than_any_pause_is_left_after_one_reply():
    typical = median_estimate(220.0)
    slow = make("slow", typical=typical)
    before = slow.expected_latency(WARM)
    slow.note_success(900.0, WARM)
    assert slow.expected_latency(WARM) > 2 * before


@pytest.mark.parametrize(
    ("local_latency", "useful_for", "expected"),
    [(60.0, 285.0, "local"), (100.0, 285.0, "b"), (60.0, 100.0, "b"), (5.0, -1.0, "b")],
    ids=["in time", "slow", "short time", "too late"],
)
def test_a_local_replica_is_kept_while_its_replies_are_well_in_time(
    local_latency, useful_for, expected
):
    """Load: replicas elsewhere are faster at times, and each byte between data centres costs."""
    local, other = make("local"), make("b", is_local=False)
    local.note_success(local_latency, WARM)
    other.note_success(1.0, WARM)
    for _ in range(20):
        local.note_success(local_latency, WARM)
    usable = timely_local([local, other], WARM, WARM + useful_for)
    chosen = min(usable, key=lambda item: 0.0 if item is other else 1.0)
    assert chosen.address == expected


def test_without_a_timely_local_replica_all_are_candidates():
    replicas = [make("b", is_local=False), make("c", is_local=False)]
    assert timely_local(replicas, WARM, WARM + 100.0) == replicas
