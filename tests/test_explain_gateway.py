"""Tests of what a gateway says about where a request would go, without a network."""

from __future__ import annotations

import asyncio
import random
import time
import unittest
from dataclasses import replace

from explain_case import BUSY, IDLE, PLAIN, STREAM, ExplainCase
from gateway_case import KEY, STREAM_ROUTE, table

from sapphireledge.core.backpressure import ServerSignals
from sapphireledge.core.explanation import ExplainedOutcome, ServerRole
from sapphireledge.core.placement import PromptPart
from sapphireledge.core.quarantine import DeathRecord
from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.gateway import EngineLoad, WorkspaceKey, seconds_since_boot
from sapphireledge.gateway.explain_request import _build_request
from sapphireledge.gateway.plain_choice import PlainChoice
from sapphireledge.gateway.stream_progress import StreamProgress

PARTS = (PromptPart("handbook", 4_000), PromptPart("turn-1", 300))
DEATH_FIELDS = {"service": "llm"}


class RefusalTest(ExplainCase):
    """Guards against reasons that differ from what a caller would get."""

    async def assert_refused(self, question, check, kind):
        explanation = await self.explainer.explain(question)
        self.assertIs(explanation.outcome, ExplainedOutcome.REFUSED)
        self.assertEqual((explanation.checks[-1].name, explanation.failure.kind), (check, kind))
        self.assertTrue(all(check.passed for check in explanation.checks[:-1]))
        self.assertTrue(explanation.checks[-1].detail)
        return explanation

    async def test_configuration(self):
        self.gateway.config._confirmed_at = seconds_since_boot() - 9.0
        await self.assert_refused(STREAM, "configuration", ErrorKind.PLATFORM_UNAVAILABLE)
        self.gateway.config.table = None
        await self.assert_refused(STREAM, "configuration", ErrorKind.NOT_CONFIGURED)

    async def test_route_and_workspace(self):
        for changes in ({"host": "other.example"}, {"path": "/none/"}):
            await self.assert_refused(replace(STREAM, **changes), "route", ErrorKind.NOT_FOUND)
        stranger = replace(STREAM, workspace="stranger")
        found = await self.assert_refused(stranger, "workspace", ErrorKind.UNAUTHENTICATED)
        self.assertIn("stranger", found.failure.reason)

    async def test_service_that_is_not_declared(self):
        self.gateway.config.accept(replace(table(2), services={}))
        await self.assert_refused(STREAM, "service", ErrorKind.NO_BACKEND)

    async def test_drain(self):
        self.gateway.begin_stop()
        found = await self.explainer.explain(PLAIN)
        self.assertIs(found.outcome, ExplainedOutcome.SENT)
        self.gateway._stop_started = self.now() - 7.0
        for question in (STREAM, PLAIN):
            await self.assert_refused(question, "drain", ErrorKind.SHUTTING_DOWN)

    async def test_deadline_too_short(self):
        await self.assert_refused(replace(STREAM, deadline=0.1), "time", ErrorKind.OVERLOADED)
        await self.assert_refused(replace(PLAIN, deadline=0.04), "time", ErrorKind.OVERLOADED)

    async def test_no_backend_server(self):
        for name in ("s1", "s2", "p1"):
            self.context.registry.remove(name)
        for question in (STREAM, PLAIN):
            await self.assert_refused(question, "servers", ErrorKind.OVERLOADED)

    async def test_quarantined_part_and_scope(self):
        quarantine = self.context.crashes.quarantine
        quarantine.crashing_parts = lambda now: frozenset({"handbook"})
        quarantine._by_part["handbook"] = set()
        quarantine._records["x"] = None
        quarantine.expire = lambda now: None
        question = replace(STREAM, parts=PARTS)
        await self.assert_refused(question, "quarantine", ErrorKind.REQUEST_CONDEMNED)
        quarantine.crashing_scopes = lambda now: frozenset({"r-plain/court"})
        await self.assert_refused(PLAIN, "quarantine", ErrorKind.REQUEST_CONDEMNED)

    async def test_deaths_make_the_body_an_unknown(self):
        record = DeathRecord("s9", "1", time.time(), service="llm")
        self.context.crashes.quarantine.on_engine_death(time.time(), record)
        explanation = await self.explainer.explain(STREAM)
        self.assertIn("body", explanation.unknown[0])

    async def test_line_that_outlasts_the_caller(self):
        await self.explainer.explain(STREAM)
        line = self.gateway.selector._line("llm").order
        line.is_preceded = lambda now, work: True
        line.is_hopeless = lambda now, work, ahead: True
        await self.assert_refused(STREAM, "line", ErrorKind.OVERLOADED)

    async def test_stream_that_cannot_be_complete(self):
        generation = self.context.generation_estimator("llm")
        for duration in (30.0, 31.0, 30.0):
            generation.observe(100, duration)
        question = replace(STREAM, output_tokens=100)
        await self.assert_refused(question, "placement", ErrorKind.OVERLOADED)

    async def test_question_without_host_or_with_another_service(self):
        for question in (replace(STREAM, host=""), replace(STREAM, service="app")):
            self.assertIsInstance(await self.explainer.explain(question), Failure)


