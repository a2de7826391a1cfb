"""Signals of a program, from its first statement to its end.

Imports only the standard library, so that a program can install the handlers before anything else.
"""

from __future__ import annotations

import contextlib
import signal
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable, Iterator, Mapping

__all__ = ["ProcessSignals"]

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
"""Signals that request a graceful shutdown."""

HANDLED_SIGNALS = (*STOP_SIGNALS, signal.SIGHUP)
"""Signals that must not end the process by their default action."""


class ProcessSignals:
    """Keeps signals from ending the process, and passes them on while an event loop runs.

    The handlers stay installed until `ignore`. They are not those of `loop.add_signal_handler`,
    because a closing loop restores the default action, which ends a process that is about to exit.
    """

    def __init__(self) -> None:
        self._pending: set[int] = set()
        self._deliver: Callable[[int], None] | None = None

    def install(self) -> None:
        """Installs the handlers, and unblocks signals that the launcher has blocked."""
        for number in HANDLED_SIGNALS:
            signal.signal(number, self._on_signal)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, HANDLED_SIGNALS)

    @property
    def is_stop_requested(self) -> bool:
        """Whether a stop signal has arrived that was not passed on."""
        return not self._pending.isdisjoint(STOP_SIGNALS)

    @contextlib.contextmanager
    def delivered_to(
        self, loop: asyncio.AbstractEventLoop, actions: Mapping[int, Callable[[], object]]
    ) -> Iterator[None]:
        """Runs an action in the event loop for each signal, also for those that arrived before.

        Args:
            loop: Event loop, which may be asleep when a signal arrives.
            actions: Action for each signal.
        """

        def deliver(number: int) -> None:
            if number in actions:
                loop.call_soon_threadsafe(actions[number])

        self._deliver = deliver
        earlier, self._pending = self._pending, set()
        for number in sorted(earlier):
            deliver(number)
        try:
            yield
        finally:
            self._deliver = None

    def ignore(self) -> None:
        """Ignores the signals until the process has exited.

        The interpreter restores the default action of handled signals when it shuts down, but not
        that of ignored ones.
        """
        for number in HANDLED_SIGNALS:
            signal.signal(number, signal.SIG_IGN)

    def _on_signal(self, number: int, _frame: object) -> None:
        """Records the signal; an exception here could interrupt any statement of the program."""
        if self._deliver is None:
            self._pending.add(number)
        else:
            self._deliver(number)
