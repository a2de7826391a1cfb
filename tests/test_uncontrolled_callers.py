"""Tests that crowds of callers that nobody controls do not end an instance.

Each test starts the instance as a process with the limits of a small machine. Crowds and bounds are
fixed. The tests run after all others, so that they have the machine to themselves.
"""

from __future__ import annotations

import unittest

import caller_crowd as crowd
from crowd_case import FEED_PORT, FRONT_PORT, METRICS_PORT, READY_PORT, CrowdCase

NO_ROUTE = ("a path without a route", FRONT_PORT, b"/nowhere/x")
READY = ("readiness", READY_PORT, b"/ready")
METRICS = ("metrics", METRICS_PORT, b"/metrics")
FEED = ("followers", FEED_PORT, b"")


def route(path):
    """Returns the place of a route; the path decides how the backend server answers."""
    return ("a route", FRONT_PORT, b"/plain/" + path)


def http_places(path=b"quick"):
    return (route(path), NO_ROUTE, READY, METRICS)


class MemoryTest(CrowdCase):
    """Guards against crowds that make a process hold more memory than its machine has."""

    async def test_bodies_that_stop_short(self):
        for place in http_places():
            await self.check_crowd(
                *place,
                (crowd.body_in_one_piece, 10),
                (crowd.body_in_small_pieces, 7),
                (crowd.body_in_chunks, 7),
            )
        await self.check_crowd(*FEED, (crowd.message_that_stops, 400))

    async def test_bodies_over_the_limit(self):
        for place in http_places():
            await self.check_crowd(*place, (crowd.body_over_the_limit, 12))
        await self.check_crowd(*FEED, (crowd.message_over_the_limit, 12))

    async def test_requests_of_short_fields(self):
        for place in http_places(b"slow"):
            await self.check_crowd(
                *place,
                (crowd.whole_head_of_short_fields, 75),
                (crowd.short_fields_and_a_body_that_stops, 75),
            )
        await self.check_crowd(*FEED, (crowd.message_of_short_fields, 150))

    async def test_keyed_requests_of_short_fields(self):
        await self.check_crowd(*route(b"slow"), (crowd.keyed_request_of_short_fields, 150))

    async def test_heads_that_stop(self):
        for place in http_places():
            await self.check_crowd(*place, (crowd.head_that_stops, 600))
        await self.check_crowd(*FEED, (crowd.half_a_length, 600))

    async def test_requests_sent_ahead(self):
        for place in http_places():
            await self.check_crowd(*place, (crowd.requests_sent_ahead, 200))
        await self.check_crowd(*FEED, (crowd.messages_sent_ahead, 200))

    async def test_slow_senders(self):
        for place in http_places():
            await self.check_crowd(
                *place, (crowd.slow_head, 200), (crowd.slow_body, 200), (crowd.half_a_line, 200)
            )
        await self.check_crowd(*FEED, (crowd.slow_message, 400))

    async def test_answers_that_are_not_read(self):
        for place in http_places(b"large"):
            await self.check_crowd(
                *place, (crowd.answer_never_read, 20), (crowd.answer_read_slowly, 10)
            )
        await self.check_crowd(*FEED, (crowd.messages_sent_ahead, 30))


class DescriptorTest(CrowdCase):
    """Guards against crowds that take all descriptors of a process."""

    max_fds = 456

    async def test_idle_connections(self):
        for place in (*http_places(), FEED):
            await self.check_crowd(*place, (crowd.idle, 400))

    async def test_idle_connections_at_all_addresses(self):
        await self.start()
        crowds = [crowd.Crowd((self.host, port)) for _, port, _ in (NO_ROUTE, READY, METRICS, FEED)]
        try:
            for each in crowds:
                await each.act(crowd.half_a_line, 100, b"/ready", 1.0)
            await self.check_crowd(*NO_ROUTE, (crowd.idle, 300))
        finally:
            for each in crowds:
                await each.close()


class LegalRequestTest(CrowdCase):
    """Guards against limits that a single request inside the limits of the callers meets."""

    memory_mb = 88

    async def test_requests_at_the_limits(self):
        await self.start()
        fields = b"a:\r\n" * 4_000
        head = crowd.head(b"/plain/quick", b"content-length: 4194304")
        body = bytes(crowd.LEGAL_BODY)
        self.assertLessEqual(len(head + b"\r\n"), 16_384)
        for name, data in (
            ("body", head + b"\r\n" + body),
            ("fields", head.replace(b"4194304", b"0") + fields[: 16_382 - len(head)] + b"\r\n"),
            ("both", head + fields[: 16_380 - len(head)] + b"\r\n" + body),
        ):
            with self.subTest(name):
                self.received.clear()
                self.assertIn(b" 200 ", await self.ask(FRONT_PORT, data))
                (request,) = self.received
                if name != "fields":
                    self.assertEqual(len(request.body), crowd.LEGAL_BODY)
                if name != "body":
                    self.assertEqual(request.headers["a"], "")


if __name__ == "__main__":
    unittest.main()
