"""Place of one connection among those of operators."""

from __future__ import annotations

from contextlib import contextmanager
from time import monotonic
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

    from sapphireledge.limits import CallerAccount, CallerLedger, LimitReason

__all__ = ["OperatorPlace"]


class OperatorPlace:
    """Place of one connection; those that presented the secret have places of their own."""

    def __init__(
        self,
        account: CallerAccount,
        authenticated: CallerLedger,
        evict: Callable[[LimitReason], None],
    ) -> None:
        """Creates the place of a connection that has not presented the secret.

        Args:
            account: Account among such connections.
            authenticated: Ledger of those that presented it.
            evict: Closes the connection.
        """
        self._account = account
        self._authenticated = authenticated
        self._evict = evict

    def authenticate(self) -> bool:
        """Moves the connection to those that presented the secret.

        Returns:
            Whether there was a place; there is none while questions of all others are answered.
        """
        account = self._authenticated.open(monotonic(), self._evict)
        if account is None:
            return False
        self._account.close()
        self._account = account
        return True

    @contextmanager
    def serve(self) -> Iterator[None]:
        """Keeps the place while a question is answered."""
        self._account.serve(monotonic())
        try:
            yield
        finally:
            self._account.wait_for_peer(monotonic())

    def close(self) -> None:
        """Gives the place back."""
        self._account.close()
