"""Non-blocking log output with a bounded buffer."""

from __future__ import annotations

import os
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

__all__ = ["BoundedLog"]

MAX_PENDING_LINES = 2_000
"""Lines buffered for a slow reader, about half a megabyte."""


class BoundedLog:
    """Writes lines to a file descriptor without blocking.

    Lines that the reader is too slow for are buffered; when the buffer is full, new lines are
    dropped and counted.
    """

    def __init__(self, descriptor: int, render_dropped: Callable[[int], str]) -> None:
        """Switches the descriptor to non-blocking mode.

        Args:
            descriptor: Open file descriptor, such as that of standard output.
            render_dropped: Builds the line that reports a number of dropped lines.
        """
        self._descriptor = descriptor
        self._render_dropped = render_dropped
        self._reported_drops = 0
        self._pending: deque[bytes] = deque()
        self.dropped = 0
        """Number of lines dropped since the start."""

        os.set_blocking(descriptor, False)

    def msg(self, message: str) -> None:
        """Writes one line, or drops it if the buffer is full.

        Args:
            message: Line without a line terminator.
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
        """Writes buffered lines until the descriptor would block."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed the pipe, and there is nowhere else to report the error.
                self.dropped += len(self._pending)
                self._pending.clear()
                return
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()

    def __call__(self, *args: Any) -> BoundedLog:
        """Returns itself, so that the instance can serve as structlog's logger factory."""
        return self
