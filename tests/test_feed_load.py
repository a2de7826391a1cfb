"""Tests of the load that the feed carries between instances, over sockets."""

from __future__ import annotations

import asyncio
import unittest
from math import inf, nan
from random import Random
from typing import Any
from unittest import mock

import msgspec
import structlog
from test_feed import FeedInstance, MemoryStore, free_ports

from sapphireledge.core.shared_load import (
    LoadDigest,
    MergedLoad,
    ServiceLoad,
    SharedLoad,
    SharedLoadLimits,
    WorkspaceStreams,
    trim_load,
)
from sapphireledge.core.waiting import WaitingLimits, WaitingLine, WaitingWork
from sapphireledge.feed.feed_channel import encode_message, read_message, write_message
from sapphireledge.feed.feed_follower import FeedFollower
from sapphireledge.feed.feed_message import FeedRequest, KindReply
from sapphireledge.feed.feed_server import MAX_REQUEST_BYTES
from sapphireledge.gateway import GatewayEvent, GatewayMetrics, LoadExchange
from sapphireledge.gateway.load_codec import (
    MAX_LOAD_BYTES,
    decode_digest,
    decode_merged,
    encode_digest,
    encode_merged,
)
from sapphireledge.gateway.load_telemetry import LoadTelemetry

LIMITS = SharedLoadLimits()


class OldRequest(msgspec.Struct, frozen=True):
    """Request as instances sent it before they shared load."""

    revisions: dict[str, int | None]
    at_once: bool = False
    epoch: int | None = None


class OldReply(msgspec.Struct, frozen=True):
    """Reply as instances sent it before they shared load."""

    waited: float
    kinds: dict[str, Any]
    epoch: int | None = None


class SharingInstance(FeedInstance):
    """An instance that has started one stream of its own workspace."""

    def __init__(self, store, name, link_mbps, peers, port, **overrides):
        self.metrics = GatewayMetrics()
        self.shared = SharedLoad(LIMITS)
        self.exchange = LoadExchange(name, self.shared, LoadTelemetry(self.metrics))
        line = WaitingLine(WaitingLimits(), Random(1))
        work = WaitingWork(0, 1.0, 2.0, 3.0, workspace=f"of-{name}", tokens=1000)
        now = asyncio.get_running_loop().time()
        line.on_arrival(now, work)
        line.on_start(now, work)
        self.exchange.add_line("engines", line)
        super().__init__(store, name, link_mbps, peers, port, self.exchange, **overrides)

    def usage(self):
        return self.shared.usage(asyncio.get_running_loop().time())


class FeedLoadTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store, self.peers, self.instances = MemoryStore(), [], []

    async def asyncTearDown(self):
        for instance in self.instances:
            instance.task.cancel()
        tasks = [instance.task for instance in self.instances]
        await asyncio.gather(*tasks, return_exceptions=True)

    def start(self, count, kind=SharingInstance):
        ports = free_ports(count)
        for number, port in enumerate(ports):
            self.instances.append(kind(self.store, f"i{number}", 100.0 - number, self.peers, port))

    async def wait_until(self, condition, seconds=6.0):
        async with asyncio.timeout(seconds):
            while not condition():
                await asyncio.sleep(0.02)

    async def test_load_of_a_follower_reaches_the_others_through_the_relay(self):
        self.start(3)
        names = {f"of-i{number}" for number in range(3)}
        await self.wait_until(
            lambda: all(
                set(instance.usage()) == names - {f"of-i{number}"}
                for number, instance in enumerate(self.instances)
            )
        )
        self.assertTrue(
            self.instances[0].shared.summary(asyncio.get_running_loop().time()).is_relay
        )
        page = self.instances[1].metrics.render().decode()
        self.assertIn("sapphireledge_shared_load_instances 2.0", page)
        self.assertLess(self.instances[2].shared.age(asyncio.get_running_loop().time()), 2.0)

    async def test_load_passes_the_next_relay_after_the_first_is_lost(self):
        self.start(3)
        await self.wait_until(lambda: len(self.instances[2].usage()) == 2)
        self.instances[0].task.cancel()
        await self.wait_until(
            lambda: set(self.instances[1].usage()) == {"of-i2"}
            and set(self.instances[2].usage()) == {"of-i1"},
            10.0,
        )

    async def test_older_follower_is_served_without_load(self):
        self.start(1)
        await self.wait_until(lambda: self.instances[0].listener.objects)
        port = self.instances[0].cfg.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        write_message(writer, OldRequest({"servers": None}, True))
        reply = await read_message(reader, OldReply)
        self.assertIn("servers", reply.kinds)
        writer.close()

    async def test_older_relay_is_followed_without_load(self):
        received = asyncio.Event()

        async def serve(reader, writer):
            request = await read_message(reader, OldRequest, MAX_REQUEST_BYTES)
            received.set()
            kinds = {"servers": KindReply(7, 0.0, True, [])}
            write_message(writer, OldReply(0.0, kinds, request.epoch))
            writer.close()

        (port,) = free_ports(1)
        server = await asyncio.start_server(serve, "127.0.0.1", port)
        self.start(1)
        follower = self.instances[0]
        peer = type("Peer", (), {"host": "127.0.0.1", "port": port, "name": "old"})
        reason = await follower.runner._follower.follow(peer, once=True)
        self.assertEqual(reason, "")
        self.assertTrue(received.is_set())
        self.assertEqual(follower.usage(), {})
        server.close()

    async def test_malformed_load_ends_nothing_else(self):
        self.start(1)
        await self.wait_until(lambda: self.instances[0].listener.objects)
        port = self.instances[0].cfg.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        wrong = (b"", b"\xc1", b"\x93\x01\x02\x03", "text", 7, [1, [2]], b"\x90" * 3_000)
        with structlog.testing.capture_logs() as lines:
            for load in wrong:
                write_message(writer, FeedRequest({"servers": None}, True, load=load))
                self.assertIn("servers", (await read_message(reader, OldReply)).kinds)
            for load in wrong:
                self.instances[0].exchange.on_reply(load)
        events = [line["event"] for line in lines]
        self.assertEqual(events.count(GatewayEvent.LOAD_UNREADABLE), 1)
        self.assertEqual(self.instances[0].usage(), {})
        writer.close()

    async def test_token_count_of_a_caller_costs_no_replies(self):
        self.start(2)
        await self.wait_until(lambda: set(self.instances[1].usage()) == {"of-i0"})
        now = asyncio.get_running_loop().time()
        for instance in self.instances:
            line = WaitingLine(WaitingLimits(), Random(1))
            work = WaitingWork(0, 1.0, 2.0, 3.0, workspace="large", tokens=10**30)
            line.on_arrival(now, work)
            line.on_start(now, work)
            instance.exchange.add_line("x", line)
        follower = self.instances[1].runner._follower
        await self.wait_until(lambda: "large" in self.instances[0].usage())
        count = follower.reply_count
        await self.wait_until(lambda: follower.reply_count > count + 1)
        await self.wait_until(lambda: "large" in self.instances[1].usage())

    async def test_connection_speaks_for_one_instance(self):
        self.start(1)
        await self.wait_until(lambda: self.instances[0].listener.objects)
        port = self.instances[0].cfg.port
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        for number in range(5):
            services = {"s": ServiceLoad({f"w{number}": WorkspaceStreams(9.0, 1.0, 1.0)})}
            data = encode_digest(LoadDigest(f"f{number}", 1, 1, services))
            write_message(writer, FeedRequest({"servers": None}, True, load=data))
            await read_message(reader, OldReply)
        await asyncio.sleep(2.0 * LIMITS.merge_interval)
        self.assertEqual(set(self.instances[0].usage()), {"w0"})
        writer.close()


