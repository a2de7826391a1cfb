"""Address on which an interface of the instance listens."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["Address"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class Address:
    """Address on which an interface of the instance listens."""

    host: str = "127.0.0.1"
    """IP address to bind."""

    port: int = setting(..., ge=0, le=65_535)
    """TCP port; 0 lets the operating system choose one."""
