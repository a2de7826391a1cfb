"""Versions that an attempt may use."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["VersionChoice", "VersionRule"]


class VersionChoice(StrEnum):
    """Versions that an attempt may use, and the one that it uses if it can."""

    OLD_ONLY = "old_only"
    NEW_ONLY = "new_only"
    OLD_FIRST = "old_first"
    """The old version if one of its servers can take the attempt at once, or else the new one."""

    NEW_FIRST = "new_first"
    """The new version if one of its servers can take the attempt at once, or else the old one."""


@dataclass(frozen=True, slots=True)
class VersionRule:
    """Versions that one attempt may use.

    It holds for an attempt that is sent at once; after a wait, a new one is chosen. Servers that
    `VersionInUse` does not permit are left out beforehand.
    """

    target: str
    """Version that is being rolled out."""

    choice: VersionChoice
    """Which versions are permitted."""

    def permits(self, version: str) -> bool:
        """Whether the attempt may use a server.

        Args:
            version: Version of the server.

        Returns:
            Whether it is permitted.
        """
        if self.choice is VersionChoice.OLD_ONLY:
            return version != self.target
        if self.choice is VersionChoice.NEW_ONLY:
            return version == self.target
        return True

    def prefers(self, version: str) -> bool:
        """Whether a server is to be used before others if it can take the attempt at once.

        Args:
            version: Version of the server.

        Returns:
            Whether it is preferred; if no version is, servers are chosen as without a roll-out.
        """
        if self.choice is VersionChoice.NEW_FIRST:
            return version == self.target
        return self.choice is VersionChoice.OLD_FIRST and version != self.target
