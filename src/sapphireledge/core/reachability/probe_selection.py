"""Selects the servers whose connections show whether an instance is cut off."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence
    from random import Random

__all__ = ["ProbeSelection"]

Server = TypeVar("Server")

PROBES_PER_SERVICE = 3
"""Servers of each service that are probed at the same time."""

WITNESSES_PER_SERVICE = 6
"""Other servers of each service that are probed before a server counts as dead. More than usual, as
several may have crashed at the same time."""

MIN_WITNESSES = 4
"""Other servers without which it cannot be told whether one is dead or this instance cut off."""


class ProbeSelection:
    """Draws servers of each service.

    A service that is down alone is no partition, so servers of all services are probed.
    """

    def __init__(self, rng: Random) -> None:
        """Creates a selection.

        Args:
            rng: Source of the draws.
        """
        self._rng = rng

    def draw_probes(self, services: Iterable[Sequence[Server]]) -> list[Server]:
        """Draws the servers to probe when a partition is suspected, or has not ended.

        Args:
            services: Servers of each service.

        Returns:
            The servers.
        """
        return self._draw(services, PROBES_PER_SERVICE)

    def draw_witnesses(self, services: Iterable[Sequence[Server]]) -> list[Server]:
        """Draws the servers to probe before another one counts as dead.

        Args:
            services: Servers of each service, without the one that has failed.

        Returns:
            The servers, none if they are too few to tell.
        """
        drawn = self._draw(services, WITNESSES_PER_SERVICE)
        return drawn if len(drawn) >= MIN_WITNESSES else []

    def _draw(self, services: Iterable[Sequence[Server]], most: int) -> list[Server]:
        """Draws some servers of each service."""
        drawn: list[Server] = []
        for servers in services:
            drawn += self._rng.sample(servers, min(len(servers), most))
        return drawn
