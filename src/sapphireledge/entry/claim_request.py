"""A call to a plain service that must run at most once."""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["ClaimRequest"]


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A call to a plain service that must run at most once."""

    workspace: str
    """Name of the workspace."""

    service: str
    """Name of the service."""

    idempotency_key: str
    """Value of the `Idempotency-Key` header."""

    method: str
    """HTTP method."""

    path: str
    """Path at the service, including the query."""

    body: bytes
    """Request body."""

    deadline: float
    """Caller's deadline, as monotonic time in seconds."""

    timeout: float
    """Timeout of the run in seconds, as declared for the service."""

    headers: Mapping[str, str] = field(default_factory=dict)
    """Headers that are forwarded to the service."""

    def content_hash(self) -> str:
        """Hashes the request, to detect reuse of the key for a different request.

        Returns:
            The hash in hexadecimal.
        """
        content = msgspec.json.encode((self.method, self.path, self.body))
        return blake2b(content, digest_size=16).hexdigest()
