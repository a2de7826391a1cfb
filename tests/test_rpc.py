"""Tests of the Thrift client and server."""

from __future__ import annotations

import asyncio
import resource
import struct
import time
import unittest

import structlog
from hypothesis import given
from hypothesis import strategies as st
from thriftpy2.thrift import TApplicationException

from sapphireledge.errors import Failure
from sapphireledge.rpc import (
    RpcError,
    RpcLimits,
    ThriftConnection,
    ThriftServer,
    load_schema,
    secret_matches,
)
from sapphireledge.settings import Address

OPERATOR = load_schema("operator")
LIMITS = RpcLimits(max_message=100_000, hello_timeout=2.0, message_timeout=0.3)


def setUpModule():
    before = structlog.get_config()
    unittest.addModuleCleanup(structlog.configure, **before)
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))


class Handler:
    """Operator handler with only the methods that the tests call."""

    async def hello(self, secret, who):
        if not secret_matches("secret", secret):
            raise OPERATOR.OperatorError("unauthenticated", "wrong secret")

    async def list_declarations(self, kind):
        if kind == "fault":
            raise KeyError(kind)
        await asyncio.sleep(float(kind or 0))
        return [OPERATOR.Declaration(kind="rank", name=kind)]


def call_header(name: str, sequence: int = 1) -> bytes:
    return struct.pack("!Ii", 0x80010001, len(name)) + name.encode() + struct.pack("!i", sequence)


