"""A request as a caller sent it."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CallerRequest"]

Headers = tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class CallerRequest:
    """A whole request; what the platform's headers say is decoded into fields."""

    method: bytes
    """Method."""

    target: bytes
    """Path and query, unchanged."""

    host: str
    """Host without port."""

    headers: Headers
    """Headers to pass on; those of one connection and those the system sets are removed."""

    body: bytes
    """Whole body."""

    arrived: float
    """Time in seconds of the event loop's clock at which the request was complete."""

    request_id: str = ""
    """Id of the caller attempt."""

    key: str = ""
    """API key, empty when none was sent."""

    wait_limit: float | None = None
    """Seconds that the caller waits, None when it did not say."""

    last_event: int | None = None
    """Number of the last event that the caller has, for a stream that continues."""

    prompt_tokens: int = 0
    """Tokens of the prompt, 0 when unknown."""

    affinity: str = ""
    """Identity of the prompt's own part; equal for repetitions of the same request."""

    @property
    def path(self) -> str:
        """Path without query."""
        return self.target.split(b"?", 1)[0].decode("latin-1")
