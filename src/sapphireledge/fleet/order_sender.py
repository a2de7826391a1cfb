"""Protocol through which the fleet controller sends orders."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.core.fleet import Order, OrderReply

__all__ = ["OrderSender"]


class OrderSender(Protocol):
    """Sends orders to engines without retries."""

    async def send(self, order: Order, fencing_number: int) -> OrderReply:
        """Sends one order.

        Args:
            order: Order to send.
            fencing_number: Fencing number of the lease; engines may refuse outdated numbers.

        Returns:
            The reply; its outcome is `NO_ANSWER` whenever the order may have arrived unconfirmed.
        """
        ...
