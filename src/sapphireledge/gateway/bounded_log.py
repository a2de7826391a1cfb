"""Log output that never blocks the process."""

from __future__ import annotations

import os
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

__all__ = ["BoundedLog"]

MAX_PENDING_LINES = 2_000
"""Lines kept for a reader that is behind; about half a megabyte."""


class BoundedLog:
    """Writes lines to a descriptor; lines beyond a bound are dropped and counted."""

    def __init__(self, descriptor: int, render_dropped: Callable[[int], str]) -> None:
        """Puts the descriptor into non-blocking mode.

        Args:
            descriptor: Open descriptor, such as that of standard output.
            render_loss: Builds the line that reports a number of dropped lines.
        """
        self._descriptor = descriptor
        self._render_dropped = render_dropped
        self._reported_drops = 0
        self._pending: deque[bytes] = deque()
        self.dropped = 0
        """Lines dropped since the start."""

        os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Writes one line.

        Args:
            message: Line without its end.
        """
        if len(self._pending) >= MAX_PENDING_LINES:
            self.flush()
        if len(self._pending) >= MAX_PENDING_LINES:
            self.dropped += 1
            return
        if self.dropped > self._reported_drops:
            unreported, self._reported_drops = self.dropped - self._reported_drops, self.dropped
            self._pending.append(self._render_dropped(unreported).encode() + b"\n")
        self._pending.append(message.encode() + b"\n")
        self.flush()

    log = debug = info = warn = warning = error = critical = exception = msg

    def flush(self) -> None:
        """Writes as many waiting lines as the reader takes."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone for good, and there is no other place to report it.
                self.dropped += len(self._pending)
                self._pending.clear()
                return
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()

    def __call__(self, *args: Any) -> BoundedLog:
        """Serves as the logger factory of structlog."""
        return self
