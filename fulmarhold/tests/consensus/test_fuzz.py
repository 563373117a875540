"""The Raft core against random messages that are well formed but may violate the protocol."""

from __future__ import annotations

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from fulmarhold.consensus.memory import pack_members
from fulmarhold.consensus.messages import (
    KIND_COMMAND,
    KIND_MEMBERS,
    AppendReply,
    AppendRequest,
    LogEntry,
    Members,
    Snapshot,
    SnapshotRequest,
    TakeOver,
    VoteReply,
    VoteRequest,
)
from fulmarhold.errors import FulmarholdError
from fulmarhold.tests.consensus.test_core_cases import elect, make_core

CASE_COUNT = 1_500
numbers = st.integers(-3, 8) | st.sampled_from([2**40, -(2**40)])
names = st.sampled_from(["a", "b", "c", "x", ""])
clusters = st.sampled_from(["c", "c", "c", "other"])
times = st.floats(-1e9, 1e9)
members = st.builds(
    Members, st.dictionaries(names, st.just("e:1")), st.dictionaries(names, st.just("e:1"))
)
entries = st.builds(LogEntry, numbers, numbers, st.just(KIND_COMMAND), st.binary(max_size=3)) | (
    st.builds(LogEntry, numbers, numbers, st.just(KIND_MEMBERS), members.map(pack_members))
)
snapshots = st.builds(Snapshot, numbers, numbers, members, st.binary(max_size=3))
flags = st.booleans()
recipient = st.just("a")
messages_to_a = st.one_of(
    st.builds(
        VoteRequest, clusters, names, recipient, numbers, numbers, numbers, flags, flags, flags
    ),
    st.builds(VoteReply, clusters, names, recipient, numbers, flags, flags, flags),
    st.builds(
        AppendRequest,
        clusters,
        names,
        recipient,
        numbers,
        numbers,
        numbers,
        st.lists(entries, max_size=3).map(tuple),
        numbers,
        times,
    ),
    st.builds(AppendReply, clusters, names, recipient, numbers, flags, numbers, times),
    st.builds(SnapshotRequest, clusters, names, recipient, numbers, snapshots, times),
    st.builds(TakeOver, clusters, names, recipient, numbers),
)


@settings(max_examples=CASE_COUNT, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(st.lists(messages_to_a, min_size=1, max_size=6), st.booleans())
def test_no_message_crashes_the_recipient_or_breaks_its_invariants(messages, leads):
    core = make_core()
    if leads:
        elect(core)
    term, committed = core.term, core.commit_index
    now = 5_000.0
    for message in messages:
        try:
            core.receive(message, now)
        except FulmarholdError as error:
            # The message contradicts a committed entry: the member must stop, not continue.
            assert "refused to remove the committed entry" in str(error)
            assert core.commit_index == committed
            return
        core.tick(now)
        core.take_output()
        assert core.term >= term and core.commit_index >= committed
        term, committed = core.term, core.commit_index
        assert core.commit_index <= core.log.last_index
        now += 60.0
