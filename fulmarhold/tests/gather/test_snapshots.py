"""One snapshot and true coverage while versions switch, layouts change and responses go wrong."""

from __future__ import annotations

from random import Random

import gevent
import pytest

from fulmarhold.callers.caller import Caller
from fulmarhold.callers.checks import find_violations
from fulmarhold.tests.load import DEADLINE, SearchLoad


def ask_under(fleet, change, seconds=2.0):
    """Search through every entry while `change` happens; returns the answers' documents."""
    load = SearchLoad(fleet, callers=3)
    gevent.sleep(0.3)
    change()
    gevent.sleep(seconds)
    documents = load.stop()
    assert not load.connection_errors
    assert len(documents) > 50
    for document in documents:
        assert not list(find_violations("lookup", document)), document
    return documents


def snapshots(documents):
    return {
        (document["snapshot"]["layout"], document["snapshot"]["version"])
        for document in documents
        if document["outcome"] == "answered"
    }


def test_a_rolling_version_switch_mixes_nothing(fleet):
    addresses = fleet.upstreams["lookup"]

    def switch():
        for address in addresses:
            fleet.command("announce", [address], versions=[1, 2])
            gevent.sleep(0.05)
        gevent.sleep(1.0)
        for address in addresses:
            fleet.command("announce", [address], versions=[2])
            gevent.sleep(0.05)

    documents = ask_under(fleet, switch)
    assert snapshots(documents) == {("layout-1", 1), ("layout-1", 2)}
    last = documents[-1]
    assert (last["snapshot"]["version"], last["coverage"]["covered"]) == (2, 4)


def test_an_abrupt_version_switch_mixes_nothing(fleet):
    addresses = fleet.upstreams["lookup"]

    def switch():
        for version in range(2, 8):
            fleet.command("announce", addresses, versions=[version])
            gevent.sleep(0.15)

    documents = ask_under(fleet, switch)
    assert documents[-1]["snapshot"]["version"] == 7
    assert documents[-1]["coverage"]["covered"] == 4


def test_repartitioning_mixes_nothing_and_the_total_is_the_layouts(fleet):
    addresses = fleet.upstreams["lookup"]

    def repartition():
        for number, address in enumerate(addresses):
            change = {"layout": "layout-2", "layout_shards": 8, "shard": number, "versions": [2]}
            fleet.command("announce", [address], **change)
            gevent.sleep(0.1)

    documents = ask_under(fleet, repartition)
    totals = {
        (document["snapshot"]["layout"], document["coverage"]["total"])
        for document in documents
        if document["outcome"] == "answered"
    }
    assert totals == {("layout-1", 4), ("layout-2", 8)}
    assert documents[-1]["coverage"]["covered"] == 8


@pytest.mark.parametrize(
    "behaviour",
    [
        {"wrong_echo_share": 0.1},
        {"lose_response_share": 0.1},
        {"error_share": 0.1},
        {"shed_share": 0.1},
        {"straggle_share": 0.1, "straggle_factor": 30.0},
        {"straggle_share": 0.1, "straggle_factor": 30.0, "late_after_cancel_ms": 30.0},
        {"wrong_echo_share": 0.05, "lose_response_share": 0.05, "straggle_share": 0.1},
    ],
    ids=["wrong echo", "lost", "errors", "shed", "stragglers", "late losers", "all"],
)
def test_responses_that_go_wrong_are_never_merged(fleet, behaviour):
    addresses = fleet.upstreams["lookup"]
    documents = ask_under(fleet, lambda: fleet.command("behave", addresses, **behaviour))
    assert any(document["outcome"] == "answered" for document in documents)


def test_a_restarted_entry_counts_shards_that_it_never_saw(fleet):
    lost = [item for number, item in enumerate(fleet.upstreams["lookup"]) if number % 4 == 2]
    fleet.command("stop", lost)
    gevent.sleep(3.0)
    entry = fleet.entries[0]
    entry.kill()
    entry.start()
    entry.await_answer(status=200)
    gevent.sleep(1.5)
    caller = Caller(fleet.entry_endpoints, "a", Random(1))
    answer = caller.send("lookup", "search", deadline=DEADLINE, entry=entry.endpoint)
    assert answer.document["coverage"]["total"] == 4
    assert [item["shard"] for item in answer.document["coverage"]["missing"]] == [2]
