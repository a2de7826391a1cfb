"""A caller's request with the platform's headers decoded."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from sapphireledge.core.placement import PromptPart

__all__ = ["CallerRequest"]

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A complete request; the platform's headers are decoded into fields."""

    method: bytes
    """HTTP method."""

    target: bytes
    """Path and query, unchanged."""

    host: str
    """Host without port."""

    headers: Headers
    """Headers to forward, without hop-by-hop headers and headers that the system sets itself."""

    body: bytes
    """Complete body."""

    received_at: float
    """Event loop time in seconds at which the first bytes of the request were received."""

    request_id: str = ""
    """Id of the caller's attempt, empty if none was sent."""

    key: str = ""
    """API key, empty if none was sent."""

    wait_limit: float | None = None
    """Seconds that the caller waits for the response, None if not specified."""

    last_event: int | None = None
    """Number of the last event that the caller received, if it resumes a stream."""

    resumes: str = ""
    """Id of the caller's attempt that brought the first event of a stream which the caller takes
    up, empty if none was named."""

    prompt_tokens: int = 0
    """Length of the prompt in tokens, 0 if unknown."""

    output_tokens: int = 0
    """Largest number of tokens to generate, 0 if unknown."""

    affinity: str = ""
    """Affinity key for routing, equal for repetitions of the same request. It is the id of the last
    part of the prompt, or the request id if the prompt's parts are unknown."""

    shared_parts: tuple[str, ...] = ()
    """Ids of the parts of the prompt in order, without the last one, which belongs to the request
    or its session; other requests can have the same parts."""

    parts: tuple[PromptPart, ...] = ()
    """All parts of the prompt in order, with their lengths; empty if they are unknown."""

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")
