"""Selects the servers that attempts may use by their versions."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.core.continuation import ContinuationRule
from sapphireledge.gateway.service_versions import ServiceVersions

if TYPE_CHECKING:
    from collections.abc import Collection

    from sapphireledge.gateway.admitted_request import AdmittedRequest
    from sapphireledge.gateway.backend_registry import BackendRegistry
    from sapphireledge.gateway.backend_server import BackendServer

__all__ = ["VersionSelection"]


class VersionSelection:
    """Selects the servers that attempts may use by the versions of their services."""

    def __init__(self, registry: BackendRegistry) -> None:
        """Creates a selection that knows of no order.

        Args:
            registry: Known backend servers.
        """
        self._registry = registry
        self._services: dict[str, ServiceVersions] = {}

    def continuation(self, service: str, origin: str) -> ContinuationRule:
        """Determines at which servers of a service a stream may go on.

        Args:
            service: Name of the service.
            origin: Version that began the stream.

        Returns:
            The rule.
        """
        versions = self._services.get(service)
        if versions is None:
            return ContinuationRule(origin)
        return versions.continuation(asyncio.get_running_loop().time(), origin)

    def excluded_from_continuation(self, service: str, origin: str) -> frozenset[str]:
        """Lists the servers at which a stream may not go on because of their version.

        Args:
            service: Name of the service.
            origin: Version that began the stream.

        Returns:
            Ids of the servers.
        """
        rule = self.continuation(service, origin)
        return frozenset(
            server.server_id
            for server in self._registry.list_servers(service)
            if not rule.permits(server.version)
        )

    def excluded(
        self,
        admitted: AdmittedRequest,
        others: Collection[str] = (),
        *,
        is_retry: bool,
        origin: str | None = None,
    ) -> frozenset[str]:
        """Lists the servers that an attempt of a request may not use because of their version.

        The result holds for an attempt that is sent at once.

        Args:
            admitted: The request.
            others: Ids of servers that are left out for other reasons.
            is_retry: Whether the request was sent to a server before.
            origin: Version that began the stream, None if there is none.

        Returns:
            Ids of the servers.
        """
        if origin is not None:
            return self.excluded_from_continuation(admitted.service.name, origin)
        versions = self._services.get(admitted.service.name)
        if versions is None or not (versions.rollout or versions.held_versions):
            return frozenset()
        now = asyncio.get_running_loop().time()
        rule = versions.choose(now, admitted, is_retry=is_retry)
        if rule is None:
            return versions.excluded(None)
        preferred = versions.excluded(rule, preferred=True)
        left_out = {*preferred, *others}
        if self._registry.next_admission(now, admitted.service.name, left_out) <= now:
            return preferred
        return versions.excluded(rule)

    def permits(
        self,
        admitted: AdmittedRequest,
        server: BackendServer,
        *,
        is_retry: bool,
        origin: str | None = None,
    ) -> bool:
        """Checks whether an attempt may still use a server that was chosen for it before.

        Args:
            admitted: The request.
            server: The server.
            is_retry: Whether the request was sent to a server before.
            origin: Version that began the stream, None if there is none.

        Returns:
            Whether it may, if it is sent at once.
        """
        if origin is not None:
            return self._permits_continuation(server, origin)
        versions = self._services.get(admitted.service.name)
        if versions is None or not (versions.rollout or versions.held_versions):
            return True
        now = asyncio.get_running_loop().time()
        return versions.permits(server, versions.choose(now, admitted, is_retry=is_retry))

    def may_send(
        self, admitted: AdmittedRequest, server: BackendServer, origin: str | None = None
    ) -> bool:
        """Checks right before an attempt is sent that the order has not changed since its choice.

        The share is not drawn again: `begin` has counted the attempt.

        Args:
            admitted: The request.
            server: The server.
            origin: Version that began the stream, None if there is none.

        Returns:
            Whether the server may be sent the request now.
        """
        if origin is not None:
            return self._permits_continuation(server, origin)
        versions = self._services.get(admitted.service.name)
        if versions is None or not (versions.rollout or versions.held_versions):
            return True
        return versions.may_send(asyncio.get_running_loop().time(), server)

    def unusable(self, service: str) -> frozenset[str]:
        """Lists the servers of a service that no new stream may be sent to now.

        Args:
            service: Name of the service.

        Returns:
            Ids of the servers.
        """
        versions = self._services.get(service)
        if versions is None or not (versions.rollout or versions.held_versions):
            return frozenset()
        return versions.excluded_for_streams(asyncio.get_running_loop().time())

    def excluded_copies(self, server: BackendServer) -> frozenset[str]:
        """Lists the servers that may not hold a copy of a stream because of their version.

        Args:
            server: Server that runs the stream.

        Returns:
            Ids of the servers.
        """
        return frozenset(
            other.server_id
            for other in self._registry.list_servers(server.service)
            if other.version != server.version
        )

    def is_judged(self, server: BackendServer) -> bool:
        """Whether the version of a server is being judged by a roll-out.

        Args:
            server: The server.

        Returns:
            Whether it is.
        """
        versions = self._services.get(server.service)
        return versions is not None and bool(server.version) and server.version == versions.target

    def _permits_continuation(self, server: BackendServer, origin: str) -> bool:
        """Whether a stream may go on at a server, as it is described now."""
        state = self._registry.state(server.server_id)
        if state is not None and state.server.is_restart_of(server):
            return False
        return self.continuation(server.service, origin).permits(server.version)

    def _versions(self, service: str) -> ServiceVersions:
        """Returns the versions of a service, created on first use."""
        versions = self._services.get(service)
        if versions is None:
            versions = self._services[service] = ServiceVersions(service, self._registry)
        return versions
