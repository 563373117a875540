"""Base classes of the errors that are reported to users."""

from __future__ import annotations


class FulmarholdError(Exception):
    """An error to report to the user: the command line prints its text without a traceback.

    `step` names the operation that failed, `peer` the remote endpoint or service, if any.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        step_suffix = f" [{self.step}]" if self.step else ""
        peer_suffix = f" ({self.peer})" if self.peer else ""
        return f"{self.message}{step_suffix}{peer_suffix}"


class PeerUnavailable(FulmarholdError):
    """The peer refused or closed the connection, or did not reply in time."""


class ReplyTimeout(PeerUnavailable):
    """The request was sent, but the peer did not reply in time; it may have processed it."""


class MalformedInput(FulmarholdError):
    """External input does not have the structure that its interface requires."""
