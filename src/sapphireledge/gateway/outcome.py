"""Outcome of one attempt at a backend server."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.response_head import ResponseHead

__all__ = ["MISDIRECTED", "Outcome", "OutcomeKind"]


MISDIRECTED = 421
"""HTTP status of a server that has taken over the address of the expected one."""


class OutcomeKind(StrEnum):
    """How an attempt ended and whether the request was executed."""

    ANSWERED = "answered"
    """The backend server executed the request and sent a complete response below status 500."""

    NOT_EXECUTED = "not_executed"
    """The request was certainly not executed and never will be."""

    FAILED = "failed"
    """The backend server executed the request and responded with a server error."""

    LOST = "lost"
    """The request was sent but got no usable response; it may have been executed."""

    OUT_OF_TIME = "out_of_time"
    """The request was sent but its deadline passed; it may have been executed."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """Result of one attempt."""

    kind: OutcomeKind
    """Kind of the outcome."""

    server: BackendServer
    """Backend server to which the request was sent."""

    reason: str
    """Description of the cause, for the log."""

    head: ResponseHead | None = None
    """Head of the response, None without a usable response."""

    body: bytes = b""
    """Body of the response, if it is to be passed on and has not been streamed."""

    connection_lost: bool = False
    """Whether the server closed or reset the connection before its response was complete."""

    silent: bool = False
    """Whether the server sent neither a response nor anything else that shows that it is alive."""

    is_given_up: bool = False
    """Whether this instance ended the attempt although its server may have gone on with it."""

    is_moved: bool = False
    """Whether this instance ended the attempt so that the stream goes on at another server."""

    is_withheld: bool = False
    """Whether this instance did not send the request, as its version may no longer be used."""

    @property
    def is_misdirected(self) -> bool:
        """Whether a different server has taken over the address of the expected one."""
        return (
            self.kind is OutcomeKind.NOT_EXECUTED
            and self.head is not None
            and self.head.status == MISDIRECTED
        )
