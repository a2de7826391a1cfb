"""Ledgers of the connections to a Thrift server."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from sapphireledge.limits import CallerBudgets, CallerLedger

if TYPE_CHECKING:
    from collections.abc import Callable

    from sapphireledge.limits import LimitReason

__all__ = ["ConnectionLedgers"]


@dataclass(frozen=True, slots=True)
class ConnectionLedgers:
    """Ledgers of the connections to a Thrift server.

    Strangers have a ledger of their own, so that a crowd without the secret takes no place of an
    authenticated client.
    """

    strangers: CallerLedger
    """Connections that have not authenticated."""

    clients: CallerLedger
    """Authenticated connections."""

    @classmethod
    def of_peers(
        cls, budgets: CallerBudgets, on_limited: Callable[[LimitReason], None]
    ) -> ConnectionLedgers:
        """Creates the ledgers of a peer interface.

        Args:
            budgets: Shares of the machine.
            on_limited: Called for each connection that is closed.

        Returns:
            Ledgers without connections.
        """
        return cls(
            CallerLedger(budgets.joining_peers, on_limited), CallerLedger(budgets.peers, on_limited)
        )

    @classmethod
    def of_operators(
        cls, budgets: CallerBudgets, on_limited: Callable[[LimitReason], None]
    ) -> ConnectionLedgers:
        """Creates the ledgers of an operator interface.

        Args:
            budgets: Shares of the machine.
            on_limited: Called for each connection that is closed.

        Returns:
            Ledgers without connections.
        """
        return cls(
            CallerLedger(budgets.strangers, on_limited), CallerLedger(budgets.operators, on_limited)
        )
