"""Settings of the feed."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["FeedSettings", "KindSettings"]


@dataclass(frozen=True, slots=True)
class KindSettings:
    """How one kind is watched; times are in seconds."""

    kind: str
    """Name of the kind."""

    watch_wait: float
    """Time that the store holds a watch."""

    batch_delay: float
    """Pause after changes, so that the next call collects several; each call is charged."""


@dataclass(frozen=True, slots=True)
class FeedSettings:
    """Times that the feed keeps, in seconds."""

    kinds: tuple[KindSettings, ...]
    """Kinds that are followed."""

    host: str
    """IP address of this instance."""

    port: int
    """Port for instances that follow this one."""

    confirm_wait: float = 0.5
    """Time that the store holds the first watch after changes."""

    initial_wait: float = 0.05
    """Time that the store holds the first watch after a start or a failure."""

    retry_base: float = 0.1
    """First pause after a failed call."""

    retry_cap: float = 0.6
    """Longest pause after failed calls; keys are trusted for 3.8 s without a confirmation."""

    takeover_delay: float = 0.25
    """Time after the loss of a relay in which the next instance begins to read the store: one call
    and a retransmission."""

    low_precedence_takeover_delay: float = 0.8
    """The same for an instance that has several others before it; one of them reads the store by
    then, and the keys of 1.4 s before the loss stay within the trust of 3.8 s."""

    backup_retry_base: float = 1.0
    """First pause after a failed call of an instance that has others before it."""

    backup_retry_cap: float = 3.0
    """Longest pause after failed calls of an instance that has others before it. In an outage of
    the whole store those before it try more often, and it follows them as soon as they succeed."""

    low_precedence_retry_base: float = 2.5
    """First pause after a failed call of an instance that has several others before it."""

    low_precedence_retry_cap: float = 6.0
    """Longest pause after failed calls of such an instance. It reads the store only when the
    store turns those before it away and serves itself."""

    backup_recheck_interval: float = 0.5
    """Time after which such an instance looks for a relay again while its own calls fail."""

    long_poll_timeout: float = 0.7
    """Longest time between two answers to a follower."""

    answer_timeout: float = 1.0
    """Silence after which a follower leaves its relay: `answer_period` and a retransmission."""

    connect_timeout: float = 0.3
    """Time to connect to a relay in the same data centre."""

    relay_cooldown: float = 4.0
    """Time for which a relay that failed is not asked again."""

    recheck_interval: float = 4.0
    """Time after which an instance that reads the store itself looks for a relay again."""

    directory_interval: float = 15.0
    """Time between two readings of the list of instances."""
