"""Tests of the gateway with event streams, in particular after the loss of an engine."""

from __future__ import annotations

import asyncio
import unittest

from gateway_case import (
    HOST,
    SEAL,
    GatewayCase,
    chunk,
    event,
    full_response,
    signed_response,
    stream_head,
)
from virtual_clock import VirtualClock

from sapphireledge.gateway import BackendServer
from sapphireledge.gateway.stream_forwarder import RECONNECT_PAUSE

REPLICA_TARGET = "x-sapphireledge-kv-backup"
END = b"0\r\n\r\n"


def events(*numbers):
    return b"".join(event(number) for number in numbers)


def streaming_engine(first, last, end=True, on_break="reset", seal="s", tail=b""):
    """Builds the handler of an engine that generates events and then ends, breaks or hangs.

    Args:
        first: Number of the first event.
        last: Number of the last event.
        end: Whether to end the stream properly.
        on_break: Without a proper end, "reset" to reset the connection, "hang" to stop sending.
        seal: Signature of the response.
        tail: Bytes of a partial event before the break.
    """

    async def handle(request, writer):
        writer.write(stream_head(request, seal))
        for number in range(first, last + 1):
            writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(0.01)
        if end:
            writer.write(END)
            return
        if tail:
            writer.write(chunk(tail))
        await writer.drain()
        await asyncio.sleep(0.02)
        if on_break == "hang":
            await asyncio.sleep(30)
        writer.transport.abort()

    return handle


async def refuse(request, writer):
    writer.write(full_response(503, {"x-sapphireledge-not-executed": "1"}, b""))


class ResumeCase(GatewayCase):
    async def add_engine_pair(self, handle, other, **more):
        """Starts a local engine, which is chosen first, and a remote one as its standby."""
        first = await self.add("llm", handle)
        second = await self.add("llm", other, "dc-b", **more)
        return first, second


class ResumeTimingTest(VirtualClock, ResumeCase):
    async def test_hanging_engine_is_replaced_within_the_pause_limit(self):
        """Guards against a pause of more than 0.7 s when an engine stops sending."""
        await self.add_engine_pair(
            streaming_engine(0, 3, end=False, on_break="hang"), streaming_engine(4, 8)
        )
        started = asyncio.get_running_loop().time()
        response = await self.call("/stream/")
        self.assertEqual(response.body, events(*range(9)))
        self.assertLess(asyncio.get_running_loop().time() - started, 0.7)

    async def test_engine_that_processes_a_long_prompt_is_not_replaced(self):
        """Guards against abandoning a busy engine that still responds to report queries."""

        async def slow(request, writer):
            await asyncio.sleep(1.5)
            await streaming_engine(0, 2)(request, writer)

        _, second = await self.add_engine_pair(slow, streaming_engine(0, 2))
        response = await self.call("/stream/")
        self.assertEqual(response.body, events(0, 1, 2))
        self.assertEqual(second.received, [])


