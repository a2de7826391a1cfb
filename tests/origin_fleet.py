"""Instances that share origins of streams over a store in memory, without streams or servers."""

from __future__ import annotations

import asyncio
import contextlib
import unittest
from collections import Counter
from types import SimpleNamespace
from unittest import mock

from virtual_clock import VirtualClock

from sapphireledge.feed import SourceError, StoredEntry, StoredVersion
from sapphireledge.gateway import (
    BackendServer,
    GatewayMetrics,
    OriginTelemetry,
    StreamOrigins,
    seconds_since_boot,
)
from sapphireledge.gateway.backend_registry import BackendRegistry
from sapphireledge.platform.stream_origin_listener import StreamOriginListener
from sapphireledge.platform.stream_origin_reader import StreamOriginReader
from sapphireledge.platform.stream_origin_writer import StreamOriginWriter
from sapphireledge.platform.versions_in_use_writer import VersionsInUseWriter

SERVICE = "models"
OLD, NEW = "v1", "v2"
LIFETIME = 25.0
CONFIRM_INTERVAL = 0.5


class OriginStore:
    """Holds the objects of one kind, and can be away, lose answers or lose all objects."""

    def __init__(self) -> None:
        self.objects: dict[str, tuple[object, int]] = {}
        self.down = False
        self.lose_answers = False
        self.keeps_objects = True
        self.calls: Counter[str] = Counter()
        self.revision = 100
        self.on_change = lambda name: None

    async def write(self, kind, name, spec, revision):
        """Implements `StoreClient.write`."""
        self.calls["write"] += 1
        await asyncio.sleep(0.004)
        if self.down:
            raise SourceError("down")
        known = self.objects.get(name)
        if known is not None and known[1] != revision:
            return StoredVersion(known[0], known[1], False)
        self.revision += 1
        if self.keeps_objects:
            self.objects[name] = (spec, self.revision)
            self.on_change(name)
        if self.lose_answers:
            self.lose_answers = False
            raise SourceError("no answer")
        return StoredVersion(spec, self.revision, True)

    async def list(self, kind):
        """Implements `StoreClient.list`."""
        self.calls["list"] += 1
        await asyncio.sleep(0.004)
        if self.down:
            raise SourceError("down")
        return SimpleNamespace(entries=self.entries())

    def entries(self):
        return [StoredEntry(name, spec) for name, (spec, _) in self.objects.items()]


class Instance:
    """One instance; its feed delivers what the store holds while changes are expected."""

    def __init__(self, fleet: OriginFleetCase, name: str, versions, *, has_feed: bool) -> None:
        self.name = name
        self.store = fleet.store
        self.has_feed = has_feed
        self.registry = BackendRegistry("dc-a", name)
        metrics = GatewayMetrics()
        telemetry = OriginTelemetry(metrics)
        self.origins = origins = StreamOrigins(self.registry, telemetry, name)
        self.registry.on_removed = origins.history.on_server_removed
        origins.history.needs_reports = True
        self.listener = StreamOriginListener(origins)
        count = lambda: len(fleet.instances)  # noqa: E731
        self.writer = StreamOriginWriter(self.store, origins, telemetry, name, count, 400.0)
        parts = (
            self.writer,
            VersionsInUseWriter(self.store, origins, self.listener, count),
            StreamOriginReader(self.store, origins, self.listener),
        )
        origins.on_config({SERVICE: LIFETIME})
        self.serve(*versions)
        self.tasks = [asyncio.create_task(part.run()) for part in parts]
        self.tasks.append(asyncio.create_task(self._follow()))

    def serve(self, *versions) -> None:
        """Replaces the known servers by one of each version."""
        wanted = {f"s-{version}": version for version in versions}
        for server_id in self.registry.ids() - wanted.keys():
            self.registry.remove(server_id)
        for server_id, version in wanted.items():
            self.registry.put(
                BackendServer(server_id, SERVICE, "10.0.0.1", 80, "dc-a", version=version)
            )
        self.origins.on_servers_changed()
        self.origins.on_registry_confirmed(seconds_since_boot())

    def begin(self, attempt_id, version, lifetime=LIFETIME) -> None:
        """Delivers the first event of a stream."""
        self.origins.record(SERVICE, attempt_id, version, lifetime)

    async def find(self, attempt_id, time_left=LIFETIME):
        return await self.origins.find(SERVICE, attempt_id, time_left)

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        for task in self.tasks:
            with contextlib.suppress(asyncio.CancelledError):
                await task

    async def _follow(self) -> None:
        """Delivers what the store holds, and confirms the registry."""
        while True:
            await asyncio.sleep(CONFIRM_INTERVAL)
            if self.store.down:
                continue
            if self.has_feed:
                self.origins.on_registry_confirmed(seconds_since_boot())
                if self.origins.is_active:
                    self.listener.replace_all(self.store.entries())
                    self.listener.confirm(seconds_since_boot())


class OriginFleetCase(VirtualClock, unittest.IsolatedAsyncioTestCase):
    """Starts instances on one store and ends them without warning."""

    @classmethod
    def setUpClass(cls) -> None:
        super().setUpClass()
        # No bytes are under way.
        cls.enterClassContext(mock.patch("virtual_clock.GRACE", 0.0))

    async def asyncSetUp(self) -> None:
        self.store = OriginStore()
        self.instances: dict[str, Instance] = {}
        self.store.on_change = self._deliver
        # Times before the start of the machine are no times.
        await asyncio.sleep(1000.0)

    async def asyncTearDown(self) -> None:
        await self.power_off()

    def start(self, name, *versions, has_feed=True) -> Instance:
        self.instances[name] = Instance(self, name, versions, has_feed=has_feed)
        return self.instances[name]

    def serve(self, *versions) -> None:
        """Replaces the servers that all instances know."""
        for instance in self.instances.values():
            instance.serve(*versions)

    async def power_off(self, *names) -> None:
        """Ends instances, by default all of them."""
        for name in names or tuple(self.instances):
            await self.instances.pop(name).stop()

    def _deliver(self, name) -> None:
        for instance in self.instances.values():
            if instance.has_feed and instance.origins.is_active:
                instance.listener.apply([StoredEntry(name, self.store.objects[name][0])])
