"""Tests of the load generator against a scripted entry and an engine stand-in."""

from __future__ import annotations

import asyncio

import msgspec
from standin_case import StandinCase
from starlette.applications import Starlette
from starlette.responses import JSONResponse, StreamingResponse
from starlette.routing import Route

from bench.load import CallerGroup, LoadOptions, run_load
from sapphireledge.backends import prompt_text
from sapphireledge_standins.chained_answer import TokenChain
from sapphireledge_standins.standin_server import StandinServer

FAULT_OFFSET = 4
"""Number of tokens after which the scripted entry injects its fault."""


class ScriptedEntry:
    """Entry that generates chained answers and injects one kind of fault."""

    def __init__(self, fault: str) -> None:
        self.fault = fault
        self.answers: dict[str, list[str]] = {}
        self.received_headers: list[dict[str, str]] = []
        self.app = Starlette(routes=[Route("/v1/chat/completions", self.answer, methods=["POST"])])

    async def answer(self, request):
        headers = dict(request.headers)
        repeated = headers["x-request-id"] in self.answers
        self.received_headers.append(headers)
        if self.fault == "refuse":
            return JSONResponse({"error": {"kind": "would_be_late", "ran": "no"}}, 429)
        if self.fault == "moved" and repeated and len(self.received_headers) < 4:
            return JSONResponse({"error": {"kind": "answer_moved"}}, 503)
        body = msgspec.json.decode(await request.body())
        tokens = self.answers.get(headers["x-request-id"])
        if tokens is None or self.fault == "restart":
            chain, total = TokenChain("e1", prompt_text(body)), body["max_tokens"]
            tokens = [chain.next_token(number == total - 1) for number in range(total)]
            self.answers[headers["x-request-id"]] = tokens
        start = int(headers.get("last-event-id", "0.x").split(".")[0])
        kind = "new" if not repeated or self.fault == "restart" else "continued"
        stream = self.events(tokens, start)
        return StreamingResponse(stream, headers={"X-Answer": kind}, media_type="text/event-stream")

    async def events(self, tokens, start):
        for offset in range(start, len(tokens)):
            # An attempt may time out before its first event; the next one gets the fault, too.
            if offset == FAULT_OFFSET and start == 0 and self.fault not in ("", "repeat"):
                if self.fault == "silent":
                    await asyncio.sleep(60)
                if self.fault == "error":
                    yield 'data: {"error": {"kind": "version_gone"}}\n\n'
                return
            choice = {"index": 0, "delta": {"content": tokens[offset]}, "finish_reason": None}
            data = msgspec.json.encode({"choices": [choice]}).decode()
            event = f"id: {offset + 1}.d\ndata: {data}\n\n"
            yield event * 2 if self.fault == "repeat" and offset == FAULT_OFFSET else event
        yield 'data: {"choices": [{"index": 0, "delta": {}, "finish_reason": "length"}]}\n\n'
        yield "data: [DONE]\n\n"


class LoadToolTest(StandinCase):
    """Guards against faulty answers that are counted as complete, and against lost results."""

    async def run_against(self, address: str, direct=False) -> dict:
        options = LoadOptions((address,), direct, reconnect_limit=1.0, read_timeout=0.3)
        group = CallerGroup(rate=20.0, duration=0.3, rank="urgent", output_tokens=10)
        return (await run_load([group], options))["groups"][0]

    async def run_scripted(self, fault: str) -> tuple[dict, ScriptedEntry]:
        entry = ScriptedEntry(fault)
        server = StandinServer(entry.app)
        await server.start()
        self.addAsyncCleanup(server.stop)
        return await self.run_against(server.address), entry

    async def test_each_fault_has_its_own_result(self):
        kinds = {
            "": "complete",
            "cut": "complete",
            "moved": "complete",
            "silent": "complete",
            "refuse": "would_be_late",
            "error": "version_gone",
            "restart": "restarted",
            "repeat": "not_intact",
        }
        for fault, kind in kinds.items():
            with self.subTest(fault=fault):
                result, _ = await self.run_scripted(fault)
                self.assertEqual(set(result["kinds"]), {kind}, result)
                self.assertEqual(bool(result["problems"]), fault == "repeat")

    async def test_reconnect_names_request_and_position(self):
        result, entry = await self.run_scripted("cut")
        self.assertEqual({headers["x-rank"] for headers in entry.received_headers}, {"urgent"})
        reconnects = [headers for headers in entry.received_headers if "last-event-id" in headers]
        self.assertEqual(
            {headers["last-event-id"] for headers in reconnects}, {f"{FAULT_OFFSET}.d"}
        )
        ids = {headers["x-request-id"] for headers in entry.received_headers}
        self.assertEqual({headers["x-request-id"] for headers in reconnects}, ids)
        self.assertEqual(result["reconnects"], len(reconnects))
        self.assertEqual(result["reconnect_gap_ms"]["count"], len(reconnects))

    async def test_works_directly_against_an_engine(self):
        engine = await self.start_engine()
        result = await self.run_against(engine.server.address, direct=True)
        self.assertEqual(set(result["kinds"]), {"complete"})
        self.assertEqual(result["tokens"], engine.state.tokens_generated)
        engine.set_faults(repeat_token=5)
        result = await self.run_against(engine.server.address, direct=True)
        self.assertEqual(set(result["kinds"]), {"not_intact"})
        engine.server.abort()
        result = await self.run_against(engine.server.address, direct=True)
        self.assertEqual(set(result["kinds"]), {"broken"})
