"""Names of the instances that followed this one a moment ago."""

from __future__ import annotations

__all__ = ["FollowerNames"]

MOST_FOLLOWERS = 1024
"""Names that are remembered at most."""

LONGEST_NAME = 128
"""Characters of a name that is remembered."""

EXPIRY = 3.0
"""Seconds after a request for which its sender counts as alive; followers poll more than once a
second."""


class FollowerNames:
    """Names of the instances that followed this one a moment ago."""

    def __init__(self) -> None:
        self._heard_at: dict[str, float] = {}

    def on_request(self, now: float, name: str) -> None:
        """Takes in a request.

        Args:
            now: Current time in seconds.
            name: Name of its sender, empty if it does not say; one that is too long counts as
                none.
        """
        if not name or len(name) > LONGEST_NAME:
            return
        if name not in self._heard_at and len(self._heard_at) >= MOST_FOLLOWERS:
            self._expire(now)
        if name in self._heard_at or len(self._heard_at) < MOST_FOLLOWERS:
            self._heard_at[name] = now

    def current(self, now: float) -> frozenset[str]:
        """Lists the followers.

        Args:
            now: Current time in seconds.

        Returns:
            Their names.
        """
        self._expire(now)
        return frozenset(self._heard_at)

    def _expire(self, now: float) -> None:
        """Forgets the instances that have sent nothing for some time."""
        for name in [name for name, at in self._heard_at.items() if now - at > EXPIRY]:
            del self._heard_at[name]
