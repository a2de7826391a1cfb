"""Receiver of the answer to one call."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge_experiment.model.call_driver import CallDriver

__all__ = ["AnswerReceiver"]


class AnswerReceiver(Protocol):
    """Receiver of the answer to one call."""

    def on_event(self, driver: CallDriver, at: float) -> None:
        """Receives an event, or the response of a plain server.

        Args:
            driver: Call that delivers it.
            at: Time in seconds at which the instance sends it.
        """

    def on_complete(self) -> None:
        """Receives the end of the answer."""

    def on_refused(self, retry_after: float) -> None:
        """Receives a refusal as not run.

        Args:
            retry_after: Seconds after which to return.
        """

    def on_cut(self, driver: CallDriver) -> None:
        """Notices that the connection broke or the outcome is unknown.

        Args:
            driver: Call that broke.
        """
