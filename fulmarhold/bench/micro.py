"""Measures message sizes and the processor time of single operations within one process."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgpack

from fulmarhold.clock import Clock
from fulmarhold.configuration import configuration_to_document
from fulmarhold.consensus.messages import AppendRequest, MemberMessage
from fulmarhold.control.machine import ControlMachine
from fulmarhold.control.messages import EntrySync, RosterEntry, SyncReply
from fulmarhold.control.state import Claim
from fulmarhold.demo.run import DEPLOYMENTS, EXAMPLES
from fulmarhold.membership.announced import AnnouncedSet
from fulmarhold.membership.directory import Directory
from fulmarhold.membership.records import Announcement, PeerPoll, PeerReply, UpstreamRecord
from fulmarhold.observe.counters import Counters
from fulmarhold.operators.queries.questionnaires import derive_from_file
from fulmarhold.wire.frames import FrameDecoder, encode_frame
from fulmarhold.wire.messages import to_values

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

REPEATS = 2_000
UPSTREAM_COUNT = 2_000
CLAIM_COUNT = 20_000
LEASE = 60_000.0
ENTRY_NAME = "entry-100"
IDENTIFIER = "0" * 32

Measurement = tuple[str, float, str]


def micro_measurements() -> list[Measurement]:
    """Return sizes in bytes and processor times in microseconds."""
    roster_entry = RosterEntry(ENTRY_NAME, "centre-a", "10.0.0.1:8100", "10.0.0.1:8200")
    records = tuple(make_record(number) for number in range(UPSTREAM_COUNT))
    messages: dict[str, Any] = {
        "poll of a peer": PeerPoll(ENTRY_NAME, IDENTIFIER, 100),
        "reply to a poll, nothing changed": PeerReply(IDENTIFIER, 100, None, "serving", 100),
        "sync with control": EntrySync(roster_entry, 1.0, 100, 100, "serving"),
        "reply to a sync, nothing changed": SyncReply(100, 100, None, None),
        "heartbeat of the leader": MemberMessage(
            "10.0.0.1:8200",
            to_values(AppendRequest("c" * 12, IDENTIFIER, IDENTIFIER, 1, 1, 1, (), 1, 1.0)),
        ),
    }
    rows: list[Measurement] = []
    for name, message in messages.items():
        rows.append((f"{name}, size", len(encode_frame(1, message)), "bytes"))
        rows.append(
            (f"{name}, encode and decode", _microseconds_per_call(_round_trip(message)), "us")
        )
    full_reply = PeerReply(IDENTIFIER, 100, records, "serving", 100)
    rows.append(
        ("record of an upstream in a reply", _bytes_per_item(full_reply, UPSTREAM_COUNT), "bytes")
    )
    roster = SyncReply(100, 100, None, (roster_entry,) * UPSTREAM_COUNT)
    rows.append(("entry in a roster", _bytes_per_item(roster, UPSTREAM_COUNT), "bytes"))
    rows.append(("directory, merge of one upstream", _merge_time_per_upstream(records), "us"))
    rows.append(("configuration, each service", _configuration_bytes_per_service(), "bytes"))
    rows.append(("claim, bytes in a snapshot", _bytes_per_claim(), "bytes"))
    return rows


def make_record(number: int) -> UpstreamRecord:
    """Return a distinct upstream record for each number."""
    address = f"10.{number // 65_536}.{number // 256 % 256}.{number % 256}:9000"
    return UpstreamRecord(
        "service", number % 240, "layout-1", 240, (1, 2), address, 1, 1, 8, 40, "serving"
    )


def _round_trip(message: Any) -> Callable[[], None]:
    decoder = FrameDecoder()

    def run() -> None:
        list(decoder.feed(encode_frame(1, message)))

    return run


def _microseconds_per_call(step: Callable[[], object], repeats: int = REPEATS) -> float:
    step()
    start = time.process_time_ns()
    for _ in range(repeats):
        step()
    return (time.process_time_ns() - start) / repeats / 1_000


def _bytes_per_item(message: Any, count: int) -> float:
    return len(encode_frame(1, message)) / count


def _merge_time_per_upstream(records: tuple[UpstreamRecord, ...]) -> float:
    clock = Clock()
    announced = AnnouncedSet(clock, Counters())
    token = announced.issue_token()
    for record in records:
        announced.apply(Announcement(record, token), LEASE)
    directory = Directory(announced, clock)
    return _microseconds_per_call(directory.known, repeats=20) / len(records)


def _configuration_bytes_per_service() -> float:
    documents = [
        configuration_to_document(derive_from_file(EXAMPLES / f"{name}.yml"))
        for name in DEPLOYMENTS
    ]
    sizes = [len(msgpack.packb(document)) for document in documents]
    return sum(sizes) / sum(len(document["services"]) for document in documents)


def _bytes_per_claim() -> float:
    machine = ControlMachine()
    empty_size = len(machine.save())
    for number in range(CLAIM_COUNT):
        machine.state.claims[f"{number:036d}"] = Claim(
            IDENTIFIER, IDENTIFIER, ENTRY_NAME, True, b"x" * 120
        )
    return (len(machine.save()) - empty_size) / CLAIM_COUNT
