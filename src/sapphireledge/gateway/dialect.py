"""Translation between the platform's headers and the gateway's types."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.caller_request import CallerRequest, Headers
    from sapphireledge.gateway.dispatch import Dispatch
    from sapphireledge.gateway.engine_load import EngineLoad
    from sapphireledge.gateway.reply_head import ReplyHead

__all__ = ["Dialect"]


class Dialect(Protocol):
    """Implemented by the adapter of a platform."""

    def decode_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes, arrived: float
    ) -> CallerRequest:
        """Decodes a caller's request.

        Args:
            method: Method.
            target: Path and query.
            headers: All headers, names in lower case.
            body: Whole body.
            arrived: Time in seconds of the event loop's clock.

        Returns:
            The request; fields that cannot be read have their defaults.
        """
        ...

    def encode_dispatch(self, dispatch: Dispatch) -> list[tuple[bytes, bytes]]:
        """Builds the headers for a backend server.

        Args:
            dispatch: What is sent.

        Returns:
            Headers without those that frame the body.
        """
        ...

    def decode_reply(self, status: int, headers: Headers) -> ReplyHead:
        """Decodes the head of a backend server's answer.

        Args:
            status: HTTP status.
            headers: All headers, names in lower case.

        Returns:
            The head.
        """
        ...

    def encode_report_request(
        self, server: BackendServer
    ) -> tuple[bytes, list[tuple[bytes, bytes]]]:
        """Builds the request for an engine's report.

        Args:
            server: Engine.

        Returns:
            Path and headers.
        """
        ...

    def encode_cache_request(
        self, server: BackendServer
    ) -> tuple[bytes, list[tuple[bytes, bytes]]]:
        """Builds the request for the list of prompt parts that an engine keeps.

        Args:
            server: Engine.

        Returns:
            Path and headers.
        """
        ...

    def decode_cache(self, body: bytes) -> frozenset[str]:
        """Decodes the list of prompt parts that an engine keeps.

        Args:
            body: Body of the answer.

        Returns:
            Identities of the parts, none if the list cannot be read.
        """
        ...

    def decode_report(self, body: bytes) -> EngineLoad | None:
        """Decodes an engine's report.

        Args:
            body: Body of the answer.

        Returns:
            The load, or None if the report cannot be read.
        """
        ...

    def encode_refusal(
        self, request_id: str, retry_after: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Builds the headers of an answer of the system's own.

        Args:
            request_id: Id of the caller attempt, empty when unknown.
            retry_after: Seconds after which the caller may come back, or None.

        Returns:
            Headers without those that frame the body.
        """
        ...
