"""Merging of the heartbeats of all peers."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

from sapphireledge.core.membership.clearing_notice import ClearingNotice
from sapphireledge.core.membership.merge_result import MergeResult
from sapphireledge.core.membership.peer_status import PeerStatus

if TYPE_CHECKING:
    from collections.abc import Hashable, Iterable

    from sapphireledge.core.membership.death_notice import DeathNotice
    from sapphireledge.core.membership.heartbeat_report import HeartbeatReport

__all__ = ["HeartbeatMerger"]

Notice = TypeVar("Notice", "DeathNotice", "ClearingNotice")
"""Notice of a death or of a clearing."""

MAX_NOTICES = 4_096
"""Notices kept to detect duplicates; the oldest are evicted first."""


class HeartbeatMerger:
    """Keeps the newest heartbeat of each peer; tolerates loss, duplication and reordering.

    A heartbeat older than the newest one of its incarnation is dropped: its sender receives no
    acknowledgement for it and so sends its changes again. A newer incarnation replaces an older
    one. If the clock of a restarted host was set back, its new incarnation sorts before the old
    one; it is accepted once the old one has been silent for `dead_after` seconds.
    """

    def __init__(self, dead_after: float) -> None:
        """Creates a merger without any heartbeats.

        Args:
            dead_after: Seconds of silence after which any other incarnation replaces a known one.
        """
        self._dead_after = dead_after
        self._statuses: dict[str, PeerStatus] = {}
        self._last_received: dict[str, float] = {}
        self._seen_notices: dict[Hashable, None] = {}
        self._leaving: dict[str, set[str]] = {}

    @property
    def statuses(self) -> tuple[PeerStatus, ...]:
        """Latest status reported by each peer."""
        return tuple(self._statuses.values())

    def status(self, instance: str) -> PeerStatus | None:
        """Returns the latest status of a peer, or None if it sent no heartbeat."""
        return self._statuses.get(instance)

    def leaving(self, instance: str) -> frozenset[str]:
        """Returns the leaving backend servers in the latest heartbeat of a peer."""
        return frozenset(self._leaving.get(instance, ()))

    def merge(self, now: float, report: HeartbeatReport) -> MergeResult:
        """Merges one heartbeat.

        Args:
            now: Time of arrival in seconds.
            report: The heartbeat.

        Returns:
            The changes that the heartbeat brought.
        """
        known = self._statuses.get(report.instance)
        restarted = known is None or known.incarnation != report.incarnation
        if known is not None and restarted and not self._may_replace(now, known, report):
            return MergeResult(accepted=False)
        if known is not None and not restarted and report.sequence <= known.sequence:
            return MergeResult(accepted=False)
        if restarted:
            self._leaving.pop(report.instance, None)
        self._last_received[report.instance] = now
        self._statuses[report.instance] = _to_status(report)
        return MergeResult(
            accepted=True,
            restarted=restarted and known is not None,
            usage=report.usage,
            deaths=self._new_notices(report.deaths),
            cleared=self._new_notices(report.cleared),
            leaving=self._new_leaving(report),
        )

    def remove_peer(self, instance: str) -> None:
        """Removes the state of a peer that is no longer a member."""
        self._statuses.pop(instance, None)
        self._last_received.pop(instance, None)
        self._leaving.pop(instance, None)

    def _may_replace(self, now: float, known: PeerStatus, report: HeartbeatReport) -> bool:
        """Whether another incarnation may replace the known one."""
        silent = now - self._last_received[known.instance] >= self._dead_after
        return silent or report.incarnation > known.incarnation

    def _new_notices(self, notices: Iterable[Notice]) -> tuple[Notice, ...]:
        """Returns the notices that no peer has sent before, and records them as seen."""
        new = []
        for notice in notices:
            key = _notice_key(notice)
            if key not in self._seen_notices:
                self._seen_notices[key] = None
                new.append(notice)
        while len(self._seen_notices) > MAX_NOTICES:
            del self._seen_notices[next(iter(self._seen_notices))]
        return tuple(new)

    def _new_leaving(self, report: HeartbeatReport) -> tuple[str, ...]:
        """Returns the leaving backend servers that the peer has newly reported."""
        known = self._leaving.get(report.instance, set())
        self._leaving[report.instance] = set(report.leaving)
        return tuple(name for name in report.leaving if name not in known)


def _notice_key(notice: DeathNotice | ClearingNotice) -> Hashable:
    """Returns a key that is equal for notices with the same content.

    Peers detect a death at different times but report the same incarnation, so the time counts only
    if the incarnation is not known. Each peer reports its own requests as suspects, so a death with
    different suspects is a different notice.
    """
    if isinstance(notice, ClearingNotice):
        return notice
    time_unix = 0.0 if notice.boot_id else notice.time_unix
    incarnation = (notice.backend, notice.boot_id, time_unix)
    return (incarnation, notice.suspects, notice.isolated, notice.begun)


def _to_status(report: HeartbeatReport) -> PeerStatus:
    """Extracts the status of the sender from a heartbeat."""
    return PeerStatus(
        instance=report.instance,
        incarnation=report.incarnation,
        sequence=report.sequence,
        state=report.state,
        config_version=report.config_version,
        highest_version=report.highest_version,
        running=report.running,
        queued=report.queued,
        platform_reachable=report.platform_reachable,
    )