class ConnectionEndTest(VirtualClock, ResumeCase):
    """Guards against a stream with neither a length nor chunks that ends as complete because its
    engine was killed between two events."""

    def unframed_engine(self, last, *, dies=False, load=None, born=None):
        """Builds the handler of an engine whose stream ends with its connection.

        Args:
            last: Number of the last event that arrives.
            dies: Whether the engine is gone then.
            load: What it reports about runs then.
            born: Start that it reports then.
        """

        async def handle(request, writer):
            server = self.servers[0]
            head = stream_head(request).replace(b"transfer-encoding: chunked\r\n", b"")
            writer.write(head + events(*range(last + 1)))
            await writer.drain()
            if load is not None:
                server.load = {"running": 1, "runs": [["id1", 100, load, 5]]}
            if born is not None:
                server.load = {**server.load, "born": born}
            if dies:
                server.stop()
            writer.close()

        return handle

    async def test_stream_of_a_killed_engine_is_resumed(self):
        _, second = await self.add_engine_pair(
            self.unframed_engine(3, dies=True), streaming_engine(4, 8)
        )
        response = await self.call("/stream/")
        self.assertTrue(response.complete)
        self.assertEqual(response.body, events(*range(9)))
        self.assertEqual(second.received[0].headers["last-event-id"], "3")

    async def test_stream_of_a_restarted_engine_is_resumed(self):
        first, _ = await self.add_engine_pair(
            self.unframed_engine(3, born=2000), streaming_engine(4, 8)
        )
        self.gateway.context.registry.put(
            BackendServer(first.server_id, "llm", HOST, first.port, "dc-a", started_at_ms=1000)
        )
        response = await self.call("/stream/")
        self.assertEqual((response.complete, response.body), (True, events(*range(9))))

    async def test_stream_of_a_run_with_more_events_is_resumed(self):
        await self.add_engine_pair(self.unframed_engine(3, load=6), streaming_engine(4, 8))
        response = await self.call("/stream/")
        self.assertEqual((response.complete, response.body), (True, events(*range(9))))

    async def check_ended_stream(self, load):
        _, second = await self.add_engine_pair(
            self.unframed_engine(3, load=load), streaming_engine(4, 8)
        )
        response = await self.call("/stream/")
        self.assertEqual((response.complete, response.body), (True, events(*range(4))))
        self.assertEqual(second.received, [])

    async def test_ended_stream_is_complete(self):
        """Guards against prompts that are processed again for nothing."""
        await self.check_ended_stream(None)

    async def test_ended_stream_with_a_report_from_before_its_end_is_complete(self):
        await self.check_ended_stream(2)

    async def test_ended_stream_with_a_report_of_all_its_events_is_complete(self):
        await self.check_ended_stream(4)

    async def test_stream_of_a_killed_engine_that_cannot_move_is_not_complete(self):
        await self.add("llm", self.unframed_engine(3, dies=True))
        for path in ("/stream/", "/non-resumable/"):
            with self.subTest(path):
                response = await self.call(path)
                self.assertFalse(response.complete and response.status == 200)

    async def test_stream_that_cannot_move_waits_for_a_late_report(self):
        """Guards against the loss of a whole answer because of one report."""
        await self.add("llm", self.unframed_engine(3))
        fetch = self.gateway.context.report_client.fetch_report
        fetched = []

        async def fetch_late(server, timeout):
            fetched.append(timeout)
            return None if len(fetched) == 1 else await fetch(server, timeout)

        self.gateway.context.report_client.fetch_report = fetch_late
        response = await self.call("/non-resumable/")
        self.assertEqual((response.complete, response.body), (True, events(*range(4))))
        self.assertEqual(len(fetched), 2)


