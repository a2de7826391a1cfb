"""Notices that the store came back from an older copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog

from sapphireledge.gateway import GatewayEvent

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["StoreEpoch"]


class StoreEpoch:
    """The latest epoch of the store that this instance knows.

    The store starts a new epoch each time that it comes back from an older copy. What was written
    since that copy is gone, and revisions are given out again, so nothing that depends on a
    revision of an earlier epoch may be used.
    """

    def __init__(self) -> None:
        """Creates the state of an instance that has not heard of the store."""
        self.current: int | None = None
        """Latest known epoch, None before the first one."""

        self._listeners: list[Callable[[], None]] = []
        self._log = structlog.get_logger()

    def subscribe(self, on_restored: Callable[[], None]) -> None:
        """Adds a function to call when a new epoch has started.

        Args:
            on_restored: Function to call, once for each new epoch.
        """
        self._listeners.append(on_restored)

    def observe(self, epoch: int | None) -> bool:
        """Compares the epoch of a response, from the store or from another instance.

        Args:
            epoch: Epoch of the response, None if an instance has sent it that knows none.

        Returns:
            False if the response is from an earlier epoch and must not be used.
        """
        previous = self.current
        if epoch is None or epoch == previous:
            return True
        if previous is not None and epoch < previous:
            return False
        self.current = epoch
        if previous is not None:
            self._log.warning(GatewayEvent.STORE_RESTORED, epoch=epoch, previous=previous)
            for on_restored in self._listeners:
                on_restored()
        return True
