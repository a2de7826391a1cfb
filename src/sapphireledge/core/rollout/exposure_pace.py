"""Spreads the requests for the new version evenly over all requests of an instance."""

from __future__ import annotations

from random import Random

__all__ = ["ExposurePace"]

MOST_CREDIT = 2.0
"""Requests that may be made up for at once, after a time without any."""


class ExposurePace:
    """Each request adds the share to a credit, of which a request for the new version takes 1.

    A share that was not used, or that has just risen, is not made up for by a burst.
    """

    def __init__(self, rng: Random) -> None:
        """Creates the state before the first request.

        Args:
            rng: Source of the initial credit; instances with few requests do not start together.
        """
        self._credit = rng.random()

    def permits(self, share: float) -> bool:
        """Whether the next request may go to the new version.

        Args:
            share: Share of the requests.

        Returns:
            Whether it may.
        """
        return self._credit + share >= 1.0

    def on_sent(self, share: float, *, is_new: bool, is_retry: bool) -> None:
        """Takes in an attempt that is sent.

        Args:
            share: Share of the requests.
            is_new: Whether it goes to the new version.
            is_retry: Whether the request was sent before.
        """
        if not is_retry:
            self._credit = min(self._credit + share, MOST_CREDIT)
        if is_new:
            self._credit = max(self._credit - 1.0, -MOST_CREDIT)
