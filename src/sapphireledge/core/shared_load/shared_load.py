"""Keeps what the other instances of a data centre have seen of the load.

Load pattern: with a hundred instances and more, each one sees a stream every few seconds and a few
plain requests a second. What it knows of workspaces and of its servers from its own callers alone
is chance, while all instances of a data centre together see the load well.
"""

from __future__ import annotations

from copy import copy
from dataclasses import replace
from math import inf
from typing import TYPE_CHECKING

from sapphireledge.core.shared_load._heard_digest import HeardDigest
from sapphireledge.core.shared_load._load_view import LoadView
from sapphireledge.core.shared_load.bound_load import bound_load
from sapphireledge.core.shared_load.load_summary import LoadSummary
from sapphireledge.core.shared_load.merge_loads import merge_loads, subtract_load
from sapphireledge.core.shared_load.merged_load import MergedLoad
from sapphireledge.core.shared_load.trim_load import trim_load

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sapphireledge.core.shared_load.load_digest import LoadDigest
    from sapphireledge.core.shared_load.service_load import ServiceLoad
    from sapphireledge.core.shared_load.shared_load_limits import SharedLoadLimits
    from sapphireledge.core.shared_load.workspace_streams import WorkspaceStreams

__all__ = ["SharedLoad"]


class SharedLoad:
    """What the other instances of a data centre have seen.

    A relay receives the digest of each follower. A follower receives the merged figures of the
    relay and of the other followers. An instance has one role at a time; a change of the role drops
    the figures of the other one, so nothing counts twice.
    """

    def __init__(self, limits: SharedLoadLimits) -> None:
        """Creates the state of an instance that has heard of no other.

        Args:
            limits: Limits.
        """
        self.limits = limits
        """Limits."""

        self._heard: dict[str, HeardDigest] = {}
        self._relayed: tuple[float, MergedLoad] | None = None
        self._view: LoadView | None = None
        self._heard_view: LoadView | None = None
        self._reply_view: LoadView | None = None

    def on_digest(self, now: float, digest: LoadDigest) -> bool:
        """Takes over the digest of a follower.

        Args:
            now: Current time in seconds.
            digest: Digest of the follower.

        Returns:
            Whether it is in use; not if it is older than the last one, or there are too many.
        """
        known = self._heard.get(digest.instance)
        if known is not None and known.digest.incarnation == digest.incarnation:
            if digest.sequence <= known.digest.sequence:
                return False
        elif known is None and len(self._heard) >= self.limits.max_instances:
            self._drop_old(now)
            if len(self._heard) >= self.limits.max_instances:
                return False
        limits = self.limits
        services = trim_load(digest.services, limits.max_services, limits.digest_rows)
        bounded = replace(digest, services=bound_load(services, 1, limits))
        self._heard[digest.instance] = HeardDigest(now, bounded)
        if self._relayed is not None:
            self._relayed = None
            self._view = None
        return True

    def on_relayed(self, now: float, merged: MergedLoad) -> None:
        """Takes over the figures that a relay has merged.

        Args:
            now: Current time in seconds.
            merged: Figures of all instances of the relay other than this one.
        """
        limits = self.limits
        instances = min(merged.instances, limits.max_instances)
        services = trim_load(merged.services, limits.max_services, limits.merged_rows)
        self._heard.clear()
        self._relayed = (now, replace(merged, services=bound_load(services, instances, limits)))
        self._view = self._heard_view = self._reply_view = None

    def copy(self) -> SharedLoad:
        """Copies the figures for questions that change nothing, not even when they are merged.

        Returns:
            The copy.
        """
        copied = copy(self)
        copied._heard = dict(self._heard)
        return copied

    def merge_for(
        self, now: float, instance: str, describe_own: Callable[[float], Mapping[str, ServiceLoad]]
    ) -> MergedLoad:
        """Merges the figures that a follower is sent.

        Args:
            now: Current time in seconds.
            instance: Name of the follower.
            describe_own: Returns the load of this instance by service.

        Returns:
            Figures of this instance and of all followers but that one.
        """
        limits = self.limits
        view = self._reply_view
        if view is None or not self._is_current(now, view):
            view = self._reply_view = self._build_reply_view(now, describe_own(now))
        merged, part = view.merged, view.parts.get(instance)
        age = merged.age + now - view.built_at
        if part is None:
            return replace(merged, age=age)
        part_age = view.built_at - part.received_at
        services = subtract_load(merged.services, part_age, part.digest.services, limits)
        count = merged.instances - 1
        mean = (merged.age * merged.instances - part_age) / max(1, count)
        return MergedLoad(count, max(0.0, mean) + now - view.built_at, services)

    def service(self, now: float, service: str) -> ServiceLoad | None:
        """Returns the load of a service that the others have seen.

        Args:
            now: Current time in seconds.
            service: Name of the service.

        Returns:
            The load, None without fresh figures.
        """
        return self._current(now).services.get(service)

    def streams(self, now: float, service: str) -> Mapping[str, WorkspaceStreams]:
        """Returns the streams of each workspace at the other instances.

        Args:
            now: Current time in seconds.
            service: Name of the service.

        Returns:
            Streams by workspace, empty without fresh figures.
        """
        load = self.service(now, service)
        return {} if load is None else load.streams

    def usage(self, now: float) -> Mapping[str, float]:
        """Sums the usage of each workspace at the other instances.

        Args:
            now: Current time in seconds.

        Returns:
            Decayed tokens by workspace, empty without fresh figures.
        """
        usage: dict[str, float] = {}
        for load in self._current(now).services.values():
            for workspace, part in load.streams.items():
                usage[workspace] = usage.get(workspace, 0.0) + part.tokens
        return usage

    def age(self, now: float) -> float:
        """Returns the mean age of the figures.

        Args:
            now: Current time in seconds.

        Returns:
            Seconds since they were current, infinite without fresh figures.
        """
        merged = self._current(now)
        assert self._view is not None
        return merged.age + now - self._view.built_at if merged.instances else inf

    def summary(self, now: float) -> LoadSummary:
        """Describes the figures to operators.

        Args:
            now: Current time in seconds.

        Returns:
            Their number, age and content.
        """
        merged = self._current(now)
        rejections = sum(load.rejections for load in merged.services.values())
        return LoadSummary(
            merged.instances, self.age(now), bool(self._heard), len(self.usage(now)), rejections
        )

    def _current(self, now: float) -> MergedLoad:
        """Returns the merged figures of the others, built anew from time to time."""
        view = self._view
        if view is None or not self._is_current(now, view):
            view = self._view = self._build_relayed(now) or self._merge_heard(now)
        return view.merged

    def _is_current(self, now: float, view: LoadView) -> bool:
        """Whether merged figures need not be built anew."""
        return 0.0 <= now - view.built_at <= self.limits.merge_interval

    def _build_relayed(self, now: float) -> LoadView | None:
        """Ages the figures of the relay; None if there are no fresh ones."""
        if self._relayed is None:
            return None
        received_at, merged = self._relayed
        age = now - received_at
        if age > self.limits.max_age:
            self._relayed = None
            return None
        services = merge_loads([(age, merged.services)], self.limits)
        return LoadView(now, MergedLoad(merged.instances, merged.age + age, services), {})

    def _merge_heard(self, now: float) -> LoadView:
        """Returns the merged digests of the followers, built anew from time to time."""
        view = self._heard_view
        if view is None or not self._is_current(now, view):
            view = self._heard_view = self._build_heard(now)
        return view

    def _build_heard(self, now: float) -> LoadView:
        """Merges the digests of the followers."""
        self._drop_old(now)
        parts = dict(self._heard)
        ages = [now - part.received_at for part in parts.values()]
        loads = zip(ages, (part.digest.services for part in parts.values()), strict=True)
        limits = self.limits
        services = trim_load(merge_loads(loads, limits), limits.max_services, limits.merged_rows)
        mean = sum(ages) / len(ages) if ages else 0.0
        return LoadView(now, MergedLoad(len(parts), mean, services), parts)

    def _build_reply_view(self, now: float, own: Mapping[str, ServiceLoad]) -> LoadView:
        """Merges the figures of this instance and all followers."""
        limits = self.limits
        view = self._heard_view = self._build_heard(now)
        others = view.merged
        services = merge_loads([(0.0, others.services), (0.0, own)], limits)
        count = others.instances + 1
        age = others.age * others.instances / count
        trimmed = trim_load(services, limits.max_services, limits.merged_rows)
        return LoadView(now, MergedLoad(count, age, trimmed), view.parts)

    def _drop_old(self, now: float) -> None:
        """Drops the digests of followers that have not sent one for too long."""
        oldest = now - self.limits.max_age
        for name in [name for name, part in self._heard.items() if part.received_at < oldest]:
            del self._heard[name]
