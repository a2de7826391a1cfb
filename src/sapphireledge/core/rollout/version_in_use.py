"""Which servers of a service take requests while no roll-out names their version."""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["VersionInUse"]


class VersionInUse:
    """Version of a service that takes requests, apart from the target of a running roll-out."""

    def __init__(self, version: str | None = None) -> None:
        """Creates the rule.

        Args:
            version: Version in use, None if it is not known yet.
        """
        self.version = version

    def on_servers(self, now: float, servers: Mapping[str, int], target: str | None) -> bool:
        """Takes in the servers that are known.

        Args:
            now: Current time in seconds.
            servers: Servers that are not draining, by version.
            target: Target of the running roll-out, None without one.

        Returns:
            Whether the version in use changed.
        """
        if self.version is not None and servers.get(self.version):
            return False
        found = [version for version in servers if servers[version] and version != target]
        if not found:
            return False
        previous = self.version
        self.version = max(found, key=lambda version: (servers[version], version))
        return self.version != previous

    def on_completed(self, target: str) -> None:
        """Takes in that a roll-out was completed.

        Args:
            target: Its target.
        """
        self.version = target

    def permits(self, version: str, target: str | None) -> bool:
        """Whether a server may be given requests at all.

        Args:
            version: Version of the server.
            target: Target of the running roll-out, None without one.

        Returns:
            Whether it may; which requests go to a target is decided by `Rollout`.
        """
        return self.version is None or version in (self.version, target)
