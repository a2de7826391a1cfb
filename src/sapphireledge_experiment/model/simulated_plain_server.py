"""Server that answers each request with one response."""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from sapphireledge.core.backpressure import ServerSignals

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sapphireledge_experiment.model.virtual_clock import VirtualClock
    from sapphireledge_experiment.settings import PlainServerSpec

__all__ = ["SimulatedPlainServer"]


class SimulatedPlainServer:
    """One incarnation of a plain server: slots, a queue and random service times."""

    def __init__(
        self, name: str, data_centre: int, cfg: PlainServerSpec, clock: VirtualClock, rng: Random
    ) -> None:
        """Starts a server.

        Args:
            name: Server id, unique for the incarnation.
            data_centre: Number of its data centre.
            cfg: Speed.
            clock: Clock of the model.
            rng: Source of the service times.
        """
        self.name = name
        """Server id."""

        self.data_centre = data_centre
        """Number of its data centre."""

        self.is_dead = False
        """Whether it has ended."""

        self.signals = ServerSignals()
        """What its responses ask for."""

        self._cfg = cfg
        self._clock = clock
        self._rng = rng
        self._queue: deque[Callable[[bool], None]] = deque()
        self._running: list[Callable[[bool], None]] = []
        self._sigma = math.sqrt(math.log(1.0 + cfg.spread**2))

    def accept(self, on_end: Callable[[bool], None]) -> bool:
        """Receives a request.

        Args:
            on_end: Called with whether there is a response; otherwise the connection was reset.

        Returns:
            Whether it is accepted; otherwise it was rejected as not run.
        """
        if len(self._queue) >= self._cfg.queue:
            return False
        self._queue.append(on_end)
        self._start_next()
        return True

    def die(self) -> None:
        """Ends the server; the connections of its requests are reset."""
        self.is_dead = True
        lost = [*self._running, *self._queue]
        self._running, self._queue = [], deque()
        for on_end in lost:
            on_end(False)

    def _start_next(self) -> None:
        """Starts queued requests while there are slots."""
        while self._queue and len(self._running) < self._cfg.slots:
            on_end = self._queue.popleft()
            self._running.append(on_end)
            factor = self._rng.lognormvariate(-(self._sigma**2) / 2, self._sigma)
            self._clock.after(self._cfg.service_time * factor, lambda end=on_end: self._finish(end))

    def _finish(self, on_end: Callable[[bool], None]) -> None:
        """Ends one request with its response."""
        if self.is_dead:
            return
        self._running.remove(on_end)
        on_end(True)
        self._start_next()
