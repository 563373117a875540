"""The writes of a member that are not synced yet, and the messages that have to wait for them.

A slow sync must not stop the member: it goes on receiving, and while one write is in progress the
following ones are merged. Only what a message promises has to be stored before it is sent: a vote
or a new term, or the entries that an acknowledgement covers.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from fulmarhold.consensus.messages import AppendReply
from fulmarhold.consensus.output import Output

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarhold.consensus.messages import PeerMessage


class PendingWrites:
    """The write in progress and the merged writes that follow it.

    >>> from fulmarhold.consensus.messages import LogEntry
    >>> writes = PendingWrites()
    >>> writes.add(Output(entries=[LogEntry(7, 1, "command", b"")]))
    >>> writes.first_unstored, [entry.index for entry in writes.start().entries]
    (7, [7])
    >>> writes.complete()
    >>> writes.first_unstored is None
    True
    """

    def __init__(self) -> None:
        self._in_progress: Output | None = None
        self._waiting = Output()

    @property
    def is_idle(self) -> bool:
        """Whether everything is synced."""
        return self._in_progress is None and not _has_content(self._waiting)

    @property
    def first_unstored(self) -> int | None:
        """The lowest log index that the pending writes add or remove, if there is any."""
        indexes = [
            index
            for output in self._outputs()
            for index in (output.truncate_from, *(item.index for item in output.entries[:1]))
            if index is not None
        ]
        return min(indexes, default=None)

    @property
    def covers_all_messages(self) -> bool:
        """Whether no message may be sent now: a term, a vote or a snapshot is not synced."""
        return any(
            output.hard_state is not None or output.installed_snapshot is not None
            for output in self._outputs()
        )

    def add(self, output: Output) -> None:
        """Add the writes of an output of the core."""
        self._waiting = _merged(self._waiting, output)

    def start(self) -> Output | None:
        """Return the writes to sync next; `None` if there are none or a write is in progress."""
        if self._in_progress is not None or not _has_content(self._waiting):
            return None
        self._in_progress, self._waiting = self._waiting, Output()
        return self._in_progress

    def block(self) -> None:
        """Hold back all writes until `complete`, while the files are reorganized."""
        self._in_progress = Output()

    def complete(self) -> None:
        """Note that the write in progress is synced."""
        self._in_progress = None

    def fail(self) -> None:
        """Note that the write in progress failed; it is tried again together with later ones."""
        if self._in_progress is not None:
            self._waiting = _merged(self._in_progress, self._waiting)
            self._in_progress = None

    def _outputs(self) -> Iterable[Output]:
        if self._in_progress is not None:
            yield self._in_progress
        yield self._waiting


@dataclass
class _Held:
    message: PeerMessage
    match_index: int
    was_reduced: bool = False


class Outbox:
    """Messages that wait until what they promise is synced."""

    def __init__(self) -> None:
        self._held: list[_Held] = []

    def add(self, messages: Iterable[PeerMessage]) -> None:
        """Add messages in the order in which they are to be sent."""
        for message in messages:
            match_index = 0
            if isinstance(message, AppendReply) and message.success:
                match_index = message.match_index
                # A later acknowledgement covers the earlier ones.
                self._held = [
                    item
                    for item in self._held
                    if not 0 < item.match_index <= match_index or item.message.term != message.term
                ]
            self._held.append(_Held(message, match_index))

    def release(
        self, writes: PendingWrites, stored_index: int, term: int, *, is_slow: bool
    ) -> list[PeerMessage]:
        """Return the messages that may be sent now; the others stay.

        While a write `is_slow`, acknowledgements are sent at once for what is stored, so that the
        leader knows that this member is alive. Messages of an earlier `term` than the current one
        are dropped: what they promise may no longer hold.
        """
        self._held = [item for item in self._held if item.message.term >= term]
        if writes.covers_all_messages:
            return []
        released: list[PeerMessage] = []
        held, self._held = self._held, []
        for item in held:
            if item.match_index <= stored_index:
                released.append(item.message)
                continue
            if is_slow and not item.was_reduced and isinstance(item.message, AppendReply):
                item.was_reduced = True
                released.append(replace(item.message, match_index=stored_index))
            self._held.append(item)
        return released


def _has_content(output: Output) -> bool:
    return output.has_writes or output.installed_snapshot is not None


def _merged(first: Output, second: Output) -> Output:
    """Return one output that has the effect of two outputs written one after the other."""
    if second.installed_snapshot is not None:
        return Output(
            installed_snapshot=second.installed_snapshot,
            hard_state=second.hard_state or first.hard_state,
            entries=list(second.entries),
        )
    entries, truncate_from = list(first.entries), first.truncate_from
    if second.truncate_from is not None:
        entries = [item for item in entries if item.index < second.truncate_from]
        earlier = first.truncate_from
        truncate_from = (
            second.truncate_from if earlier is None else min(earlier, second.truncate_from)
        )
    return Output(
        installed_snapshot=first.installed_snapshot,
        hard_state=second.hard_state or first.hard_state,
        truncate_from=truncate_from,
        entries=[*entries, *second.entries],
    )
