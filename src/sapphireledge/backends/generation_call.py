"""One attempt of a generation as it is sent to an engine."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

__all__ = ["GenerationCall"]


@dataclass(frozen=True, slots=True)
class GenerationCall:
    """One attempt of a generation as it is sent to an engine."""

    request_id: str
    """Id of the request, the same for all its attempts."""

    attempt: int
    """Number of the attempt, from 1."""

    path: str
    """"/v1/chat/completions" or "/v1/completions"."""

    body: Mapping[str, Any]
    """Request body of the caller; `stream` and `sapphireledge` are replaced."""

    model_version: str
    """Version that must generate."""

    epoch: int = 1
    """Epoch of the owner; attempts are numbered by every owner anew."""

    priority: int = 0
    """Priority at the engine, 0 is the most urgent."""

    offset: int = 0
    """Tokens that are already there."""

    text: str = ""
    """Text of these tokens."""

    traceparent: str = ""
    """W3C trace context header, empty for none."""

    @property
    def owner_id(self) -> str:
        """Common part of the attempt ids of this owner."""
        return f"{self.request_id}.{self.epoch}"

    @property
    def attempt_id(self) -> str:
        """Id of the attempt at the engine."""
        return f"{self.owner_id}.{self.attempt}"
