"""Tests of the gateway with prompts that engines keep and with the lengths of prompts."""

from __future__ import annotations

from dataclasses import replace

from gateway_case import GatewayCase
from test_gateway_stream import streaming_engine

from sapphireledge.core.placement import PromptPart
from sapphireledge.platform.decode_report import decode_report
from sapphireledge.platform.platform_dialect import PlatformDialect

TOKENS = "x-sapphireledge-token-count"
PARTS = "x-sapphireledge-prefix-hash"


class KeptPromptTest(GatewayCase):
    async def send_turns(self, count):
        """Sends streams that share a part; returns how many each engine received."""
        for _ in range(5):
            await self.add("llm", streaming_engine(0, 1))
        for turn in range(count):
            headers = {PARTS: f"aa:100,bb:4000,c{turn}:900", TOKENS: "5000,10"}
            self.assertTrue((await self.call("/stream/", **headers)).complete)
            # The dispatches that reports lack would spread the streams.
            self.gateway._streams._selector._recent_dispatches.clear()
        return sorted(len(server.received) for server in self.servers)

    async def test_streams_that_share_a_part_go_to_the_engine_that_keeps_it(self):
        """Guards against processing the shared part of a prompt at every engine."""
        self.assertEqual(await self.send_turns(6), [0, 0, 0, 0, 6])
        metrics = self.gateway.telemetry._metrics.render().decode()
        self.assertIn('sapphireledge_prompt_choices_total{choice="for"} 6.0', metrics)
        self.assertRegex(metrics, r'sapphireledge_prompt_tokens_total\{use="kept"\} [1-9]')

    async def test_setting_switches_it_off(self):
        self.gateway.reconfigure(replace(self.cfg, uses_kept_prompts=False))
        self.assertLess((await self.send_turns(6))[-1], 6)
        metrics = self.gateway.telemetry._metrics.render().decode()
        self.assertNotIn("choice=", metrics)

    async def test_prompt_in_progress_counts(self):
        """Guards against taking an engine that processes a prompt for one that only generates."""
        busy = await self.add("llm", streaming_engine(0, 1))
        idle = await self.add("llm", streaming_engine(0, 1))
        busy.load = {"running": 1, "runs": [], "kv_used": 9000, "kv_total": 88000}
        runs = [[f"r{number}", 9000, 40, 5] for number in range(2)]
        idle.load = {"running": 2, "runs": runs, "kv_used": 18000, "kv_total": 88000}
        await self.call("/stream/", **{TOKENS: "8000,10"})
        self.assertEqual((len(busy.received), len(idle.received)), (0, 1))


class DecodingTest(GatewayCase):
    async def test_parts_have_their_lengths(self):
        headers = ((PARTS.encode(), b"5c1e:800, 91bd:410,e440:250"),)
        request = PlatformDialect().decode_request(b"POST", b"/", headers, b"", 0.0)
        self.assertEqual(
            request.parts,
            (PromptPart("5c1e", 800), PromptPart("91bd", 410), PromptPart("e440", 250)),
        )
        self.assertEqual((request.shared_parts, request.affinity), (("5c1e", "91bd"), "e440"))
        odd = ((PARTS.encode(), b"5c1e:x,91bd"),)
        request = PlatformDialect().decode_request(b"POST", b"/", odd, b"", 0.0)
        self.assertEqual([part.tokens for part in request.parts], [0, 0])
        self.assertEqual(PlatformDialect().decode_request(b"POST", b"/", (), b"", 0.0).parts, ())
        many = ((PARTS.encode(), b",".join(b"a%d:9" % part for part in range(3_000))),)
        request = PlatformDialect().decode_request(b"POST", b"/", many, b"", 0.0)
        self.assertLess(len(request.parts), 100)
        long_id = ((PARTS.encode(), b"a" * 10_000 + b":9,b:9"),)
        request = PlatformDialect().decode_request(b"POST", b"/", long_id, b"", 0.0)
        self.assertEqual(request.parts, ())

    async def test_caller_cannot_distort_the_typical_length(self):
        """Guards against one request after which all engines look idle."""
        estimator = self.gateway.context.first_event_estimator("llm")
        await self.add("llm", streaming_engine(0, 1))
        await self.call("/stream/", **{TOKENS: "999999999999999999,10"})
        for _ in range(40):
            estimator.observe_length(8_000)
        self.assertLess(estimator.typical_tokens, 12_000)

    async def test_tokens_ahead_come_from_the_report(self):
        """An engine lists a run from its first event on; the rest is the prompt in progress."""
        load = decode_report(
            b'{"waiting":2,"running":2,"kv_used":30000,"kv_total":88000,"held":9000,"pinned":1000,'
            b'"next":5000,"runs":[["a",8000,3,1]]}'
        )
        self.assertEqual((load.prefilling, load.prefill_tokens), (1, 12_000))
        self.assertEqual(load.count_tokens_ahead(8_000), 6_000 + 5_000 + 8_000)
        self.assertEqual(decode_report(b'{"running":3}').prefilling, 0)
        odd = decode_report(b'{"waiting":1,"held":[],"pinned":null,"next":"x","runs":[]}')
        self.assertEqual(odd.count_tokens_ahead(8_000), 8_000)
