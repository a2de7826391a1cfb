"""Tests of crowds of full size at an instance with the limits of a real small machine.

Crowds and bounds are fixed. The tests run after all others, so that they have the machine to
themselves.
"""

from __future__ import annotations

import unittest

import caller_crowd as crowd
from crowd_case import FEED_PORT, FRONT_PORT, READY_PORT, CrowdCase

MEMORY_BOUND = 100_000_000
"""Memory in bytes that no crowd takes the process over."""

ROUTE = ("a route", FRONT_PORT, b"/plain/quick")
SLOW_ROUTE = ("a slow route", FRONT_PORT, b"/plain/slow")
LARGE_ROUTE = ("a route with large answers", FRONT_PORT, b"/plain/large")
NO_ROUTE = ("a path without a route", FRONT_PORT, b"/nowhere/x")
READY = ("readiness", READY_PORT, b"/ready")
FEED = ("followers", FEED_PORT, b"")


class SmallMachineTest(CrowdCase):
    """Guards against crowds that the lowered limits of the other tests don't show."""

    memory_mb = 128
    max_fds = 1_535

    @property
    def memory_bound(self):
        return MEMORY_BOUND / 1_048_576

    async def test_bodies_that_stop_short(self):
        for place in (ROUTE, NO_ROUTE):
            await self.check_crowd(
                *place,
                (crowd.body_in_one_piece, 100),
                (crowd.body_in_small_pieces, 50),
                (crowd.body_in_chunks, 50),
            )

    async def test_bodies_over_the_limit(self):
        await self.check_crowd(*ROUTE, (crowd.body_over_the_limit, 200))

    async def test_requests_of_short_fields(self):
        await self.check_crowd(
            *SLOW_ROUTE,
            (crowd.whole_head_of_short_fields, 300),
            (crowd.short_fields_and_a_body_that_stops, 300),
        )

    async def test_requests_sent_ahead(self):
        for place in (ROUTE, READY):
            await self.check_crowd(*place, (crowd.requests_sent_ahead, 400))

    async def test_slow_senders(self):
        await self.check_crowd(
            *ROUTE, (crowd.slow_head, 400), (crowd.slow_body, 400), (crowd.half_a_line, 400)
        )

    async def test_answers_that_are_not_read(self):
        await self.check_crowd(
            *LARGE_ROUTE, (crowd.answer_never_read, 200), (crowd.answer_read_slowly, 100)
        )

    async def test_idle_connections(self):
        for place in (ROUTE, READY, FEED):
            await self.check_crowd(*place, (crowd.idle, 1_400))

    async def test_messages_to_followers(self):
        await self.check_crowd(*FEED, (crowd.message_that_stops, 400))
        await self.check_crowd(*FEED, (crowd.messages_sent_ahead, 400))


if __name__ == "__main__":
    unittest.main()
