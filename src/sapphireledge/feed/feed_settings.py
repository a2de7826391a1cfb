"""Settings of the feed and of the object kinds that it watches."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["FeedSettings", "KindSettings"]


@dataclass(frozen=True, slots=True)
class KindSettings:
    """How one kind is watched; times are in seconds."""

    kind: str
    """Name of the kind in the store."""

    watch_wait: float
    """Time for which the store holds open a watch without changes."""

    batch_delay: float
    """Delay after changes, so that the next call returns several at once; every call is charged."""

    confirms: bool = True
    """Whether requests depend on the age of the objects. Only then are changes confirmed by a short
    watch, and the store is called during an outage; other kinds wait until such a call succeeds."""

    can_start_late: bool = False
    """Whether a new instance that others precede can wait for the objects until it has a relay."""

    quiet_wait: float | None = None
    """Time for which the store holds open a watch without changes while none are expected; 0 to
    make no call in the meantime, None to watch in the same way all the time."""

    has_records: bool = False
    """Whether status and versions of the objects are read, too."""


@dataclass(frozen=True, slots=True)
class FeedSettings:
    """Network and timing settings of the feed; times are in seconds.

    A backup is an instance that is preceded by others; see `FeedRunner`. A backup preceded by at
    least `LOW_PRECEDENCE_THRESHOLD` others has low precedence.
    """

    kinds: tuple[KindSettings, ...]
    """Object kinds to keep up to date."""

    host: str
    """IP address on which followers connect."""

    port: int
    """TCP port on which followers connect."""

    confirm_wait: float = 0.5
    """Time for which the store holds open the first watch after changes."""

    initial_wait: float = 0.05
    """Time for which the store holds open the first watch after a start or a failure."""

    start_wait: float = 0.15
    """Longest time for which a new instance waits for the directory, and again for a relay, before
    it reads the store itself; a store and a relay that are well reply within milliseconds."""

    first_start_wait: float = 0.0
    """Time after the first start of the whole system for which an instance waits for the others to
    announce themselves, before it reads the store or searches for a relay; 0 at any other start."""

    start_pause: float = 1.5
    """Time between the first listing of a new instance and its first watch. Instances that start
    together have found their relays by then, and only the relays watch the store."""

    passive_retry_interval: float = 6.0
    """Maximum retry delay for a kind whose calls wait until the store answers those of others."""

    max_relayed_age: float = 2.2
    """Age of objects from a relay, for kinds that `confirms`, from which this instance reads the
    store itself. A relay confirms them every 1.5 s, a new one 1.6 s after its first listing; a
    configuration must be in force within 3 s."""

    freshness_spread: float = 0.3
    """Longest random delay of such a call, as all followers of a relay make it."""

    retry_base: float = 0.1
    """First retry delay after a failed call."""

    retry_cap: float = 0.6
    """Maximum retry delay; API keys remain valid for 3.8 s without a confirmation."""

    takeover_delay: float = 0.25
    """Delay after the loss of a relay during which the next instance starts to read the store: one
    call and a retransmission."""

    low_precedence_takeover_delay: float = 0.8
    """Longest delay for an instance of low precedence, which follows the next instance as soon as
    that one reads the store. Keys last confirmed 1.4 s before the loss are then within their limit
    of 3.8 s."""

    successor_interval: float = 0.1
    """Longest time between two attempts of such an instance to follow the next one."""

    backup_retry_base: float = 1.0
    """First retry delay of a backup."""

    backup_retry_cap: float = 3.0
    """Maximum retry delay of a backup. During an outage of the whole store, the preceding instances
    retry more often, and the backup follows them as soon as they succeed."""

    low_precedence_retry_base: float = 2.5
    """First retry delay of an instance of low precedence."""

    low_precedence_retry_cap: float = 3.0
    """Maximum retry delay of an instance of low precedence, which reads the store itself while the
    preceding instances cannot. With a call that is lost, it stays below the 4 s after which an
    instance that reaches the store again must be up to date."""

    backup_recheck_interval: float = 0.5
    """Interval at which a backup searches for a relay while its own calls fail."""

    long_poll_timeout: float = 0.7
    """Maximum time for which a relay holds a follower's request while there are no updates."""

    reply_timeout: float = 1.0
    """Timeout for the reply of a relay: `long_poll_timeout` and a retransmission."""

    first_reply_timeout: float = 0.4
    """Timeout for the first reply of a relay, which sends it at once."""

    search_limit: float = 1.0
    """Time after the loss of a relay, or the first failed attempt, for which another one is
    searched before this instance reads the store itself. With the detection of the loss, it stays
    below the 3 s within which a configuration must be in force."""

    connect_timeout: float = 0.3
    """Timeout for connecting to a relay in the same data centre."""

    relay_cooldown: float = 4.0
    """Time for which a failed relay is not tried again."""

    recheck_interval: float = 4.0
    """Interval at which an instance that reads the store itself searches for a relay."""

    directory_interval: float = 15.0
    """Interval between reads of the directory of instances."""
