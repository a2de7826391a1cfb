"""Messages between a relay and its followers."""

from __future__ import annotations

from typing import Any

import msgspec

from sapphireledge.feed.object_record import ObjectRecord

__all__ = ["FeedEntry", "FeedReply", "FeedRequest", "KindReply"]


class FeedRequest(msgspec.Struct, frozen=True):
    """Request of a follower."""

    revisions: dict[str, int | None]
    """Revision that the follower has reached for each kind, None before its first listing."""

    at_once: bool = False
    """Whether to reply without waiting for updates, so that the follower can check the relay."""

    epoch: int | None = None
    """Epoch of the store to which the revisions belong, None if it is not known yet."""

    follower: str = ""
    """Name of the follower."""

    load: Any = None
    """Load that the follower has seen, encoded by `LoadExchange`; None from older instances."""

    number: int | None = None
    """Number of the request on its connection; None from older instances."""

    newest: dict[str, int] = {}
    """Version of the object in force at the follower, by kind."""


class FeedEntry(msgspec.Struct, frozen=True, array_like=True):
    """One object, or its removal."""

    name: str
    """Name of the object."""

    spec: Any
    """JSON value, already encoded at the relay; not used for a removal."""

    removed: bool
    """Whether the object was removed."""


class KindReply(msgspec.Struct, frozen=True, omit_defaults=True):
    """Entries of one kind that a follower is missing."""

    revision: int
    """Revision reached by applying the entries."""

    age: float
    """Seconds since the objects of the relay were last known to be current."""

    whole: bool
    """Whether the entries are a full listing instead of changes."""

    entries: list[FeedEntry]
    """Objects of the listing, or changed and removed objects."""

    records: list[ObjectRecord | None] | None = None
    """Status and versions of each entry, None for kinds that are read without them."""


class FeedReply(msgspec.Struct, frozen=True):
    """Reply of a relay."""

    waited: float
    """Seconds between receiving the request and building this reply."""

    kinds: dict[str, KindReply]
    """Replies by kind; empty if the relay is not reading the store itself, or is stopping."""

    epoch: int | None = None
    """Epoch of the store to which the revisions belong, None if it is not known yet."""

    load: Any = None
    """Load that other instances have seen, encoded by `LoadExchange`; None from older instances."""

    number: int | None = None
    """Number of the request; None from older instances."""

    newer: dict[str, list[FeedEntry]] = {}
    """Objects in force that are newer than the follower's, from an instance that does not relay."""
