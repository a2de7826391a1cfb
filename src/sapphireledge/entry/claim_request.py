"""One call of a plain service that runs at most once."""

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
    """One call of a plain service that runs at most once."""

    workspace: str
    """Name of the workspace."""

    service: str
    """Name of the service."""

    idempotency_key: str
    """Value of the header Idempotency-Key."""

    method: str
    """HTTP method."""

    path: str
    """Path at the service, with the query."""

    body: bytes
    """Body."""

    deadline: float
    """Monotonic time by which the caller wants an answer, in seconds."""

    timeout: float
    """Time limit of the run in seconds, as declared for the service."""

    headers: Mapping[str, str] = field(default_factory=dict)
    """Headers that are passed on to the service."""

    def content_hash(self) -> str:
        """Hash that tells another request under the same key.

        Returns:
            The hash in hexadecimal.
        """
        content = msgspec.json.encode((self.method, self.path, self.body))
        return blake2b(content, digest_size=16).hexdigest()
