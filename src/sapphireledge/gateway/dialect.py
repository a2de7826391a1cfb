"""Interface for translating between the platform's headers and the gateway's types."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.errors import Failure
    from sapphireledge.gateway.backend_request import BackendRequest
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.caller_request import CallerRequest, Headers
    from sapphireledge.gateway.engine_load import EngineLoad
    from sapphireledge.gateway.response_head import ResponseHead

__all__ = ["Dialect"]


class Dialect(Protocol):
    """Encodes and decodes the headers of a platform; implemented by the platform's adapter."""

    def decode_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes, received_at: float
    ) -> CallerRequest:
        """Decodes a caller's request.

        Args:
            method: HTTP method.
            target: Path and query.
            headers: All headers, names in lower case.
            body: Complete body.
            received_at: Event loop time in seconds at which the request began to arrive.

        Returns:
            The request; fields that cannot be decoded have their default values.
        """
        ...

    def encode_backend_request(self, backend_request: BackendRequest) -> list[tuple[bytes, bytes]]:
        """Builds the headers of a request to a backend server.

        Args:
            backend_request: Request to encode.

        Returns:
            Headers, except those that frame the body.
        """
        ...

    def encode_forwarded_request(
        self, request: CallerRequest, time_left: float
    ) -> list[tuple[bytes, bytes]]:
        """Builds the headers of a request that another instance is to handle.

        Args:
            request: Request as the caller sent it.
            time_left: Seconds for which the caller still waits.

        Returns:
            Headers, except those that frame the body.
        """
        ...

    def decode_response(self, status: int, headers: Headers) -> ResponseHead:
        """Decodes the head of a backend server's response.

        Args:
            status: HTTP status.
            headers: All headers, names in lower case.

        Returns:
            The decoded head.
        """
        ...

    def encode_report_request(
        self, server: BackendServer
    ) -> tuple[bytes, list[tuple[bytes, bytes]]]:
        """Builds the request for an engine's load report.

        Args:
            server: Engine to query.

        Returns:
            Path and headers.
        """
        ...

    def encode_cache_request(
        self, server: BackendServer
    ) -> tuple[bytes, list[tuple[bytes, bytes]]]:
        """Builds the request for the list of prompt parts in an engine's cache.

        Args:
            server: Engine to query.

        Returns:
            Path and headers.
        """
        ...

    def decode_cache(self, body: bytes) -> frozenset[str]:
        """Decodes the list of prompt parts in an engine's cache.

        Args:
            body: Body of the response.

        Returns:
            Ids of the cached prompt parts, empty if the list cannot be decoded.
        """
        ...

    def decode_report(self, body: bytes) -> EngineLoad | None:
        """Decodes an engine's load report.

        Args:
            body: Body of the response.

        Returns:
            The load, or None if the report cannot be decoded.
        """
        ...

    def encode_copy_request(
        self, source: BackendServer, request_id: str, holder: BackendServer
    ) -> tuple[bytes, bytes, list[tuple[bytes, bytes]], bytes]:
        """Builds the request to copy a running generation to another engine.

        Args:
            source: Engine that runs the generation.
            request_id: Id of its request.
            holder: Engine that receives the copy.

        Returns:
            Method, path, headers without those that frame the body, and body.
        """
        ...

    def decode_copy(self, body: bytes) -> str:
        """Decodes the response to a request to copy a generation.

        Args:
            body: Body of the response.

        Returns:
            Id of the copy, empty if the body cannot be decoded.
        """
        ...

    def encode_release_request(
        self, source: BackendServer, handle: str
    ) -> tuple[bytes, bytes, list[tuple[bytes, bytes]], bytes]:
        """Builds the request to give up a copy.

        Args:
            source: Engine that made the copy.
            handle: Id of the copy.

        Returns:
            Method, path, headers without those that frame the body, and body.
        """
        ...

    def refusal_status(self, failure: Failure) -> int:
        """Chooses the HTTP status of an error response that the gateway generates itself.

        Args:
            failure: Failure to report.

        Returns:
            The status.
        """
        ...

    def encode_refusal(
        self, request_id: str, retry_after: float | None
    ) -> list[tuple[bytes, bytes]]:
        """Builds the headers of an error response that the gateway generates itself.

        Args:
            request_id: Id of the caller's attempt, empty if unknown.
            retry_after: Seconds after which the caller may retry, or None.

        Returns:
            Headers, except those that frame the body.
        """
        ...
