"""Counts of one instance in a roll-out."""

from __future__ import annotations

from sapphireledge.core.rollout.answer_quality import AnswerQuality
from sapphireledge.core.rollout.time_reference import TimeReference
from sapphireledge.core.rollout.version_counts import VersionCounts

__all__ = ["OwnCounts"]

MAX_BAD_SERVERS = 12
"""Servers named in a report; a version is held to be bad after far fewer bad answers than would
fill the report."""


class OwnCounts:
    """Counts of one instance in a roll-out, by route and version."""

    def __init__(self) -> None:
        self.requests = 0
        """Requests sent, retries not counted."""

        self.old_in_flight = 0
        """Attempts at servers of the old version that have not ended."""

        self.new_sent = 0
        """Attempts sent to servers of the new version."""

        self.new_bad = 0
        """Bad answers of the new version."""

        self.bad_servers: dict[str, int] = {}
        """Bad answers of the new version by server."""

        self._new_servers: set[str] = set()
        self._counts: tuple[dict[str, list[float]], dict[str, list[float]]] = ({}, {})
        self._references: dict[str, TimeReference] = {}

    @property
    def new_servers(self) -> int:
        """Servers of the new version that answered."""
        return len(self._new_servers)

    def reference(self, route: str) -> float | None:
        """Usual time of the old version.

        Args:
            route: Route.

        Returns:
            The median in seconds, None while too few answers are known.
        """
        reference = self._references.get(route)
        return None if reference is None else reference.median()

    def count_sent(self, route: str, is_new: bool, is_retry: bool) -> None:
        """Counts an attempt that is sent.

        Args:
            route: Route.
            is_new: Whether it goes to the new version.
            is_retry: Whether the request was sent before.
        """
        self._of(route, is_new)[0] += 1
        self.requests += not is_retry
        self.new_sent += is_new
        self.old_in_flight += not is_new

    def count_result(
        self,
        route: str,
        is_new: bool,
        result: AnswerQuality,
        seconds: float | None,
        is_slow: bool,
        server: str,
    ) -> None:
        """Counts what an attempt says about its server.

        Args:
            route: Route.
            is_new: Whether the new version ran it.
            result: What the end says about the server.
            seconds: Compared time of a complete answer, None without one.
            is_slow: Whether a complete answer was slow.
            server: Name of the server, empty if it is not known.
        """
        if result is AnswerQuality.UNKNOWN:
            return
        counts = self._of(route, is_new)
        is_failed = result is AnswerQuality.FAILED
        counts[1] += not is_failed
        counts[2] += is_failed
        counts[3] += is_slow and not is_failed
        if not is_failed and seconds is not None:
            counts[4] += seconds
            counts[5] += 1
            if not is_new:
                self._references.setdefault(route, TimeReference()).add(seconds)
        if is_new:
            self._count_server(server, is_failed or is_slow)

    def end_attempt(self, is_new: bool) -> None:
        """Counts an attempt out.

        Args:
            is_new: Whether it went to the new version.
        """
        self.old_in_flight -= not is_new

    def withdraw(self, route: str, is_new: bool, is_retry: bool) -> None:
        """Takes back an attempt that was counted and not sent.

        Args:
            route: Route.
            is_new: Whether it was to go to the new version.
            is_retry: Whether the request was sent before.
        """
        self._of(route, is_new)[0] -= 1
        self.requests -= not is_retry
        self.new_sent -= is_new
        self.old_in_flight -= not is_new

    def versions(self, is_new: bool) -> dict[str, VersionCounts]:
        """Returns the counts of a version.

        Args:
            is_new: Whether of the new version.

        Returns:
            The counts by route.
        """
        return {
            route: VersionCounts(
                int(c[0]), int(c[1]), int(c[2]), int(c[3]), round(c[4], 3), int(c[5])
            )
            for route, c in self._counts[is_new].items()
        }

    def _of(self, route: str, is_new: bool) -> list[float]:
        """Counters of a route and version, in the order of `VersionCounts`."""
        return self._counts[is_new].setdefault(route, [0, 0, 0, 0, 0.0, 0])

    def _count_server(self, server: str, is_bad: bool) -> None:
        """Counts an answer of a server of the new version."""
        if server:
            self._new_servers.add(server)
        self.new_bad += is_bad
        is_listed = server in self.bad_servers or len(self.bad_servers) < MAX_BAD_SERVERS
        if server and is_bad and is_listed:
            self.bad_servers[server] = self.bad_servers.get(server, 0) + 1
