"""Three real members with real storage in one process, on disks that can be full or fail."""

from __future__ import annotations

import errno
import os
from contextlib import suppress
from io import FileIO
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import gevent
import msgpack

from fulmarhold.clock import SECOND, Clock
from fulmarhold.consensus import storage as storage_module
from fulmarhold.consensus.node import Node
from fulmarhold.consensus.storage import Storage
from fulmarhold.errors import FulmarholdError

NAMES = ("a", "b", "c")
# The bound of the platform on the acknowledgement of a change.
ACKNOWLEDGEMENT_BOUND = 5_000.0
CHANGE_TIMEOUT = 1_000.0
CHANGE_PERIOD = 15.0
POLL_PERIOD = 10.0
CHANGE_BYTES = 300


class FailingDisk:
    """The disk of one member; `fill` makes one kind of operation fail until `make_room`."""

    def __init__(self) -> None:
        self.fault = ""
        self.refused = 0
        self._bytes_left = 0

    def fill(self, fault: str, bytes_left: int = 0) -> None:
        self.fault, self._bytes_left = fault, bytes_left

    def make_room(self) -> None:
        self.fault = ""

    def take(self, size: int) -> int:
        """Return how many of `size` bytes fit; raises `OSError` if none does."""
        if self.fault != "write":
            return size
        taken = min(size, self._bytes_left)
        if size and not taken:
            self.refuse()
        self._bytes_left -= taken
        return taken

    def check(self, operation: str) -> None:
        if self.fault == operation:
            self.refuse()

    def refuse(self) -> None:
        self.refused += 1
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def sync(self, descriptor: int) -> None:
        self.check("sync")
        os.fsync(descriptor)


class DiskFolder(type(Path())):  # type: ignore[misc]
    """A path on a failing disk; renaming and creating files there can fail."""

    disks: dict[str, FailingDisk] = {}

    @property
    def disk(self) -> FailingDisk:
        return next(disk for folder, disk in self.disks.items() if str(self).startswith(folder))

    def replace(self, target):
        self.disk.check("rename")
        return super().replace(target)


class DiskFile(FileIO):
    """A file on a failing disk."""

    def __init__(self, path, mode):
        self._disk = path.disk
        if not path.exists():
            self._disk.check("create")
        super().__init__(path, mode)

    def write(self, data):
        taken = self._disk.take(len(data))
        return super().write(data[:taken])


class Changes:
    """A state machine that keeps the numbers of the changes applied to it."""

    def __init__(self) -> None:
        self.numbers: list[int] = []

    def apply(self, data: bytes) -> int:
        self.numbers.append(msgpack.unpackb(data)[0])
        return self.numbers[-1]

    def save(self) -> bytes:
        packed: bytes = msgpack.packb(self.numbers)
        return packed

    def restore(self, state: bytes) -> None:
        self.numbers = msgpack.unpackb(state)


class MembersOnDisks:
    """Three members that are sent changes all the while, to whichever of them leads."""

    def __init__(self, folder: Path, monkeypatch: Any) -> None:
        monkeypatch.setattr(storage_module, "FileIO", DiskFile)
        self._folder = folder
        self.disks = {name: FailingDisk() for name in NAMES}
        self.nodes: dict[str, Node] = {}
        self.machines: dict[str, Changes] = {}
        self.acknowledged: list[int] = []
        self._sent = 0
        for name in NAMES:
            self.start(name)
        first = self.nodes["a"]
        first.form("cluster", {node.identity: name for name, node in self.nodes.items()})
        self._sender = gevent.spawn(self._send_changes)

    def start(self, name: str) -> None:
        folder = DiskFolder(self._folder / name)
        DiskFolder.disks[str(folder)] = self.disks[name]
        transport: Any = SimpleNamespace(
            send=lambda endpoint, message: self._deliver(name, endpoint, message),
            close=lambda: None,
        )
        machine = self.machines[name] = Changes()
        storage = Storage(folder, self.disks[name].sync)
        self.nodes[name] = Node(storage, transport, machine, Clock())
        self.nodes[name].start()

    def restart(self, name: str) -> None:
        self.nodes.pop(name).stop()
        self.start(name)

    def stop(self) -> None:
        self._sender.kill()
        for disk in self.disks.values():
            disk.make_room()
        for node in self.nodes.values():
            node.stop()
        DiskFolder.disks.clear()

    def leader(self) -> str | None:
        return next((name for name, node in self.nodes.items() if node.has_lease()), None)

    def change(self, via: str | None = None) -> int | None:
        """Send one change to the leader that `via` names; returns its number if acknowledged."""
        leader = self.nodes[via].leader_endpoint if via else self.leader()
        if leader not in self.nodes:
            return None
        self._sent += 1
        number = self._sent
        with suppress(FulmarholdError), gevent.Timeout(CHANGE_TIMEOUT / SECOND, False):
            self.nodes[leader].propose(msgpack.packb([number, bytes(CHANGE_BYTES)]))
            self.acknowledged.append(number)
            return number
        return None

    def check_recovered(self) -> None:
        """Check that each member takes changes again, and holds all that were acknowledged."""
        for name in NAMES:
            self._await(lambda name=name: self.change(via=name), f"{name} gets a change through")
        self._sender.kill()
        self._await(self._is_level, "all members hold and have applied the same")
        for name, machine in self.machines.items():
            lost = set(self.acknowledged) - set(machine.numbers)
            assert not lost, f"{name} lost acknowledged changes {sorted(lost)}"
        assert len({tuple(machine.numbers) for machine in self.machines.values()}) == 1
        assert not any(node.failure.ready() for node in self.nodes.values())

    def _is_level(self) -> bool:
        cores = [node.core for node in self.nodes.values()]
        indexes = {
            index
            for node in self.nodes.values()
            for index in (node.core.commit_index, node.core.stored_index, node.applied_index)
        }
        is_storing = all(node.can_store for node in self.nodes.values())
        return is_storing and len(indexes) == 1 and {cores[0].log.last_index} == indexes

    def _await(self, condition: Any, what: str) -> None:
        with gevent.Timeout(ACKNOWLEDGEMENT_BOUND / SECOND, False):
            while not condition():
                gevent.sleep(POLL_PERIOD / SECOND)
            return
        raise AssertionError(f"waited in vain until {what}: {self._states()}")

    def _states(self) -> dict[str, tuple[bool, str, int, int]]:
        return {
            name: (node.can_store, node.core.role.value, node.core.term, node.core.commit_index)
            for name, node in self.nodes.items()
        }

    def _deliver(self, sender: str, recipient: str, message: Any) -> None:
        node = self.nodes.get(recipient)
        if node is not None:
            gevent.spawn(node.receive, sender, message)

    def _send_changes(self) -> None:
        while True:
            gevent.spawn(self.change)
            gevent.sleep(CHANGE_PERIOD / SECOND)
