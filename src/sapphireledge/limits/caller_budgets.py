"""Memory and connections that callers may take of a process."""

from __future__ import annotations

from dataclasses import dataclass

from sapphireledge.limits.ledger_limits import CONNECTION_BYTES, LedgerLimits
from sapphireledge.limits.response_budget import MAX_RESPONSE_BYTES

__all__ = ["CallerBudgets"]

OWN_SOCKETS = 32
"""Sockets kept free for the store, the relay that this instance follows, listeners and pipes."""

MAX_PEERS = 2_048
"""Largest number of connections to the peer interface."""

FOLLOWER_BYTES = 262_144
"""Memory of the machine in bytes for each follower that may be connected."""


@dataclass(frozen=True, slots=True)
class CallerBudgets:
    """Shares of a machine's memory and sockets; the defaults fit a small machine.

    An instance needs about 40 MB for itself on a machine of 128 MB. Of the whole, callers get three
    sixteenths, responses of backend servers an eighth and replies to followers a sixteenth. The
    rest is left for what a request needs while it is parsed, forwarded and logged.
    """

    memory_bytes: int = 134_217_728
    """Memory of the machine in bytes."""

    sockets: int = 1_335
    """Sockets that the process may have open, including listeners and pipes."""

    stall_time: float = 2.0
    """Seconds in which a caller that is waited for must send or read `least_progress` bytes, or
    complete a head, a request or an answer. It is enforced only while memory is short."""

    least_progress: int = 4_096
    """Bytes in `stall_time`, 2 KiB/s: half of what a modem of the slowest mobile network moves."""

    @property
    def response_bytes(self) -> int:
        """Memory in bytes for responses that are read or delivered."""
        return min(MAX_RESPONSE_BYTES, self.memory_bytes // 8)

    @property
    def callers(self) -> LedgerLimits:
        """Limits of callers' connections."""
        total = self.memory_bytes * 3 // 16
        followers = self.followers.connections
        endpoints = self.readiness.connections + self.metrics.connections
        # A request that is served needs a connection to a backend server.
        sockets = self.sockets * 3 // 4 - OWN_SOCKETS - followers - endpoints
        return LedgerLimits(
            connections=max(1, min(sockets, total // CONNECTION_BYTES)),
            total_bytes=total,
            large_bytes=total * 2 // 3,
            stall_time=self.stall_time,
            least_progress=self.least_progress,
        )

    @property
    def readiness(self) -> LedgerLimits:
        """Limits of the readiness endpoint's connections; nobody else can take them."""
        return self._endpoint(min(64, max(8, self.sockets // 16)))

    @property
    def metrics(self) -> LedgerLimits:
        """Limits of the metrics endpoint's connections."""
        return self._endpoint(min(16, max(4, self.sockets // 64)))

    @property
    def followers(self) -> LedgerLimits:
        """Limits of the connections of instances that follow this one."""
        by_memory = self.memory_bytes // FOLLOWER_BYTES
        connections = max(16, min(512, self.sockets // 8, by_memory))
        replies = self.memory_bytes // 16
        return LedgerLimits(
            connections=connections,
            total_bytes=connections * CONNECTION_BYTES + replies,
            large_bytes=replies,
            stall_time=self.stall_time,
            least_progress=self.least_progress,
        )

    @property
    def peers(self) -> LedgerLimits:
        """Limits of the connections of other instances to the peer interface."""
        by_memory = self.memory_bytes // 16 // CONNECTION_BYTES
        return self._thrift(max(16, min(MAX_PEERS, self.sockets // 4, by_memory)))

    @property
    def operators(self) -> LedgerLimits:
        """Limits of the connections of operators."""
        return self._thrift(self.readiness.connections)

    @property
    def strangers(self) -> LedgerLimits:
        """Limits of the connections to one Thrift interface that have not authenticated."""
        return self._endpoint(self.readiness.connections)

    @property
    def joining_peers(self) -> LedgerLimits:
        """Limits of connections to the peer interface that have not authenticated.

        All instances of a fleet connect at once to one that has started.
        """
        return self._endpoint(max(self.readiness.connections, self.peers.connections // 2))

    def _thrift(self, connections: int) -> LedgerLimits:
        """Builds the limits of authenticated connections, which may hold the largest message."""
        messages = self.memory_bytes // 16
        return LedgerLimits(
            connections=connections,
            total_bytes=connections * CONNECTION_BYTES + messages,
            large_bytes=messages,
            stall_time=self.stall_time,
            least_progress=self.least_progress,
        )

    def _endpoint(self, connections: int) -> LedgerLimits:
        """Builds the limits of an endpoint whose connections hold only their fixed part."""
        return LedgerLimits(
            connections=connections,
            total_bytes=connections * CONNECTION_BYTES,
            large_bytes=0,
            stall_time=self.stall_time,
            least_progress=self.least_progress,
        )
