"""Tests that a stream which its caller takes up goes on at the version that began it."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace

from gateway_case import HOST, REQUEST_ID, STREAM_ROUTE, full_response, table
from versioned_engines import VersionedCase

from sapphireledge.core.backpressure import ServerSignals
from sapphireledge.errors import ErrorKind, Failure, Ran
from sapphireledge.gateway import (
    BackendServer,
    Gateway,
    GatewayMetrics,
    RequestTelemetry,
    ServiceProfile,
    seconds_since_boot,
)
from sapphireledge.gateway.stream_continuation import RETRY_AFTER
from sapphireledge.platform.platform_dialect import PlatformDialect


class KnownOrigins:
    """Origins that a test knows, in the place of those that an instance has."""

    def __init__(self, origins):
        self._origins = origins
        self.known = {}
        self.lifetimes = {}
        self.asked = []

    def __getattr__(self, name):
        return getattr(self._origins, name)

    def record(self, service, attempt_id, version, lifetime):
        self.known[(service, attempt_id)] = version
        self.lifetimes[attempt_id] = lifetime

    def is_recorded(self, service, attempt_id):
        return (service, attempt_id) in self.known

    def version_of(self, service, attempt_id):
        return self.known.get((service, attempt_id))

    async def find(self, service, attempt_id, time_left):
        self.asked.append((attempt_id, time_left))
        return self.version_of(service, attempt_id)


class TakeUpCase(VersionedCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        context = self.gateway.context
        self.origins = context.origins = KnownOrigins(context.origins)

    async def take_up(self, resumes="id1", last=1, **extra):
        return await self.call("/stream/x", last_event_id=str(last), resumes=resumes, **extra)

    def counted(self, result):
        metrics = self.gateway.telemetry._metrics
        return metrics.continuations.labels("take_up", result)._value.get()

    def refused(self, kind):
        return self.gateway.telemetry._metrics.answers.labels("refused", kind)._value.get()


class TakeUpTest(TakeUpCase):
    """Guards against streams whose parts come from two versions over their caller's tries."""

    async def test_stream_goes_on_at_the_version_that_began_it(self):
        for version in ("v1", "v2") * 3:
            await self.add_engine(version)
        for version in ("v1", "v2") * 4:
            self.visits.clear()
            self.origins.known[("llm", "id1")] = version
            self.assert_whole(await self.take_up(), first=2)
            self.assertEqual(self.places(), [(version, 2)])
        self.assertEqual(self.counted("continued"), 8)

    async def test_stream_that_breaks_off_is_taken_up(self):
        """The whole way at one instance, with the real origins."""
        self.gateway.context.origins = self.origins._origins
        await self.add_engine("v1", breaks_after=2, leaves=True)
        first = await self.call("/stream/x")
        self.assertFalse(first.complete)
        await self.add_engine("v1", data_centre="dc-b")
        for _ in range(5):
            await self.add_engine("v2")
        self.visits.clear()
        second = await self.take_up(resumes=first.headers[REQUEST_ID])
        self.assert_whole(second, first=2)
        self.assertEqual(self.places(), [("v1", 2)])

    async def test_stream_is_taken_up_at_another_instance(self):
        await self.add_engine("v1", breaks_after=2, leaves=True)
        first = await self.call("/stream/x")
        other = Gateway(self.cfg, PlatformDialect(), RequestTelemetry(GatewayMetrics()))
        other.config.accept(self.gateway.config.table)
        other.config.confirm(seconds_since_boot())
        other.context.origins = self.origins
        self.gateway = other
        for version in ("v2", "v1", "v2", "v1"):
            await self.add_engine(version)
        listener = await asyncio.get_running_loop().create_server(other.create_protocol, HOST, 0)
        self.addCleanup(listener.close)
        self.port = listener.sockets[0].getsockname()[1]
        second = await self.take_up(resumes=first.headers[REQUEST_ID])
        self.assert_whole(second, first=2)
        self.assertEqual(self.places(), [("v1", 0), ("v1", 2)])

    async def test_unknown_origin_is_refused_at_once(self):
        for version in ("v1", "v2"):
            await self.add_engine(version)
        for resumes in ("id9", ""):
            response = await self.take_up(resumes=resumes)
            self.assertEqual(response.status, 503)
            self.assertEqual(float(response.headers["retry-after"]), RETRY_AFTER)
        self.assertEqual(self.places(), [])
        self.assertEqual([attempt for attempt, _ in self.origins.asked], ["id9", ""])
        self.assertEqual(self.counted("unknown"), 2)
        self.assertEqual(self.refused("no_backend"), 2)

    async def test_take_up_on_a_route_that_ceased_to_permit_it_is_no_new_stream(self):
        """Guards against a joined answer after a change of the configuration."""
        for version in ("v1", "v2") * 2:
            await self.add_engine(version)
        path, headers = "/non-resumable/x", {"last_event_id": "1", "resumes": "id1"}
        response = await self.call(path, **headers)
        self.assertEqual((response.status, self.places()), (503, []))
        self.origins.known[("llm", "id1")] = "v2"
        self.assert_whole(await self.call(path, **headers), first=2)
        self.assertEqual(self.places(), [("v2", 2)])

    async def test_version_without_a_server_is_refused_at_once(self):
        self.origins.known[("llm", "id1")] = "v1"
        for _ in range(2):
            await self.add_engine("v2")
        await self.add_engine("")
        leaving = await self.add_engine("v1")
        self.put(leaving, version="v1", draining=True)
        started = asyncio.get_running_loop().time()
        response = await self.take_up()
        self.assertLess(asyncio.get_running_loop().time() - started, 0.5)
        self.assertEqual(response.status, 503)
        self.assertEqual(float(response.headers["retry-after"]), RETRY_AFTER)
        self.assertEqual(self.refused("version_gone"), 1)
        self.assertEqual(self.places(), [])
        self.assertEqual(self.counted("gone"), 1)

    async def test_refusal_after_a_rejection_names_the_version(self):
        """Guards against a refusal that blames load where the last server has left."""
        self.origins.known[("llm", "id1")] = "v1"

        async def reject(request, writer):
            self.registry.remove(server.server_id)
            headers = {"x-sapphireledge-not-executed": "1"}
            headers[REQUEST_ID] = request.headers[REQUEST_ID]
            writer.write(full_response(503, headers, b""))

        server = await self.add("llm", reject)
        self.put(server, version="v1")
        await self.add_engine("v2")
        response = await self.take_up()
        self.assertEqual(response.status, 503)
        self.assertEqual(self.refused("version_gone"), 1)
        self.assertEqual(self.places(), [])

    async def test_stream_that_breaks_again_stays_at_its_version(self):
        self.origins.known[("llm", "id1")] = "v1"
        for version in ("v1", "v2") * 2:
            await self.add_engine(version, breaks_after=2)
        self.assert_whole(await self.take_up(), first=2)
        self.assertEqual(self.places(), [("v1", 2), ("v1", 4)])

    async def test_engine_that_keeps_the_prompt_is_used_only_at_the_version(self):
        """Guards against a prompt that is found in the cache of another version."""
        self.origins.known[("llm", "id1")] = "v1"
        for version in ("v2",) * 6 + ("v1",) * 4:
            holder = await self.add_engine(version)
        for server in (*self.servers[:6], holder):
            server.cached_parts = ["p2"]
        parts = {"x-sapphireledge-prefix-hash": "p1:10,p2:20"}
        self.assert_whole(await self.take_up(**parts), first=2)
        self.assertEqual(holder.paths(), [b"/stream/x"])
        self.assertEqual(self.places(), [("v1", 2)])

    async def test_take_up_in_the_waiting_line_finds_its_version(self):
        self.origins.known[("llm", "id1")] = "v1"
        last = await self.add_engine("v1", data_centre="dc-b")
        for _ in range(8):
            await self.add_engine("v2")
        now = asyncio.get_running_loop().time()
        self.registry.on_response(now, last.server_id, ServerSignals(pause=0.8), 1)
        self.assert_whole(await self.take_up(), first=2)
        self.assertEqual(self.places(), [("v1", 2)])
        self.assertGreaterEqual(asyncio.get_running_loop().time() - now, 0.8)


