"""Tests that explaining a request changes nothing, and shows no id of a part."""

from __future__ import annotations

import unittest
from dataclasses import replace

from explain_case import PLAIN, STREAM, ExplainCase

from sapphireledge.core.placement import PromptPart
from sapphireledge.core.rollout import RolloutLimits, RolloutOrder, RolloutStage, RolloutState
from sapphireledge.gateway import StoredOrder


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
        rollout._stage, rollout._share = RolloutStage.TRIAL, 0.1
        rollout._is_in_touch = lambda now: True
        rollout._learnt_at = rollout._ordered_at = now - 5.0
        rollout._allowance._slack = 25.0
        for pace in rollout._trial_paces:
            pace._credit = 0.95
        return rollout

    async def test_rollout_in_trial_goes_on_as_if_nobody_had_asked(self):
        rollout = self.start_trial()
        before = self.state()
        self.assertEqual((await self.explainer.explain(PLAIN)).kind, "plain")
        self.assertEqual(self.state(), before)
        rule = rollout.choose(self.now(), may_repeat=False, is_stream=False, is_retry=False)
        self.assertTrue(rule.prefers("v2"))

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
