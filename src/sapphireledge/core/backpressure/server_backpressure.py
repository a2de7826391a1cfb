"""Decides when one instance may send requests to one server.

A server that rejects a request can ask for a pause: it is full, or recovers, and each further
request costs it the time to reject it. A server that leaves gets no new requests for the rest of
its incarnation.

Load pattern: some servers crash when they have to reject too many requests in a second. All
instances meet the same full server, so each spares it after a rejection.

Load pattern: a server in trouble names the rate of requests that it takes from all instances
together. The instances do not coordinate, so each takes an equal share of the rate, and the rest of
its requests go to other servers, wait, or are refused.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sapphireledge.core.backpressure.request_pacer import RequestPacer
from sapphireledge.core.backpressure.server_signals import ServerSignals

if TYPE_CHECKING:
    from random import Random

    from sapphireledge.core.backpressure.backpressure_limits import BackpressureLimits

__all__ = ["ServerBackpressure"]


class ServerBackpressure:
    """What one incarnation of a server asks of this instance, by its latest response."""

    __slots__ = ("_limits", "_pacer", "_paused_until", "_rng", "is_leaving", "signals")

    def __init__(self, limits: BackpressureLimits, rng: Random) -> None:
        """Creates the state of a server that has asked for nothing.

        Args:
            limits: Limits.
            rng: Source of the time of the first slot at a server that names a rate.
        """
        self.signals = ServerSignals()
        """Signals of the latest response."""

        self.is_leaving = False
        """Whether the server shuts down; final for its incarnation."""

        self._limits = limits
        self._rng = rng
        self._paused_until = -math.inf
        self._pacer = RequestPacer(limits, rng)

    def on_response(
        self,
        now: float,
        signals: ServerSignals,
        instances: int,
        contact_interval: float = 0.0,
    ) -> None:
        """Applies the signals of a response.

        Args:
            now: Current time in seconds.
            signals: Signals of the response.
            instances: Number of instances that share the rate of the server, at least 1.
            contact_interval: Mean seconds between two contacts of this instance with the server, 0
                if it hears from the server all the time.
        """
        self.signals = signals
        self.is_leaving = self.is_leaving or signals.is_leaving
        if signals.pause is not None:
            pause = min(signals.pause, self._limits.max_pause)
            self._paused_until = max(self._paused_until, now + pause)
        if signals.has_rejected and signals.rejection_limit is not None:
            pause = self._pause_after_rejection(signals.rejection_limit, instances)
            self._paused_until = max(self._paused_until, now + pause)
        rate = signals.rate_limit
        if rate is not None:
            rate = max(rate, self._limits.min_rate)
        self._pacer.set_rate(now, rate, max(1, instances), contact_interval)

    def _pause_after_rejection(self, limit: float, instances: int) -> float:
        """Computes for how long to spare a server that crashes when it rejects too many requests.

        Args:
            limit: Rejections per second that it bears.
            instances: Number of instances whose requests it rejects.

        Returns:
            Seconds, random so that the instances do not return at the same time.
        """
        limits = self._limits
        share = max(limit, limits.min_rejection_limit) * limits.rejection_share
        pause = min(max(1, instances) / share, limits.max_rejection_pause)
        return pause * self._rng.uniform(0.5, 2.0)

    def on_leaving(self) -> None:
        """Records that the server shuts down, as another source than its responses says."""
        self.is_leaving = True

    def next_at(self, now: float) -> float:
        """Computes when the next request may be sent to the server.

        Args:
            now: Current time in seconds.

        Returns:
            Time in seconds, at least `now`; infinite if the server is leaving.
        """
        if self.is_leaving:
            return math.inf
        return self._pacer.next_at(max(now, self._paused_until))

    def is_closed(self, now: float) -> bool:
        """Checks whether not even a request with a reserved slot may be sent.

        Args:
            now: Current time in seconds.

        Returns:
            Whether the server is leaving, or has asked for a pause that has not ended.
        """
        return self.is_leaving or now < self._paused_until

    def take(self, now: float) -> None:
        """Records that a request is sent, or will be sent when `next_at` is reached.

        Args:
            now: Current time in seconds.
        """
        self._pacer.take(now)
