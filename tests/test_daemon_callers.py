"""Tests that crowds of callers that nobody controls do not end a `sapphireledged` process.

The daemon runs as a process with the limits of a small machine. Crowds and bounds are fixed. The
tests run after all others, so that they have the machine to themselves.
"""

from __future__ import annotations

import unittest

import caller_crowd as crowd
import thrift_crowd
from daemon_crowd_case import CALLER_PORT, OPERATOR_PORT, PEER_PORT, DaemonCrowdCase

SERVICE = b"/v1/services/app/"
NO_ROUTE = ("a path without a route", CALLER_PORT, b"/nowhere/x")
READY = ("readiness", CALLER_PORT, b"/readyz")
PEERS = ("peers", PEER_PORT, b"peer")
OPERATORS = ("operators", OPERATOR_PORT, b"operator")


def service(path):
    """Returns the place of a service; the path decides how the service answers."""
    return ("a service", CALLER_PORT, SERVICE + path)


def http_places(path=b"quick"):
    return (service(path), NO_ROUTE, READY)


class MemoryTest(DaemonCrowdCase):
    """Guards against crowds that make the daemon hold more memory than its machine has."""

    async def test_bodies_that_stop_short(self):
        for place in http_places():
            await self.check_crowd(
                *place,
                (crowd.mebibyte_in_one_piece, 60),
                (crowd.mebibyte_in_small_pieces, 30),
                (crowd.mebibyte_in_chunks, 30),
            )

    async def test_bodies_over_the_limit(self):
        for place in http_places():
            await self.check_crowd(*place, (crowd.body_over_the_limit, 40))

    async def test_generations_of_short_fields(self):
        place = ("a generation", CALLER_PORT, b"/v1/completions")
        await self.check_crowd(*place, (crowd.json_of_short_fields, 20))

    async def test_generations_of_callers_that_leave(self):
        place = ("a generation", CALLER_PORT, b"/v1/completions")
        await self.check_crowd(*place, (crowd.json_of_short_fields_and_leave, 20))

    async def test_requests_of_short_fields(self):
        for place in http_places(b"slow"):
            await self.check_crowd(
                *place,
                (crowd.whole_head_of_short_fields, 100),
                (crowd.short_fields_and_a_body_that_stops, 100),
            )

    async def test_heads_that_stop(self):
        for place in http_places():
            await self.check_crowd(*place, (crowd.head_that_stops, 600))

    async def test_requests_sent_ahead(self):
        for place in http_places():
            await self.check_crowd(*place, (crowd.requests_sent_ahead, 200))

    async def test_slow_senders(self):
        for place in http_places():
            await self.check_crowd(
                *place, (crowd.slow_head, 200), (crowd.slow_body, 200), (crowd.half_a_line, 200)
            )

    async def test_answers_that_are_not_read(self):
        for place in http_places(b"large"):
            await self.check_crowd(
                *place, (crowd.answer_never_read, 30), (crowd.answer_read_slowly, 10)
            )

    async def test_thrift_messages_that_stop(self):
        for place in (PEERS, OPERATORS):
            await self.check_crowd(*place, (thrift_crowd.hello_that_stops, 400))
            await self.check_crowd(*place, (thrift_crowd.hello_over_the_limit, 200))
            await self.check_crowd(*place, (thrift_crowd.message_that_stops, 40))
            await self.check_crowd(*place, (thrift_crowd.slow_hello, 400))

    async def test_thrift_calls_sent_ahead(self):
        for place in (PEERS, OPERATORS):
            await self.check_crowd(*place, (thrift_crowd.calls_sent_ahead, 200))


class DescriptorTest(DaemonCrowdCase):
    """Guards against crowds that take all descriptors of the daemon."""

    max_fds = 456

    async def test_idle_connections(self):
        for place in (service(b"quick"), PEERS, OPERATORS):
            await self.check_crowd(*place, (crowd.idle, 400))

    async def test_idle_connections_at_all_addresses(self):
        await self.start()
        crowds = [crowd.Crowd((self.host, port)) for _, port, _ in (PEERS, OPERATORS)]
        try:
            for each in crowds:
                await each.act(crowd.half_a_line, 100, b"/ready", 1.0)
            await self.check_crowd(*NO_ROUTE, (crowd.idle, 300))
        finally:
            for each in crowds:
                await each.close()


class LegalRequestTest(DaemonCrowdCase):
    """Guards against limits that a single request inside the limits of callers meets."""

    async def test_requests_at_the_limits(self):
        await self.start()
        fields = b"a:\r\n" * 3_900
        body = bytes(crowd.MEBIBYTE)
        key = b"idempotency-key: %s" % crowd.new_key()
        head = crowd.head(SERVICE + b"quick", b"content-length: %d" % crowd.MEBIBYTE, key)
        empty = crowd.head(SERVICE + b"quick", method=b"GET")
        for name, data in (
            ("body", head + b"\r\n" + body),
            ("fields", empty + fields[: 16_000 - len(empty)] + b"\r\n"),
        ):
            with self.subTest(name):
                self.assertIn(b" 200 ", await self.ask(CALLER_PORT, data))
        with self.subTest("generation"):
            data = crowd.generation_of_short_fields(b"/v1/completions", "unknown")
            self.assertIn(b" 404 ", await self.ask(CALLER_PORT, data))


if __name__ == "__main__":
    unittest.main()
