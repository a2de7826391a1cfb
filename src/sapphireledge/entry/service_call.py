"""A request to a plain service."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from hashlib import blake2b

import msgspec

from sapphireledge.core.quarantine import RequestContent

__all__ = ["ServiceCall"]


DIGEST_BYTES = 16
"""Length of the fingerprint in bytes; 128 bits make an accidental match negligible."""


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """A request to a plain service, independent of the backend server that handles it."""

    service: str
    """Name of the service."""

    method: str
    """HTTP method."""

    path: str
    """Path including the query."""

    body: bytes
    """Request body."""

    timeout: float
    """Timeout in seconds of one attempt."""

    workspace: str = ""
    """Name of the workspace."""

    call_id: str = ""
    """Id of the call; equal for its attempts."""

    headers: Mapping[str, str] = field(default_factory=dict)
    """Header fields to send."""

    @property
    def content(self) -> RequestContent:
        """What deaths of backend servers are attributed to."""
        values = (self.service, self.workspace, self.method, self.path, self.body)
        digest = blake2b(msgspec.json.encode(values), digest_size=DIGEST_BYTES)
        scope = f"{self.service}/{self.workspace}"
        return RequestContent(digest.hexdigest(), (), self.service, scope)
