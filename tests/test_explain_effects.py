"""Tests that explaining a request changes nothing, and shows no id of a part."""

from __future__ import annotations

import unittest
from dataclasses import replace

from explain_case import BUSY, CFG, IDLE, PLAIN, STREAM, ExplainCase
from gateway_case import HOST

from sapphireledge.core.placement import PromptPart
from sapphireledge.core.rollout import RolloutLimits, RolloutOrder, RolloutStage, RolloutState
from sapphireledge.gateway import (
    BackendServer,
    Gateway,
    GatewayExplainer,
    GatewayMetrics,
    RequestTelemetry,
    StoredOrder,
)
from sapphireledge.platform.platform_dialect import PlatformDialect


class EffectsTest(ExplainCase):
    """Guards against explanations that change later decisions, or show what is private."""

    def start_trial(self):
        guard = self.context.rollouts
        guard._limits = RolloutLimits()
        self.add("n1", "app", version="v1")
        self.add("n2", "app", version="v2")
        guard.on_servers_changed()
        order = RolloutOrder("app", "v2", 60.0, "1")
        guard.on_order(StoredOrder(order, RolloutState.RUNNING, 1))
        rollout, now = guard._versions("app").rollout, self.now()
        progress, view, chooser = rollout._progress, rollout._view, rollout._chooser
        progress.stage, progress.share = RolloutStage.TRIAL, 0.1
        view.is_in_touch = lambda now: True
        view._learnt_at = view.ordered_at = now - 5.0
        chooser._allowance._slack = 25.0
        for pace in chooser._trial_paces:
            pace._credit = 0.95
        return rollout

    async def test_rollout_in_trial_goes_on_as_if_nobody_had_asked(self):
        rollout = self.start_trial()
        before = self.state()
        self.assertEqual((await self.explainer.explain(PLAIN)).kind, "plain")
        self.assertEqual(self.state(), before)
        rule = rollout.choose(self.now(), may_repeat=False, is_stream=False, is_retry=False)
        self.assertTrue(rule.prefers("v2"))

    async def test_fresh_uses_only_reports_of_this_fetch(self):
        async def fetch(server, timeout):
            return None if server.server_id == "s1" else BUSY

        self.context.report_client.fetch_report = fetch
        found = await self.explainer.explain(replace(STREAM, fresh=True))
        self.assertEqual(self.chosen(found), "s2")
        self.assertIn("the load of s1", " ".join(found.unknown))

    async def test_reports_of_another_incarnation_are_ignored(self):
        for name in ("s1", "s2"):
            self.context.registry.remove(name)
        replaced = self.add("x1", "llm", started_at_ms=1)
        self.add("x2", "llm", centre="dc-b", started_at_ms=1)
        self.reports["x1"] = replace(IDLE, started_at_ms=99)
        self.reports["x2"] = replace(BUSY, started_at_ms=1)
        found = await self.explainer.explain(replace(STREAM, fresh=True))
        self.assertEqual(self.chosen(found), "x2")
        self.assertIn("the load of x1", " ".join(found.unknown))
        self.assertIsNone(self.context.report_client.latest.get(replaced))

    async def test_old_reports_are_named(self):
        latest = self.context.report_client.latest
        for server in self.context.registry.list_servers("llm"):
            latest.put(self.now() - (3.0 if server.server_id == "s2" else 0.5), server, IDLE)
        unknown = " ".join((await self.explainer.explain(STREAM)).unknown)
        self.assertIn("s2", unknown)
        self.assertNotIn("s1", unknown)

    async def test_reports_are_kept_for_known_engines_and_operators_only(self):
        gateway = Gateway(CFG, PlatformDialect(), RequestTelemetry(GatewayMetrics()))
        latest, registry = gateway.context.report_client.latest, gateway.context.registry
        server = BackendServer("s1", "llm", HOST, 9, "dc-a", started_at_ms=1)
        registry.put(server)
        latest.put(0.0, server, IDLE)
        self.assertIsNone(latest.get(server))
        GatewayExplainer(gateway)
        latest.put(0.0, server, IDLE)
        self.assertIs(latest.get(server), IDLE)
        registry.put(replace(server, started_at_ms=2))
        self.assertIsNone(latest.get(server))
        self.assertFalse(latest._reports)

    async def test_condemned_part_is_not_named(self):
        quarantine = self.context.crashes.quarantine
        quarantine.crashing_parts = lambda now: frozenset({"private"})
        quarantine._by_part["private"] = set()
        quarantine._records["death"] = None
        quarantine.expire = lambda now: None
        parts = (PromptPart("private", 4000), PromptPart("tail", 3))
        for question in (STREAM, PLAIN):
            with self.subTest(path=question.path):
                found = await self.explainer.explain(replace(question, parts=parts))
                self.assertEqual(found.checks[-1].name, "quarantine")
                self.assertNotIn("private", found.checks[-1].detail + found.failure.reason)
                self.assertIn("part", found.checks[-1].detail)


if __name__ == "__main__":
    unittest.main()
