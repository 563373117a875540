"""Sends messages to other members; a slow or unreachable peer does not delay the others."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent
from gevent.queue import Queue

from fulmarhold.clock import SECOND
from fulmarhold.consensus.messages import MemberMessage, PeerMessage
from fulmarhold.errors import FulmarholdError, PeerUnavailable
from fulmarhold.observe.logs import get_logger
from fulmarhold.wire.client import Link
from fulmarhold.wire.messages import to_values

if TYPE_CHECKING:
    from collections.abc import Iterable

    from fulmarhold.clock import Milliseconds

log = get_logger("transport")

MAX_QUEUE_LENGTH = 512
SEND_TIMEOUT: Milliseconds = 2_000.0


class Transport:
    """Sends messages to each peer in order and drops the oldest when a peer's queue is full."""

    def __init__(self, own_endpoint: str) -> None:
        self._own_endpoint = own_endpoint
        self._senders: dict[str, _Sender] = {}

    def send(self, endpoint: str, message: PeerMessage) -> None:
        """Queue a message for the member at `endpoint`; it may be lost."""
        sender = self._senders.get(endpoint)
        if sender is None:
            sender = self._senders[endpoint] = _Sender(endpoint)
        sender.put(MemberMessage(self._own_endpoint, to_values(message)))

    def links(self) -> Iterable[Link]:
        """Return the links to the members that messages were sent to."""
        return [sender.link for sender in self._senders.values()]

    def close(self) -> None:
        """Close every connection."""
        for sender in self._senders.values():
            sender.close()


class _Sender:
    def __init__(self, endpoint: str) -> None:
        self.link = Link(endpoint)
        self._queue: Queue[MemberMessage] = Queue()
        self._greenlet = gevent.spawn(self._run)

    def put(self, message: MemberMessage) -> None:
        if self._queue.qsize() >= MAX_QUEUE_LENGTH:
            self._queue.get_nowait()
        self._queue.put_nowait(message)

    def close(self) -> None:
        self._greenlet.kill(block=False)
        self.link.close()

    def _run(self) -> None:
        while True:
            message = self._queue.get()
            try:
                with gevent.Timeout(SEND_TIMEOUT / SECOND, PeerUnavailable("send timed out")):
                    self.link.send(message)
            except FulmarholdError as error:
                if not isinstance(error, PeerUnavailable):
                    log.error("a message was not sent: {}", error)
                # The protocol resends what is lost, and queued messages would arrive stale.
                while not self._queue.empty():
                    self._queue.get_nowait()
                gevent.sleep(0.05)
