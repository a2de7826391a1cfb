"""Servers at which a stream may go on."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ContinuationRule"]


@dataclass(frozen=True, slots=True)
class ContinuationRule:
    """Servers at which a stream may go on after its first event was delivered."""

    version: str
    """Software version that began the stream; servers without a version have an empty one."""

    is_withdrawn: bool = False
    """Whether a roll-out has withdrawn the version, so that no server of it may be used."""

    def permits(self, version: str) -> bool:
        """Whether the stream may go on at a server.

        Args:
            version: Software version of the server.

        Returns:
            Whether it may.
        """
        return not self.is_withdrawn and version == self.version
