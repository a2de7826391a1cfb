"""Messages between an instance and those that follow it."""

from __future__ import annotations

from typing import Any

import msgspec

__all__ = ["FeedAnswer", "FeedEntry", "FeedRequest", "KindAnswer"]


class FeedRequest(msgspec.Struct, frozen=True):
    """Question of a follower."""

    revisions: dict[str, int | None]
    """Revision that it knows of each kind, None for nothing."""

    at_once: bool = False
    """Whether to answer without waiting for news; a follower learns so that the relay is sound."""


class FeedEntry(msgspec.Struct, frozen=True, array_like=True):
    """One object, or the removal of one."""

    name: str
    """Name of the object."""

    spec: Any
    """Decoded value of the object."""

    removed: bool
    """Whether the object was removed."""


class KindAnswer(msgspec.Struct, frozen=True):
    """What a follower lacks of one kind."""

    revision: int
    """Revision that is reached with these entries."""

    age: float
    """Seconds since nothing was missing at the relay."""

    whole: bool
    """Whether the entries are the whole listing."""

    entries: list[FeedEntry]
    """Objects and removals."""


class FeedAnswer(msgspec.Struct, frozen=True):
    """Answer of a relay."""

    waited: float
    """Seconds between the arrival of the question and the making of this answer."""

    kinds: dict[str, KindAnswer]
    """Answer for each kind; empty when the relay does not read the store itself now."""
