"""Tests with servers that send a refusal once more on a connection that is used again."""

from __future__ import annotations

import asyncio
import unittest

from gateway_case import (
    REQUEST_ID,
    GatewayCase,
    full_response,
    signed_response,
)

NOT_EXECUTED = "x-sapphireledge-not-executed"


def refusal(request_id=None):
    headers = {NOT_EXECUTED: "1"}
    if request_id is not None:
        headers[REQUEST_ID] = request_id
    return full_response(503, headers, b"")


class RepeatedRefusalTest(GatewayCase):
    """Guards against "not run" for a request that a server runs, after a copy of a refusal."""

    async def check_second_request(self, copy, path="/once/"):
        """Repeats the refusal of the first request just before the answer to the second one."""
        runs = []

        async def handle(request, writer):
            if not runs:
                runs.append("refused")
                writer.write(refusal(request.headers[REQUEST_ID]))
                return
            runs.append(request.headers[REQUEST_ID])
            writer.write(copy(request))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.write(signed_response(request, b"done"))

        await self.add("app", handle)
        first = await self.call(path)
        second = await self.call(path)
        self.assertEqual(first.status, 503)
        self.assertIn(second.status, (200, 502))
        self.assertEqual(len(runs), 2, "the request ran twice")
        return second

    async def test_copy_with_the_id_of_the_refused_request(self):
        second = await self.check_second_request(lambda request: refusal("id1"))
        self.assertEqual((second.status, second.body), (200, b"done"))

    async def test_copy_without_an_id(self):
        await self.check_second_request(lambda request: refusal())

    async def test_copy_for_the_same_request_sent_again(self):
        """The same request, sent again with its id, must not meet the copy of its own refusal."""
        runs = []

        async def handle(request, writer):
            if not runs:
                runs.append("refused")
                writer.write(refusal(request.headers[REQUEST_ID]))
                await writer.drain()
                return
            runs.append(writer)
            writer.write(refusal(request.headers[REQUEST_ID]) if runs[1:] == [first[0]] else b"")
            writer.write(signed_response(request, b"done"))

        first = []

        async def remember(request, writer):
            first.append(writer)
            await handle(request, writer)

        await self.add("app", remember)
        await self.call("/once/", x_sapphireledge_request_id="same")
        second = await self.call("/once/", x_sapphireledge_request_id="same")
        self.assertEqual((second.status, second.body), (200, b"done"))


if __name__ == "__main__":
    unittest.main()
