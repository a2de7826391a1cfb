"""Versions of one service: the one in use, and the one that is being rolled out."""

from __future__ import annotations

from collections import Counter
from copy import copy
from dataclasses import replace
from typing import TYPE_CHECKING

from sapphireledge.core.continuation import ContinuationRule
from sapphireledge.core.rollout import Rollout, RolloutState, VersionInUse
from sapphireledge.gateway.replay_rule import ReplayRule

if TYPE_CHECKING:
    from collections.abc import Collection
    from random import Random

    from sapphireledge.core.rollout import RolloutDecision, RolloutLimits, VersionRule
    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_registry import BackendRegistry
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge.gateway.rollout_attempt import RolloutAttempt
    from sapphireledge.gateway.stored_order import StoredOrder

__all__ = ["ServiceVersions"]

FINAL_STATES = (RolloutState.COMPLETED, RolloutState.ROLLED_BACK)
"""States that end an order."""


class ServiceVersions:
    """Versions of one service, its order and the attempts in flight."""

    def __init__(self, service: str, registry: BackendRegistry) -> None:
        """Creates the state of a service without an order.

        Args:
            service: Name of the service.
            registry: Known backend servers.
        """
        self.stored: StoredOrder | None = None
        """Order of the service, None without one."""

        self.rollout: Rollout | None = None
        """The order while it is running."""

        self.decision: RolloutDecision | None = None
        """Latest evaluation of the running order."""

        self.held_versions: frozenset[str] = frozenset()
        """Versions whose servers take no requests, as neither use nor an order names them."""

        self.attempts: set[RolloutAttempt] = set()
        """Attempts that have not ended."""

        self._final_state: RolloutState | None = None
        self._is_at_target = False
        self._service = service
        self._registry = registry
        self._in_use = VersionInUse()

    def copy_for(self, registry: BackendRegistry) -> ServiceVersions:
        """Copies what `choose` changes.

        Args:
            registry: Copy of the known backend servers.

        Returns:
            The versions, for choices that are not carried out.
        """
        copied = copy(self)
        copied._registry = registry
        if self.rollout is not None:
            copied.rollout = self.rollout.copy_for_choice()
        return copied

    @property
    def target(self) -> str | None:
        """Target of the running order, None without one."""
        return None if self.rollout is None else self.rollout.order.target

    @property
    def version_in_use(self) -> str | None:
        """Version that takes requests beside the target, None while it is not known."""
        return self._in_use.version

    @property
    def has_choice(self) -> bool:
        """Whether the running order names another version than that in use, and there were servers
        of another one."""
        return not self._is_at_target and self._in_use.version != self.target

    @property
    def wanted_state(self) -> RolloutState | None:
        """State that the status of the order should have, None if it has it.

        A store that comes back from an older copy may have lost a final one.
        """
        if self.stored is None or self.stored.state in FINAL_STATES:
            return None
        if self._final_state is not None:
            return self._final_state
        if self.decision is not None and self.decision.proposed is not None:
            return self.decision.proposed
        return RolloutState.RUNNING if self.stored.state is None else None

    def on_order(
        self, now: float, stored: StoredOrder, limits: RolloutLimits, instance: str, rng: Random
    ) -> Rollout | None:
        """Takes in an order, or another status of the known one.

        Args:
            now: Event loop time in seconds.
            stored: The order.
            limits: Limits of roll-outs.
            instance: Name of this instance.
            rng: Source of choices.

        Returns:
            The roll-out, if a new one begins.
        """
        order = stored.order
        previous = self.stored
        is_known = previous is not None and previous.order.order_id == order.order_id
        # While an order names a version, it does not come into use by the number of its servers.
        is_proved = previous is not None and previous.order.target == order.target
        self.stored = stored
        begun = None
        if not is_known:
            self._final_state = None
            is_in_use = self._in_use.version == order.target and not is_proved
            if stored.state is not RolloutState.COMPLETED and is_in_use:
                # Its servers were listed before the order.
                self._in_use = VersionInUse()
        if stored.completed_before:
            self._in_use.on_completed(order.target)
        if stored.state in FINAL_STATES:
            self._final_state = stored.state
            self.rollout = self.decision = None
            if stored.state is RolloutState.COMPLETED:
                self._in_use.on_completed(order.target)
        elif not is_known:
            begun = Rollout(limits, order, instance, now, rng)
            self._begin(now, begun)
        self.on_servers(now)
        return begun

    def on_order_removed(self, now: float) -> None:
        """Takes in that there is no order any more; a running one is given up.

        Args:
            now: Event loop time in seconds.
        """
        self.stored = self.rollout = self.decision = self._final_state = None
        self.on_servers(now)

    def on_store_restored(self) -> None:
        """Takes in that revisions are given out again."""
        if self.stored is not None:
            self.stored = replace(self.stored, revision=0)

    def on_servers(self, now: float) -> None:
        """Takes in the servers that are known.

        Args:
            now: Event loop time in seconds.
        """
        versions: Counter[str] = Counter()
        for server in self._registry.list_servers(self._service):
            if server.version and not server.draining:
                versions[server.version] += 1
        self._in_use.on_servers(now, versions, self._unproved_target)
        if any(version != self.target for version in versions):
            self._is_at_target = False
        self.held_versions = frozenset(
            version for version in versions if not self._in_use.permits(version, self.target)
        )

    def choose(
        self, now: float, admitted: AdmittedRequest, *, is_retry: bool
    ) -> VersionRule | None:
        """Chooses the versions that an attempt of a request may use, if it is sent at once.

        Args:
            now: Event loop time in seconds.
            admitted: The request.
            is_retry: Whether the request was sent to a server before.

        Returns:
            The rule, None if no order is running or there was only its target when it began.
        """
        if self.rollout is None or not self.has_choice:
            return None
        return self.rollout.choose(
            now,
            may_repeat=admitted.route.repeatable,
            is_stream=admitted.route.replay is ReplayRule.EVENT_STREAM,
            is_retry=is_retry,
        )

    def continuation(self, now: float, version: str) -> ContinuationRule:
        """Determines at which servers a stream may go on.

        A stream that has begun is finished at its version, also if that is no longer in use. Only
        the target of an order is withdrawn while it may not be given requests.

        Args:
            now: Current time in seconds.
            version: Version that began the stream.

        Returns:
            The rule.
        """
        if self.rollout is not None and self.has_choice:
            is_target = version == self.target
            is_withdrawn = is_target and not self.rollout.still_permits(now, version)
        else:
            is_rolled_back = self._final_state is RolloutState.ROLLED_BACK
            is_withdrawn = is_rolled_back and self._unproved_target == version
        return ContinuationRule(version, is_withdrawn)

    def may_send(self, now: float, server: BackendServer) -> bool:
        """Whether an attempt that chose a server a moment ago may still be sent.

        Args:
            now: Event loop time in seconds.
            server: The server.

        Returns:
            Whether it may.
        """
        if not self.permits(server, None):
            return False
        if self.rollout is None or not self.has_choice:
            return True
        return self.rollout.still_permits(now, server.version)

    def excluded(self, rule: VersionRule | None, *, preferred: bool = False) -> frozenset[str]:
        """Lists the servers that an attempt may not use.

        Args:
            rule: Rule of the running order, None without one.
            preferred: Whether servers that the rule does not prefer are listed, too.

        Returns:
            Ids of the servers.
        """
        return frozenset(
            server.server_id
            for server in self._registry.list_servers(self._service)
            if not self.permits(server, rule) or (preferred and rule and not _prefers(server, rule))
        )

    def excluded_for_streams(self, now: float) -> frozenset[str]:
        """Lists the servers that a new stream may not use, whatever it prefers.

        Args:
            now: Event loop time in seconds.

        Returns:
            Ids of the servers.
        """
        if self.rollout is None or not self.has_choice:
            return self.excluded(None)
        rule = self.rollout.choose(now, may_repeat=True, is_stream=True, is_retry=False)
        return self.excluded(rule)

    def movable_attempts(self) -> Collection[RolloutAttempt]:
        """Lists the attempts at servers of the old version that may begin elsewhere.

        Returns:
            The attempts.
        """
        return [
            attempt
            for attempt in self.attempts
            if attempt.move is not None and attempt.server.version != self.target
        ]

    @property
    def _unproved_target(self) -> str | None:
        """Version that does not become the one in use by the number of its servers."""
        if self.stored is None or self.stored.state is RolloutState.COMPLETED:
            return None
        return self.stored.order.target

    def _begin(self, now: float, rollout: Rollout) -> None:
        """Begins an order; attempts in flight count for it."""
        self.rollout, self.decision = rollout, None
        servers = list(self._registry.list_servers(self._service))
        self._is_at_target = bool(servers) and all(
            server.version == rollout.order.target for server in servers
        )
        for attempt in self.attempts:
            attempt.is_retry = True
            rollout.on_sent(now, attempt.route, attempt.server.version, is_retry=True)

    def permits(self, server: BackendServer, rule: VersionRule | None) -> bool:
        """Whether an attempt may use a server; an unknown version counts as the one in use.

        Args:
            server: The server.
            rule: Rule of the running order, None without one.

        Returns:
            Whether it may.
        """
        if server.version and not self._in_use.permits(server.version, self.target):
            return False
        return rule is None or rule.permits(server.version)


def _prefers(server: BackendServer, rule: VersionRule) -> bool:
    """Whether a rule prefers a server to others."""
    return rule.prefers(server.version)