class StartedInstanceTest(TakeUpCase):
    async def test_take_up_waits_for_the_first_listing_of_servers(self):
        """Guards against a version that counts as gone before any server is known."""
        self.origins.known[("llm", "id1")] = "v1"
        await self.add_engine("v1")
        (server,) = list(self.registry.list_servers("llm"))
        self.registry.remove(server.server_id)
        asyncio.get_running_loop().call_later(0.1, self.registry.put, server)
        self.assert_whole(await self.take_up(), first=2)


class SplitRouteTest(TakeUpCase):
    async def test_take_up_on_a_split_route_stays_at_the_service_that_began_it(self):
        """Guards against take-ups that the draw of the service sends to another one."""
        services = (("llm", 0.5), ("other", 0.5))
        route = replace(STREAM_ROUTE, services=services)
        before = table(2)
        routes = tuple(
            route if known.name == route.name else known for known in before.routes["svc.example"]
        )
        profiles = {**before.services, "other": ServiceProfile("other", can_replicate=True)}
        self.gateway.config.accept(
            replace(before, routes={"svc.example": routes}, services=profiles)
        )
        for version in ("v1", "v1", "v2", "v2"):
            await self.add_engine(version)
        for version in ("v1", "v2"):
            server = await self.add("other", self.servers[0].handle)
            self.registry.put(
                BackendServer(server.server_id, "other", HOST, server.port, "dc-a", version=version)
            )
        self.origins.known[("llm", "id1")] = "v1"
        statuses = [(await self.take_up()).status for _ in range(20)]
        self.assertEqual(statuses.count(200), 20, statuses)

    async def test_take_up_does_not_go_to_a_service_without_a_share(self):
        """Guards against a take-up that keeps a service which a new configuration has left."""
        services = (("llm", 0.0), ("other", 1.0))
        route = replace(STREAM_ROUTE, services=services)
        before = table(2)
        profiles = {**before.services, "other": ServiceProfile("other")}
        self.gateway.config.accept(
            replace(before, routes={"svc.example": (route,)}, services=profiles)
        )
        await self.add_engine("v1")
        self.origins.known[("llm", "id1")] = "v1"
        await self.take_up()
        self.assertEqual(self.places(), [])