class ChoiceTest(ExplainCase):
    """Guards against a choice, a cost or a reason other than that of the decision."""

    async def test_stream_with_terms_age_standby_and_reasons(self):
        self.add("s3", "llm", EngineLoad(0, 2, 0, 90_000), "dc-a")
        self.add("s4", "llm", IDLE, draining=True)
        self.add("s5", "llm", IDLE)
        self.context.registry.state("s5").backpressure.on_response(
            self.now(), ServerSignals(pause=5.0), 1
        )
        explanation = await self.explainer.explain(STREAM)
        self.assertIs(explanation.outcome, ExplainedOutcome.SENT)
        self.assertEqual((explanation.route, explanation.kind), ("r-stream", "stream"))
        self.assertEqual(self.chosen(explanation), "s1")
        self.assertIs(self.role(explanation, "s2"), ServerRole.STANDBY)
        self.assertEqual(self.reason(explanation, "s4"), "leaving")
        self.assertIn("pause", self.reason(explanation, "s5"))
        servers = {server.name: server for server in explanation.servers}
        self.assertEqual(servers["s2"].terms["remote"], 0.2)
        self.assertGreater(servers["s3"].terms["running"], 0.0)
        self.assertEqual(servers["s1"].cost, min(servers[n].cost for n in ("s1", "s2", "s3")))
        self.assertLess(servers["s1"].report_age, 1.0)

    async def test_engine_without_room_and_one_without_report(self):
        self.add("s1", "llm", EngineLoad(0, 0, 89_000, 90_000))
        self.add("s6", "llm")
        explanation = await self.explainer.explain(STREAM)
        self.assertEqual(self.chosen(explanation), "s2")
        self.assertIn("no room", self.reason(explanation, "s1"))
        self.assertIn("no report", self.reason(explanation, "s6"))
        self.assertIn("the load of s6", explanation.unknown[-1])
        self.assertIn("equal servers", explanation.unknown[-2])

    async def test_kept_tokens_reduce_the_own_work(self):
        parts = (PromptPart("handbook", 4_000), PromptPart("turn-1", 300))
        question = replace(STREAM, prompt_tokens=0, parts=parts)
        request = _build_request(question, self.now())
        memory = self.context.prompt_memory("llm")
        memory.on_request(self.now(), request)
        memory._kept.on_processed(self.now(), request.parts, "s2@0")
        explanation = await self.explainer.explain(question)
        work = {s.name: s.terms["own_work"] for s in explanation.servers if s.terms}
        self.assertLess(work["s2"], work["s1"])

    async def test_waiting_stream_with_position_and_lengths(self):
        self.use_long_route()
        for name in ("s1", "s2"):
            self.add(name, "llm", BUSY, "dc-a" if name == "s1" else "dc-b")
        admitted = self.admit(replace(STREAM, deadline=29.0))
        waiting = asyncio.create_task(self.gateway.selector.select(admitted, StreamProgress(None)))
        await asyncio.wait([waiting], timeout=0.1)
        self.assertEqual(len(self.gateway.selector._line("llm").order), 1)
        hasty = await self.explainer.explain(replace(STREAM, deadline=28.0))
        patient = await self.explainer.explain(replace(STREAM, deadline=30.0))
        waiting.cancel()
        for explanation, position in ((hasty, 0), (patient, 1)):
            self.assertIs(explanation.outcome, ExplainedOutcome.WAITS)
            self.assertEqual(explanation.waiting, {"0": 1})
            self.assertEqual(explanation.position, position)
            self.assertTrue(0.0 < explanation.chances[0].probability <= 1.0)
            self.assertTrue(any(server.terms for server in explanation.servers))

    async def test_reasons_of_engines_that_are_left_out(self):
        for name in ("s3", "s4", "s5"):
            self.add(name, "llm", IDLE, version="v2" if name == "s4" else "v1")
        signals = ServerSignals(rate_limit=1.0)
        self.context.registry.state("s3").backpressure.on_response(self.now(), signals, 9)
        self.context.registry.state("s3").backpressure._pacer._slot_at = self.now() + 4.0
        self.context.rollouts.excluded = lambda *args, **options: frozenset({"s4"})
        self.context.crashes.avoided_servers = lambda verdict: frozenset({"s5"})
        explanation = await self.explainer.explain(STREAM)
        for name, word in (("s3", "limit"), ("s4", "version v2"), ("s5", "quarantine")):
            self.assertIs(self.role(explanation, name), ServerRole.LEFT_OUT)
            self.assertIn(word, self.reason(explanation, name))

    def add_versions(self):
        for name in ("s1", "s2", "s3", "s4"):
            self.context.registry.remove(name)
        for name, version in (("s5", "v1"), ("s6", "v2"), ("s7", "v2"), ("s8", "v1")):
            self.add(name, "llm", BUSY if name == "s8" else IDLE, version=version)

    async def test_take_up_goes_on_where_the_stream_began(self):
        self.add_versions()
        self.context.origins.record("llm", "a1", "v1", 60.0)
        question = replace(STREAM, last_event=4, first_attempt="a1")
        explanation = await self.explainer.explain(question)
        self.assertEqual(self.chosen(explanation), "s5")
        for name in ("s6", "s7"):
            self.assertIs(self.role(explanation, name), ServerRole.LEFT_OUT)
            self.assertIn("version v2 did not begin", self.reason(explanation, name))
        (check,) = [check for check in explanation.checks if check.name == "version"]
        self.assertTrue(check.passed)
        self.assertIn("2 servers have version 'v1'", check.detail)

    async def test_take_up_is_refused_like_the_real_one(self):
        self.add_versions()
        self.context.origins.record("llm", "a3", "v3", 60.0)
        for attempt, kind in (
            ("a3", ErrorKind.VERSION_GONE),
            ("a9", ErrorKind.NO_BACKEND),
            ("", ErrorKind.NO_BACKEND),
        ):
            question = replace(STREAM, last_event=4, first_attempt=attempt)
            explanation = await self.explainer.explain(question)
            self.assertIs(explanation.outcome, ExplainedOutcome.REFUSED)
            self.assertEqual(explanation.failure.kind, kind)
            self.assertEqual(explanation.checks[-1].name, "version")
        self.assertIn("the attempt that brought the first event", " ".join(explanation.unknown))

    async def test_take_up_with_one_version_needs_no_attempt(self):
        explanation = await self.explainer.explain(replace(STREAM, last_event=4))
        self.assertIs(explanation.outcome, ExplainedOutcome.SENT)

    async def test_single_engine_is_not_asked(self):
        self.context.registry.remove("s2")
        explanation = await self.explainer.explain(replace(STREAM, fresh=True))
        self.assertEqual((self.chosen(explanation), self.asked), ("s1", []))

    async def test_plain_request_with_terms_limit_and_wait(self):
        self.add("p2", "app", centre="dc-b")
        explanation = await self.explainer.explain(PLAIN)
        self.assertEqual((self.chosen(explanation), explanation.kind), ("p1", "plain"))
        terms = {server.name: server.terms for server in explanation.servers}
        self.assertEqual(terms["p2"]["remote"], 1.5)
        for name in ("p1", "p2"):
            pacer = self.context.registry.state(name).backpressure
            pacer.on_response(self.now(), ServerSignals(rate_limit=4.0), 1)
            pacer._pacer._slot_at = self.now() + 0.1
        explanation = await self.explainer.explain(PLAIN)
        self.assertIs(explanation.outcome, ExplainedOutcome.WAITS)
        self.assertIn("limit", self.reason(explanation, "p1"))

    async def test_load_shedding_is_a_probability(self):
        shedder = self.context.load_shedder("app")
        for number in range(40):
            shedder.on_rejection(self.now() + number * 0.01)
        explanation = await self.explainer.explain(PLAIN)
        self.assertTrue(0.0 < explanation.chances[0].probability < 1.0)

    async def test_weighted_service_and_ranks_of_keys(self):
        route = replace(STREAM_ROUTE, services=(("llm", 3.0), ("app", 1.0)))
        keys = {KEY: WorkspaceKey("court", 1), "k2": WorkspaceKey("court", 4)}
        routes = {"svc.example": (route,)}
        self.gateway.config.accept(replace(table(2), routes=routes, keys=keys))
        explanation = await self.explainer.explain(STREAM)
        self.assertEqual(explanation.chances[0].probability, 0.75)
        self.assertIn("ranks 1, 4", explanation.unknown[0])
        self.gateway.config.accept(
            replace(
                self.gateway.config.table, version=3, keys={**keys, "k3": WorkspaceKey("court")}
            )
        )
        of_route = await self.explainer.explain(replace(STREAM, rank="2"))
        self.assertEqual(of_route.rank, str(route.rank))
        ranked = await self.explainer.explain(replace(STREAM, rank="4", service="app"))
        self.assertEqual((ranked.rank, ranked.chances[0].probability), ("4", 0.25))

    async def test_fresh_asks_the_candidates_only(self):
        self.add("s2", "llm", BUSY, "dc-b")
        self.reports["s1"] = BUSY
        self.reports["s2"] = IDLE
        self.assertEqual(self.chosen(await self.explainer.explain(STREAM)), "s1")
        self.assertEqual(self.asked, [])
        fresh = await self.explainer.explain(replace(STREAM, fresh=True))
        self.assertEqual((self.chosen(fresh), sorted(self.asked)), ("s2", ["s1", "s2"]))


