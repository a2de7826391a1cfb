"""Interface to the engines for orders."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.core.fleet import Order, OrderReply

__all__ = ["OrderSender"]


class OrderSender(Protocol):
    """Sends orders to engines, once each."""

    async def send(self, order: Order, fencing_number: int) -> OrderReply:
        """Sends one order.

        Args:
            order: The order.
            fencing_number: Number of the lease, which the engine compares with earlier ones.

        Returns:
            How it ended; `NO_ANSWER` whenever it may have arrived.
        """
        ...
