"""Base classes of the errors that a user may see."""

from __future__ import annotations


class FulmarholdError(Exception):
    """An error for a user: the command line prints its text without a traceback.

    `step` names what was being done, `peer` the other party, if there was one.
    """

    def __init__(self, message: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(message)
        self.message = message
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f" [{self.step}]" if self.step else ""
        who = f" ({self.peer})" if self.peer else ""
        return f"{self.message}{where}{who}"


class PeerUnavailable(FulmarholdError):
    """The peer refused the connection, closed it or did not reply in time."""


class ReplyTimeout(PeerUnavailable):
    """The peer took the request, as far as is known, and did not reply in time."""


class MalformedInput(FulmarholdError):
    """Input from outside does not have the shape that its interface requires."""
