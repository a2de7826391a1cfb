"""Tests with streams that break off and engines that answer their resumption with an error."""

from __future__ import annotations

import asyncio
import unittest

from gateway_case import (
    REQUEST_ID,
    SEAL,
    GatewayCase,
    chunk,
    event,
    full_response,
    signed_response,
    stream_head,
)

END = b"0\r\n\r\n"


class ErrorAfterBreakTest(GatewayCase):
    """Guards against the text of an error, or a complete end, in a stream that broke off."""

    async def check_second_engine(self, answer):
        async def broken(request, writer):
            writer.write(stream_head(request))
            for number in range(4):
                writer.write(chunk(event(number)))
            await writer.drain()
            await asyncio.sleep(0.05)
            writer.transport.abort()

        async def failing(request, writer):
            writer.write(answer(request))
            await writer.drain()

        await self.add("llm", broken)
        await self.add("llm", failing, "dc-b")
        response = await self.call("/stream/")
        self.assertFalse(response.complete, response.body)
        self.assertEqual(response.body, b"".join(event(number) for number in range(4)))

    async def test_error_statuses(self):
        for status in (400, 404, 500, 503):
            with self.subTest(status):
                await self.check_second_engine(
                    lambda request, status=status: signed_response(request, b"no such run", status)
                )
                self.remove_servers()

    async def test_error_text_with_a_good_status(self):
        text = b"internal error: no such run\n\n"
        headers = {"content-type": "text/plain", SEAL: "t"}
        for name, answer in {
            "with a length": lambda r: full_response(
                200, {**headers, REQUEST_ID: r.headers[REQUEST_ID]}, text
            ),
            "in chunks": lambda r: stream_head(r).replace(b"event-stream", b"plain")
            + chunk(text)
            + END,
        }.items():
            with self.subTest(name):
                await self.check_second_engine(answer)
                self.remove_servers()

    async def test_error_event_without_a_number(self):
        """An event without an id cannot be placed in a stream whose events have ids."""
        await self.check_second_engine(
            lambda r: stream_head(r) + chunk(b"event: error\ndata: no such run\n\n") + END
        )

    def remove_servers(self):
        for server in self.servers:
            self.gateway.context.registry.remove(server.server_id)


if __name__ == "__main__":
    unittest.main()
