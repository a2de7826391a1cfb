"""Declaration of a workspace."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["Workspace"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class Workspace:
    """A workspace, with the tokens and permissions of its callers."""

    name: str = setting(..., min_length=1)
    """Name used in the X-Workspace header."""

    weight: float = setting(1.0, ge=0.001, le=1000)
    """Weight in fair sharing between the workspaces of a rank."""

    ranks: tuple[str, ...] = ()
    """Ranks that the workspace may use; empty allows all."""

    token_hashes: tuple[str, ...] = ()
    """SHA-256 of each accepted bearer token, in hexadecimal."""