class UnreachableEngineTest(ResumeCase):
    """Guards against streams that keep the processor by connecting without a pause while the only
    engines that are listed refuse connections."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.connects = 0
        pool = self.gateway.context.pool
        acquire = pool.acquire

        async def count(*args, **kwargs):
            self.connects += "request_id" in kwargs
            return await acquire(*args, **kwargs)

        pool.acquire = count

    async def test_new_stream(self):
        for _ in range(2):
            server = await self.add("llm", streaming_engine(0, 3))
            server.stop()
        response = await self.call("/stream/", x_sapphireledge_deadline_ms="1500")
        self.assertEqual((response.status, "retry-after" in response.headers), (503, True))
        self.assertLessEqual(self.connects, 2 + 1.5 / RECONNECT_PAUSE)

    async def test_stream_that_had_begun(self):
        async def end(request, writer):
            self.servers[0].stop()
            writer.write(stream_head(request) + chunk(event(0)))
            await writer.drain()
            writer.transport.abort()

        await self.add("llm", end)
        response = await self.call("/stream/", x_sapphireledge_deadline_ms="1500")
        self.assertFalse(response.complete)
        self.assertLessEqual(self.connects, 3 + 1.5 / RECONNECT_PAUSE)

    async def test_engine_that_starts_again_serves_the_stream(self):
        server = await self.add("llm", streaming_engine(0, 3))
        server.stop()
        call = asyncio.create_task(self.call("/stream/"))
        await asyncio.sleep(0.5)
        server.handle = streaming_engine(0, 3)
        self.assertFalse(call.done())
        await server.start(server.port)
        response = await call
        self.assertEqual((response.complete, response.body), (True, events(*range(4))))


class ResumeTest(ResumeCase):
    async def test_stream_is_delivered_completely(self):
        """Guards against lost or repeated events without any failure."""
        await self.add("llm", streaming_engine(0, 9))
        response = await self.call("/stream/")
        self.assertTrue(response.complete)
        self.assertEqual(response.body, events(*range(10)))

    async def test_generation_time_is_learned_from_whole_streams_only(self):
        """Guards against an estimate from parts of streams, which would let late ones start."""
        await self.add_engine_pair(
            streaming_engine(0, 3, end=False), streaming_engine(4, 8, seal="t")
        )
        estimator = self.gateway.context.generation_estimator("llm")
        self.assertTrue((await self.call("/stream/")).complete)
        self.assertEqual(estimator.estimate(0), 0.0)

    async def test_generation_time_of_a_stream_is_learned(self):
        await self.add("llm", streaming_engine(0, 9))
        await self.call("/stream/")
        learned = self.gateway.context.generation_estimator("llm").estimate(0)
        self.assertTrue(0.09 <= learned < 1.0, learned)

    async def test_stream_is_resumed_on_its_standby(self):
        """Guards against processing a prompt again although a standby has a replica."""
        _, second = await self.add_engine_pair(
            streaming_engine(0, 3, end=False), streaming_engine(4, 8, seal="t")
        )
        response = await self.call("/stream/")
        self.assertTrue(response.complete)
        self.assertEqual(response.body, events(*range(9)))
        self.assertEqual(response.headers[SEAL], "s")
        sent = second.received[0].headers
        self.assertEqual(sent["last-event-id"], "3")
        self.assertEqual(sent["kv-from"], f"127.0.0.1:{second.port}/id1")

    async def test_standby_is_in_another_data_centre(self):
        """Guards against losing the replica together with the engine."""
        first, second = await self.add_engine_pair(streaming_engine(0, 3), streaming_engine(0, 3))
        await self.add("llm", streaming_engine(0, 3))
        await self.call("/stream/")
        sent = next(s.received[0] for s in self.servers if s.received)
        self.assertEqual(sent.headers[REPLICA_TARGET], f"127.0.0.1:{second.port}")
        self.assertNotEqual(first.port, second.port)

    async def test_partial_event_is_not_delivered(self):
        """Guards against joining a partial event with the stream of the next engine."""
        await self.add_engine_pair(
            streaming_engine(0, 3, end=False, tail=b"id: 4\nda"), streaming_engine(4, 5)
        )
        response = await self.call("/stream/")
        self.assertEqual(response.body, events(*range(6)))

    async def test_slow_but_sound_stream_is_not_cut(self):
        """Guards against cutting a stream that pauses while its engine processes other prompts."""

        async def slow(request, writer):
            writer.write(stream_head(request))
            for number in range(4):
                first.load = {"running": 1, "runs": [["id1", 8000, number, 5]]}
                writer.write(chunk(event(number)))
                await asyncio.sleep(0.6)
            writer.write(END)

        first, second = await self.add_engine_pair(slow, streaming_engine(0, 3))
        response = await self.call("/stream/")
        self.assertEqual(response.body, events(*range(4)))
        self.assertEqual(second.received, [])

    async def assert_preempted_stream_is_whole(self, path, **more):
        """Pauses a stream for longer than any silence limit while its engine lists the run."""

        async def preempted(request, writer):
            name = request.headers["x-sapphireledge-request-id"]
            writer.write(stream_head(request) + chunk(event(0)) + chunk(event(1)))
            engine.load = {"waiting": 1, "runs": [[name, 0, 2, 5]]}
            await asyncio.sleep(3.8)
            writer.write(chunk(event(2)) + END)

        engine = await self.add("llm", preempted)
        response = await self.call(path, x_sapphireledge_deadline_ms="7000", **more)
        self.assertEqual((response.body, response.complete), (events(0, 1, 2), True))

    async def test_preempted_stream_that_is_not_resumable_is_not_cut(self):
        """Guards against giving up a run for its silence, although its engine lists it."""
        other = await self.add("llm", streaming_engine(2, 3), "dc-b")
        await self.assert_preempted_stream_is_whole("/non-resumable/")
        self.assertEqual(other.received, [])

    async def test_preempted_stream_without_another_engine_is_not_cut(self):
        """Guards against giving up a resumable run that no other engine can continue."""
        await self.assert_preempted_stream_is_whole("/stream/")

    async def test_stalled_stream_that_sends_bytes_now_and_then_is_replaced(self):
        """Guards against taking bytes or comments for progress, as they can go on for ever."""
        servers = {}
        for filler in (b"~", b": still here\n\n"):
            with self.subTest(filler):

                async def stall(request, writer, filler=filler):
                    name = request.headers["x-sapphireledge-request-id"]
                    servers["first"].load = {"running": 1, "runs": [[name, 8000, 2, 5]]}
                    writer.write(stream_head(request) + chunk(event(0)) + chunk(event(1)))
                    while not writer.is_closing():
                        await asyncio.sleep(0.1)
                        writer.write(chunk(filler))

                first, _ = await self.add_engine_pair(stall, streaming_engine(2, 3))
                servers["first"] = first
                started = asyncio.get_running_loop().time()
                response = await self.call("/stream/", x_sapphireledge_deadline_ms="7000")
                self.assertTrue(response.complete)
                self.assertEqual(response.body.replace(filler, b""), events(*range(4)))
                self.assertLess(asyncio.get_running_loop().time() - started, 4.0)
                self.gateway.context.registry.remove(first.server_id)

    async def test_standby_is_not_used_before_the_first_event(self):
        """Guards against resuming from a standby that has no replica yet."""
        _, second = await self.add_engine_pair(
            streaming_engine(0, -1, end=False), streaming_engine(0, 2)
        )
        response = await self.call("/stream/")
        self.assertEqual(response.body, events(0, 1, 2))
        self.assertNotIn("kv-from", second.received[0].headers)

    async def test_prompt_is_processed_again_without_a_replica(self):
        """Guards against failing the stream when the standby rejects the request."""
        calls = []

        async def standby(request, writer):
            calls.append(request.headers)
            handle = refuse if "kv-from" in request.headers else streaming_engine(3, 4)
            await handle(request, writer)

        await self.add_engine_pair(streaming_engine(0, 2, end=False), standby)
        response = await self.call("/stream/")
        self.assertEqual(response.body, events(*range(5)))
        self.assertEqual(len(calls), 2)

    async def test_draining_standby_is_not_used(self):
        """Guards against sending requests to a draining engine."""
        first, second = await self.add_engine_pair(
            streaming_engine(0, 3, end=False), streaming_engine(4, 5)
        )
        third = await self.add("llm", streaming_engine(4, 5), "dc-c")

        async def drain_standby_then_break(request, writer):
            for server, centre in ((second, "dc-b"), (third, "dc-c")):
                port = request.headers[REPLICA_TARGET].rpartition(":")[2]
                if str(server.port) == port:
                    self.register(server, "llm", centre, draining=True)
                    self.draining = server
            await streaming_engine(0, 3, end=False)(request, writer)

        first.handle = drain_standby_then_break
        response = await self.call("/stream/")
        self.assertEqual(response.body, events(*range(6)))
        self.assertEqual(self.draining.received, [])

    async def test_stream_with_a_gap_is_not_joined(self):
        """Guards against a response composed of two streams that do not fit together."""
        await self.add_engine_pair(streaming_engine(0, 3, end=False), streaming_engine(7, 8))
        response = await self.call("/stream/")
        self.assertFalse(response.complete)
        self.assertEqual(response.body, events(*range(4)))

    async def test_broken_stream_that_is_not_resumable_does_not_look_complete(self):
        """Guards against a broken stream that ends like a complete one."""
        _, second = await self.add_engine_pair(
            streaming_engine(0, 3, end=False), streaming_engine(4, 5)
        )
        response = await self.call("/non-resumable/")
        self.assertFalse(response.complete)
        self.assertEqual(second.received, [])

    async def test_stream_reset_at_a_chunk_boundary_does_not_look_complete(self):
        """Guards against treating a reset as the end of a stream."""
        await self.add("llm", streaming_engine(0, 3, end=False))
        response = await self.call("/non-resumable/")
        self.assertFalse(response.complete)

    async def test_dead_connection_before_the_first_event_is_abandoned(self):
        """Guards against waiting on a connection that delivers nothing, although the engine reports
        events."""

        async def hang(request, writer):
            first.load = {"running": 1, "runs": [["id1", 8000, 30, 5]]}
            await asyncio.sleep(30)

        first, second = await self.add_engine_pair(hang, streaming_engine(0, 2))
        started = asyncio.get_running_loop().time()
        response = await self.call("/stream/")
        self.assertEqual(response.body, events(0, 1, 2))
        self.assertEqual(len(second.received), 1)
        self.assertLess(asyncio.get_running_loop().time() - started, 2.0)

    async def test_least_loaded_engine_is_chosen(self):
        """Guards against sending prompts to an engine that is already processing others."""
        busy = await self.add("llm", streaming_engine(0, 1))
        idle = await self.add("llm", streaming_engine(0, 1))
        busy.load = {"waiting": 1, "running": 2, "runs": [["a", 10, 0, 5], ["b", 10, 0, 5]]}
        for _ in range(4):
            await self.call("/stream/")
        self.assertEqual((len(busy.received), len(idle.received)), (0, 4))

    async def test_caller_resumes_on_the_engine_that_has_the_prompt_cached(self):
        """Guards against processing a prompt again for a caller that resumes its stream."""
        await self.add("llm", streaming_engine(3, 4))
        holder = await self.add("llm", streaming_engine(3, 4), "dc-c")
        holder.cached_parts = ["beef"]
        await self.call(
            "/stream/", last_event_id="2", x_sapphireledge_prefix_hash="aa:200,beef:8000"
        )
        self.assertEqual(holder.received[0].headers["last-event-id"], "2")

    async def test_response_that_is_not_a_stream_is_forwarded(self):
        """Guards against dropping a complete response with an error status."""

        async def reject(request, writer):
            writer.write(signed_response(request, b"no", 400))

        await self.add("llm", reject)
        response = await self.call("/stream/")
        self.assertEqual((response.status, response.body), (400, b"no"))


if __name__ == "__main__":
    unittest.main()