class RestartedEngineTest(TakeUpCase):
    """Guards against an engine that restarted with other software while its entry is old."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.origins.known[("llm", "id1")] = "v1"

    async def add_restarted(self, **fields):
        server = await self.add_engine("v2", **fields)
        self.put(server, version="v1", started_at_ms=1000)
        server.load["born"] = 2000
        return server

    async def test_new_entry_that_arrives_during_the_check_is_kept(self):
        """Guards against the removal of an entry that has replaced the checked one."""
        engine = await self.add_engine("v1")
        self.put(engine, version="v1", started_at_ms=1000)
        engine.load["born"] = 2000
        client = self.gateway.context.report_client
        fetch = client.fetch_report

        async def fetch_late(server, timeout):
            report = await fetch(server, timeout)
            self.put(engine, version="v1", started_at_ms=2000)
            return report

        client.fetch_report = fetch_late
        response = await self.take_up()
        self.assertIsNotNone(self.registry.state(engine.server_id))
        self.assert_whole(response, first=2)

    async def test_checked_engine_earns_one_retry_share(self):
        """Guards against a request that is credited to the allowance with each selection."""
        holder = await self.add_engine("v2")
        self.put(holder, version="v1", started_at_ms=1000)
        holder.load["born"] = 2000
        holder.cached_parts = ["p2"]
        await self.add_engine("v1", data_centre="dc-b")
        parts = {"x-sapphireledge-prefix-hash": "p1:10,p2:20"}
        self.assert_whole(await self.take_up(**parts), first=2)
        allowance = self.gateway.context.retry_allowance("llm")
        self.assertAlmostEqual(allowance._earned, self.gateway.cfg.retry_ratio)

    async def test_new_stream_at_a_restarted_engine_is_not_recorded_with_the_old_version(self):
        """Guards against a take-up at the version of an entry that was out of date."""
        engine = await self.add_engine("v2")
        self.put(engine, version="v1", started_at_ms=1000)
        engine.load["born"] = 2000
        await self.call("/stream/x")
        self.assertNotIn("v1", self.origins.known.values())

    async def test_only_engine_of_the_version_has_restarted(self):
        await self.add_restarted()
        response = await self.take_up()
        self.assertEqual((response.status, self.places()), (503, []))
        self.assertEqual(self.refused("version_gone"), 1)

    async def test_engine_that_keeps_the_prompt_has_restarted(self):
        holder = await self.add_restarted()
        holder.cached_parts = ["p2"]
        await self.add_engine("v1", data_centre="dc-b")
        parts = {"x-sapphireledge-prefix-hash": "p1:10,p2:20"}
        self.assert_whole(await self.take_up(**parts), first=2)
        self.assertEqual(self.places(), [("v1", 2)])

    async def test_engine_that_broke_the_stream_has_restarted(self):
        await self.add_engine("v1", breaks_after=2)
        (server,) = self.servers
        self.put(server, version="v1", started_at_ms=1000)
        server.load["born"] = 2000
        response = await self.call("/stream/x")
        self.assertEqual((response.complete, self.places()), (False, [("v1", 0)]))

    async def test_engine_of_the_same_start_is_used(self):
        server = await self.add_engine("v1")
        self.put(server, version="v1", started_at_ms=1000)
        server.load["born"] = 1000
        self.assert_whole(await self.take_up(), first=2)

    async def test_engine_without_a_report_is_used(self):
        """Guards against streams that break off because reports are late."""
        server = await self.add_engine("v1")
        server.load = []
        self.assert_whole(await self.take_up(), first=2)

    async def test_entry_with_another_version_is_that_of_a_restart(self):
        server = await self.add_engine("v1")
        before = self.registry.state(server.server_id)
        before.on_failure(0.0, suspend=True)
        described = before.server
        self.put(server, version="v2")
        after = self.registry.state(server.server_id)
        self.assertIsNot(after, before)
        self.assertFalse(self.gateway.context.is_running(described))


class OriginTest(TakeUpCase):
    async def test_first_event_records_the_version(self):
        await self.add_engine("v1")
        response = await self.call("/stream/x")
        self.assert_whole(response)
        request_id = response.headers[REQUEST_ID]
        self.assertEqual(self.origins.known, {("llm", request_id): "v1"})
        # The caller waits for 5 s.
        self.assertGreater(self.origins.lifetimes[request_id], 5.0)
        self.assertLess(self.origins.lifetimes[request_id], 15.0)

    async def test_origin_is_that_of_the_first_event(self):
        """Guards against the version of an engine that broke before its first event."""
        await self.add_engine("v1", breaks_after=0, leaves=True)
        await self.add_engine("v2", data_centre="dc-b")
        self.assert_whole(await self.call("/stream/x"))
        self.assertEqual([*self.origins.known.values()], ["v2"])

    async def test_stream_without_an_event_records_nothing(self):
        await self.add_engine("v1", breaks_after=0, leaves=True)
        await self.call("/stream/x")
        self.assertEqual(self.origins.known, {})

    async def test_take_up_keeps_the_origin(self):
        await self.add_engine("v1")
        self.origins.known[("llm", "id7")] = "v1"
        self.assert_whole(await self.take_up("id7"), first=2)
        self.assertEqual(self.origins.known, {("llm", "id7"): "v1"})

    async def test_stream_that_cannot_be_taken_up_records_nothing(self):
        await self.add_engine("v1")
        self.assert_whole(await self.call("/non-resumable/x"))
        self.assertEqual(self.origins.known, {})

    async def test_header_is_decoded_and_forwarded(self):
        received = []
        engine = await self.add_engine("v1")
        handle = engine.handle

        async def note(request, writer):
            received.append(request.headers)
            await handle(request, writer)

        engine.handle = note
        self.origins.known[("llm", "id7")] = "v1"
        await self.take_up("id7", last=3)
        (headers,) = received
        self.assertEqual((headers["resumes"], headers["last-event-id"]), ("id7", "3"))

    def test_refusals_say_that_nothing_ran(self):
        dialect = PlatformDialect()
        for kind, ran, status in (
            (ErrorKind.VERSION_GONE, Ran.NO, 503),
            (ErrorKind.VERSION_GONE, Ran.UNKNOWN, 502),
            (ErrorKind.NO_BACKEND, Ran.NO, 503),
        ):
            self.assertEqual(dialect.refusal_status(Failure(kind, "", ran)), status)


if __name__ == "__main__":
    unittest.main()
