"""Log lines that input from outside can cause at any rate."""

from __future__ import annotations

from typing import TYPE_CHECKING

from fulmarhold.clock import SECOND

if TYPE_CHECKING:
    import logbook

    from fulmarhold.clock import Clock, Milliseconds

LINE_PERIOD: Milliseconds = 1 * SECOND
MAX_TEXT = 300


class LimitedLog:
    """Writes at most one line per period, with the number of lines omitted before it.

    >>> from fulmarhold.clock import ManualClock
    >>> clock, lines = ManualClock(), []
    >>> class Lines:
    ...     def warning(self, message, *arguments):
    ...         lines.append(message.format(*arguments))
    >>> limited = LimitedLog(Lines(), clock)
    >>> for name in "abc":
    ...     limited.warning("refused {}", name)
    >>> clock.advance(1_000)
    >>> limited.warning("refused {}", "d")
    >>> lines
    ['refused a', 'refused d (2 more omitted)']
    """

    def __init__(self, log: logbook.Logger, clock: Clock) -> None:
        self._log = log
        self._clock = clock
        self._next_at: Milliseconds = float("-inf")
        self._omitted = 0

    def warning(self, message: str, *arguments: object) -> None:
        """Write a warning, or count it as omitted; long arguments are cut."""
        now = self._clock.now()
        if now < self._next_at:
            self._omitted += 1
            return
        self._next_at = now + LINE_PERIOD
        omitted, self._omitted = self._omitted, 0
        if omitted:
            message += " ({} more omitted)"
            arguments = (*arguments, omitted)
        self._log.warning(message, *(bounded_text(str(item)) for item in arguments))


def bounded_text(text: str) -> str:
    r"""Return text that is cut to `MAX_TEXT` characters and can be encoded.

    >>> bounded_text("\ud800" + 400 * "a")[-20:]
    'aaaaaaaaaaaaaaaaa...'
    """
    if len(text) > MAX_TEXT:
        text = f"{text[: MAX_TEXT - 3]}..."
    return text.encode("utf-8", "backslashreplace").decode()