class RpcTest(unittest.IsolatedAsyncioTestCase):
    """Guards against connections that exhaust the process or bypass authentication."""

    async def asyncSetUp(self):
        address = Address(port=0)
        self.server = ThriftServer(
            OPERATOR.Operator, lambda _: Handler(), address, "secret", LIMITS
        )
        self.assertIsNone(await self.server.start())

    async def asyncTearDown(self):
        await self.server.stop()

    async def open(self, secret: str | None = "secret") -> ThriftConnection:
        address = f"127.0.0.1:{self.server.port}"
        conn = await ThriftConnection.open(OPERATOR.Operator, address, LIMITS, 1.0)
        if secret is not None:
            await conn.call("hello", secret, "me", timeout=1.0)
        return conn

    async def send_raw(self, data: bytes, hello: bool = True, first: int = 0) -> bytes:
        """Sends bytes, optionally the first ones separately, and reads until the server closes."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        if hello:
            fields = b"".join(
                struct.pack("!bhi", 11, number, len(text)) + text
                for number, text in ((1, b"secret"), (2, b"me"))
            )
            writer.write(call_header("hello") + fields + b"\0")
            await reader.read(1_000)
        if first:
            writer.write(data[:first])
            await asyncio.sleep(0.02)
        writer.write(data[first:])
        try:
            async with asyncio.timeout(3.0):
                return await reader.read()
        except ConnectionResetError:
            return b""
        finally:
            writer.close()

    async def test_wrong_secret_is_refused_and_closed(self):
        with self.assertRaises(OPERATOR.OperatorError) as refused:
            await self.open("other")
        self.assertEqual(refused.exception.kind, "unauthenticated")
        conn = await self.open(None)
        with self.assertRaises(RpcError):
            await conn.call("list_declarations", "", timeout=1.0)

    async def test_hello_has_a_smaller_size_limit(self):
        with self.assertRaises(RpcError):
            await self.open("x" * 20_000)

    async def test_call_before_hello_does_not_reach_the_handler(self):
        self.assertEqual(await self.send_raw(call_header("status") + b"\0", hello=False), b"")

    async def test_port_outside_loopback_needs_a_secret(self):
        server = ThriftServer(OPERATOR.Operator, lambda _: Handler(), Address("0.0.0.0", 0), "")
        self.assertIsInstance(await server.start(), Failure)
        self.assertEqual(server.port, 0)

    async def test_missing_fields_have_empty_values(self):
        conn = await self.open()
        (declaration,) = await conn.call("list_declarations", "0", timeout=1.0)
        self.assertEqual((declaration.spec, declaration.version), ("", 0))
        conn.close()

    async def test_handler_exception_is_returned_and_keeps_the_connection(self):
        conn = await self.open()
        with self.assertRaises(TApplicationException):
            await conn.call("list_declarations", "fault", timeout=1.0)
        self.assertEqual(len(await conn.call("list_declarations", "0", timeout=1.0)), 1)
        conn.close()

    async def test_late_reply_is_not_returned_to_the_next_call(self):
        conn = await self.open()
        with self.assertRaises(RpcError):
            await conn.call("list_declarations", "0.2", timeout=0.05)
        await asyncio.sleep(0.3)
        with self.assertRaises(RpcError):
            await conn.call("list_declarations", "0", timeout=1.0)

    async def test_reply_with_wrong_sequence_number_is_rejected(self):
        async def answer(reader, writer):
            await reader.read(1_000)
            # A valid reply without a result, to an earlier call.
            writer.write(call_header("hello", 7).replace(b"\x80\x01\0\x01", b"\x80\x01\0\x02"))
            writer.write(b"\0")

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
        conn = await ThriftConnection.open(OPERATOR.Operator, address, LIMITS, 1.0)
        with self.assertRaises(RpcError) as refused:
            await conn.call("hello", "secret", "me", timeout=1.0)
        self.assertIn("instead of", str(refused.exception))
        self.assertFalse(conn.transport.is_open())
        server.close()

    async def test_huge_lengths_close_the_connection_without_allocation(self):
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        huge = 2**31 - 1
        argument = struct.pack("!bh", 15, 1)
        messages = (
            struct.pack("!Ii", 0x80010001, huge),
            struct.pack("!Ii", 0x80010001, -5),
            call_header("apply") + struct.pack("!bhi", 11, 9, huge),
            # Elements of a known and of an unknown type; the decoder loops over the latter without
            # reading.
            call_header("diff") + argument + struct.pack("!bi", 12, huge),
            call_header("diff") + argument + struct.pack("!bi", 1, huge),
            call_header("diff")
            + argument
            + struct.pack("!bi", 15, 300)
            + struct.pack("!bi", 1, 20_000) * 300,
            call_header("diff") + argument + struct.pack("!bi", 12, -1),
            # One-byte structs, each of which takes hundreds of bytes once decoded.
            call_header("diff") + argument + struct.pack("!bi", 12, 99_000) + b"\0" * 99_000,
            call_header("apply") + struct.pack("!bh", 12, 1) * 5_000,
        )
        for message in messages:
            with self.subTest(message=message[:40]):
                self.assertEqual(await self.send_raw(message), b"")
                self.assertEqual(await self.send_raw(message, first=7), b"")
        (await self.open()).close()
        grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
        self.assertLess(grown, 20_000, "KB")

    async def test_long_value_is_not_buffered_beyond_its_limit(self):
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        started = time.monotonic()
        # The default timeouts are too long to close the connection before the length is rejected.
        self.server._limits = RpcLimits()
        _, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(call_header("hello"))
        await asyncio.sleep(0.05)
        writer.write(struct.pack("!bhi", 11, 1, 2**31 - 1))
        with self.assertRaises(ConnectionError):
            for _ in range(100):
                writer.write(b"x" * 1_000_000)
                await writer.drain()
        grown = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss - before
        self.assertLess(grown, 30_000, "KB")
        # The connection was closed because of the length, not by the hello timeout.
        self.assertLess(time.monotonic() - started, 1.5)
        writer.close()

    async def test_message_received_in_parts_is_reassembled(self):
        conn = await self.open()
        long = "0" * 90_000
        (declaration,) = await conn.call("list_declarations", long, timeout=2.0)
        self.assertEqual(declaration.name, long)
        conn.close()

    async def test_incomplete_message_times_out(self):
        self.assertEqual(await self.send_raw(call_header("apply")[:9]), b"")

    def test_random_bytes_do_not_end_the_server(self):
        junk = st.binary(max_size=300)
        call = st.sampled_from(["", "apply", "diff", "order"]).map(
            lambda name: call_header(name) if name else b""
        )

        @given(st.tuples(call, junk).map(b"".join), st.booleans())
        def check(data, hello):
            asyncio.run(self.survive(data, hello))

        check()

    async def survive(self, data: bytes, hello: bool):
        await self.asyncSetUp()
        self.server._limits = RpcLimits(100_000, 16_384, 0.02, 0.02, idle_timeout=0.02)
        try:
            await self.send_raw(data, hello)
            # The short limits are meant for the random bytes; this caller may be scheduled late.
            self.server._limits = LIMITS
            (await self.open()).close()
        finally:
            await self.asyncTearDown()