class FailureTest(unittest.TestCase):
    """Guards against load figures that end the connection on which objects arrive."""

    def setUp(self):
        self.shared = SharedLoad(LIMITS)
        self.exchange = LoadExchange("i0", self.shared, LoadTelemetry(GatewayMetrics()))

    def test_failure_costs_only_the_load(self):
        data = encode_digest(LoadDigest("i1", 1, 1, {}))
        calls = (
            lambda: self.exchange.describe(),
            lambda: self.exchange.answer("i1"),
            lambda: self.exchange.on_request(data),
            lambda: self.exchange.on_reply(encode_merged(MergedLoad(1, 0.0, {}))),
        )
        broken = mock.Mock(side_effect=ArithmeticError("broken"))
        self.exchange.add_line("s", mock.Mock(streams=broken))
        self.shared.on_digest = self.shared.on_relayed = broken
        for call in calls:
            self.exchange._telemetry = LoadTelemetry(GatewayMetrics())
            with self.subTest(call=call), structlog.testing.capture_logs() as lines:
                self.assertIsNone(call())
                (line,) = lines
                self.assertEqual(line["event"], GatewayEvent.LOAD_UNREADABLE)
                self.assertIn("broken", line["reason"])

    def test_digest_above_the_limit_is_left_out(self):
        with structlog.testing.capture_logs() as lines:
            self.assertIsNotNone(self.exchange.describe(100))
            self.assertIsNone(self.exchange.describe(5))
        self.assertEqual([line["event"] for line in lines], [GatewayEvent.LOAD_UNREADABLE])

    def test_workspace_that_is_no_text_is_left_out(self):
        streams = {name: WorkspaceStreams(9.0, 1.0, 1.0) for name in ("w\udc80", "w")}
        trimmed = trim_load({"s": ServiceLoad(streams)}, LIMITS.max_services, LIMITS.digest_rows)
        self.assertEqual(set(trimmed["s"].streams), {"w"})

    def test_extreme_amounts_stay_readable(self):
        for amount in (-1.0, nan, inf, 1e12, 1e30, 10**400):
            row, key = WorkspaceStreams(amount, amount, amount), (0, "w")
            load = {"s": ServiceLoad({"w": row}, {key: amount}, amount, amount, amount)}
            digest = decode_digest(encode_digest(LoadDigest("i", 1, 1, load)))
            merged = decode_merged(encode_merged(MergedLoad(10**30, amount, load)))
            for decoded in (digest.services["s"], merged.services["s"]):
                tokens = min(amount, 2.0**40) if amount > 0.0 else 0.0
                tenths = 2.0**40 / 10.0 if amount > 0.0 else 0.0
                self.assertEqual(decoded.streams["w"], WorkspaceStreams(tokens, tenths, tenths))
                self.assertEqual(decoded.arrivals[key], tenths)
                self.assertEqual(decoded.response_time, tenths)


class SizeTest(unittest.TestCase):
    """Guards against messages that grow with the number of workspaces or instances."""

    def services(self, name):
        return {
            f"s{service}".ljust(64, "s"): ServiceLoad(
                {name(number): WorkspaceStreams(1e6, 1e4, 1e4) for number in range(200)},
                {(number % 3, name(number)): 1e4 for number in range(200)},
                *(1e4, 1e4, 1e4),
            )
            for service in range(9)
        }

    def test_largest_messages_fit(self):
        services = self.services(lambda number: f"{number}".ljust(64, "w"))
        digest = trim_load(services, LIMITS.max_services, LIMITS.digest_rows)
        data = encode_digest(LoadDigest("i" * 64, 2**32 - 1, 2**32, digest))
        request = FeedRequest({f"kind-{n}" * 4: 2**40 for n in range(8)}, False, 2**40, load=data)
        self.assertLess(len(encode_message(request)), MAX_REQUEST_BYTES)
        merged = trim_load(services, LIMITS.max_services, LIMITS.merged_rows)
        self.assertLess(len(encode_merged(MergedLoad(10**6, 3.0, merged))), MAX_LOAD_BYTES)

    def test_request_with_many_kinds_is_sent_without_load(self):
        """Requests of 32 kinds with long names leave no place for a full digest."""
        exchange = LoadExchange("i0", SharedLoad(LIMITS), LoadTelemetry(GatewayMetrics()))
        line = mock.Mock()
        line.streams.return_value = {
            f"{n}".ljust(64, "w"): WorkspaceStreams(1e9, 1e9, 1e9) for n in range(200)
        }
        exchange.add_line("s", line)
        for kinds, is_sent in ((8, True), (32, False)):
            feeds = {
                f"{n}".ljust(90, "k"): mock.Mock(revision=2**40, newest=None) for n in range(kinds)
            }
            epoch = mock.Mock(current=2**40)
            follower = FeedFollower(mock.Mock(), feeds, epoch, exchange=exchange)
            request = follower._build_request(0.0, at_once=True)
            self.assertLessEqual(len(encode_message(request)), MAX_REQUEST_BYTES)
            self.assertEqual(request.load is not None, is_sent)

    def test_usual_messages_are_small(self):
        services = {"engines": self.services(lambda number: f"tenant-{number:03}").popitem()[1]}
        digest = trim_load(services, LIMITS.max_services, LIMITS.digest_rows)
        self.assertLess(len(encode_digest(LoadDigest("front-001", 2**31, 1000, digest))), 1_000)
        merged = trim_load(services, LIMITS.max_services, LIMITS.merged_rows)
        self.assertLess(len(encode_merged(MergedLoad(300, 1.0, merged))), 2_000)


if __name__ == "__main__":
    unittest.main()