class SameDecisionTest(ExplainCase):
    """Guards against an explanation that changes what it explains."""

    def add_engines(self, seed):
        rng = random.Random(seed)
        for number in range(8):
            load = EngineLoad(
                rng.randrange(2), rng.randrange(4), rng.randrange(80_000), 90_000, lists_runs=False
            )
            self.add(f"g{number}", "llm", load, rng.choice(("dc-a", "dc-b")))
        self.gateway.selector._rng.seed(seed)
        self.context.prompt_memory("llm")._rng.seed(seed)

    async def test_real_choice_is_the_explained_one_and_state_is_unchanged(self):
        for seed in range(12):
            with self.subTest(seed=seed):
                await self.asyncSetUp()
                self.add_engines(seed)
                question = replace(STREAM, parts=PARTS, prompt_tokens=0, deadline=7.0)
                before = self.state()
                explanation = await self.explainer.explain(question)
                self.assertEqual(self.state(), before)
                real = await self.gateway.selector.select(
                    self.admit(question), StreamProgress(None)
                )
                self.assertEqual(self.chosen(explanation), real.server.server_id)
                standby = [s.name for s in explanation.servers if s.role is ServerRole.STANDBY]
                self.assertEqual(standby, [real.standby.server_id] if real.standby else [])

    async def test_next_choices_are_those_without_explaining(self):
        async def play(explains):
            await self.asyncSetUp()
            self.add_engines(5)
            choices = []
            for number in range(6):
                question = replace(STREAM, prompt_tokens=900 + 700 * number, deadline=7.0)
                if explains:
                    await self.explainer.explain(question)
                    await self.explainer.explain(PLAIN)
                selection = await self.gateway.selector.select(
                    self.admit(question), StreamProgress(None)
                )
                choices.append(selection.server.server_id)
            return choices, self.gateway.selector._rng.random()

        self.assertEqual(await play(True), await play(False))

    async def test_plain_and_waiting_requests_change_no_state(self):
        self.add("s1", "llm", BUSY)
        self.add("s2", "llm", BUSY, "dc-b")
        self.gateway.selector._line("llm")
        self.context.load_shedder("app").on_rejection(self.now())
        before = self.state()
        for question in (PLAIN, STREAM, replace(STREAM, last_event=4), replace(PLAIN, deadline=0)):
            await self.explainer.explain(question)
        self.assertEqual(self.state(), before)
        explanation = await self.explainer.explain(PLAIN)
        verdict = self.context.crashes.judge(self.admit(PLAIN))
        server, _ = PlainChoice(self.context).choose(self.admit(PLAIN), set(), verdict)
        self.assertEqual(self.chosen(explanation), server.server_id)


if __name__ == "__main__":
    unittest.main()
