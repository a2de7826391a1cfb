"""Tests of what the own interface says about where a request would go, without a network."""

from __future__ import annotations

import random
import time
import unittest
from dataclasses import replace
from types import SimpleNamespace

import msgspec
from explain_case import freeze

from sapphireledge.core.admission import QueuedWork, UsageLedger
from sapphireledge.core.config import ConfigState, StoredDeclaration, config_key
from sapphireledge.core.explanation import ExplainedOutcome, Question
from sapphireledge.core.quarantine import Quarantine
from sapphireledge.core.routing import BackendInstance, BackendView, LoadReport, ModelVersion
from sapphireledge.entry.backend_pool import BackendPool
from sapphireledge.entry.lifecycle import Lifecycle
from sapphireledge.entry.route_explainer import RouteExplainer
from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.objects import StoredObject
from sapphireledge.settings import Address, PlatformSettings, Settings

DECLARATIONS = (
    ("rank", {"name": "urgent", "order": 0, "target": 2.0, "worth": 10, "share": 0.5}),
    ("rank", {"name": "standard", "order": 1, "target": 10.0, "worth": 3, "share": 0.3}),
    ("workspace", {"name": "default"}),
    ("workspace", {"name": "club", "ranks": ["standard"]}),
    ("service", {"name": "booking"}),
    ("deployment", {"name": "drafting", "model": "drafter", "version": "v1"}),
)
QUESTION = Question(model="drafter", rank="urgent", prompt_tokens=800)


def create_config():
    config = ConfigState()
    for version, (kind, spec) in enumerate(DECLARATIONS, 1):
        key = config_key(kind, spec["name"])
        value = StoredDeclaration("c", msgspec.json.encode(spec).decode(), False).encode()
        config.apply(StoredObject(key, value, version))
    return config


class OwnDecisionTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a reason, a cost or a place other than that of the decision."""

    def setUp(self):
        address = Address(port=0)
        self.cfg = Settings(
            "e1", "akl-a", "akl", address, address, address, PlatformSettings(url="-")
        )
        self.config, self.rng = create_config(), random.Random(4)
        self.view = BackendView(self.cfg.routing, "e1", "akl-a", "akl")
        self.quarantine, self.lifecycle = Quarantine(self.cfg.quarantine), Lifecycle(self.cfg)
        self.lifecycle.mark_ready()
        self.ledger = UsageLedger(60.0)
        self.pool = BackendPool(
            self.cfg,
            self.config,
            self.view,
            self.ledger,
            self.quarantine,
            None,
            None,
            None,
            self.rng,
            lambda: 1,
        )
        self.explainer = RouteExplainer(
            SimpleNamespace(
                cfg=self.cfg,
                lifecycle=self.lifecycle,
                config=self.config,
                ctx=SimpleNamespace(pool=self.pool),
            ),
            self.view,
            self.quarantine,
        )
        self.list_engines()

    def list_engines(self, load=0):
        names = {"g1": ("akl-a", "akl"), "g2": ("wlg-a", "wlg"), "g3": ("akl-a", "akl")}
        booking = BackendInstance("b1", "b1:1", "akl-a", "akl", "booking", reports_load=False)
        engines = [BackendInstance(name, "x:1", *place) for name, place in names.items()]
        self.view.on_instances(0.0, [*engines, booking])
        for name in names:
            model = ModelVersion("drafter", "v2" if name == "g3" else "v1")
            now = time.monotonic()
            self.view.on_load(now, LoadReport(name, "b", now, load, 0, 4, 50.0, (model,)))

    def state(self):
        """What a decision can change; the quarantine ages by itself, so its records count."""
        quarantine = [self.quarantine._records, self.quarantine._cleared_at]
        return freeze([self.view._states, self.pool._schedulers, self.ledger, self.rng, quarantine])

    async def test_terms_probabilities_and_left_out_engine(self):
        before = self.state()
        found = await self.explainer.explain(QUESTION)
        self.assertEqual(self.state(), before)
        self.assertIs(found.outcome, ExplainedOutcome.SENT)
        servers = {server.name: server for server in found.servers}
        self.assertEqual((servers["g1"].chance, servers["g2"].chance), (1.0, 0.0))
        self.assertEqual(servers["g1"].terms["own_work"], 800.0)
        self.assertGreater(servers["g2"].terms["distance"], 0.0)
        self.assertIn("has not loaded drafter v1", servers["g3"].reason)

    async def test_waiting_behind_others_leaves_the_queue_as_it_is(self):
        self.list_engines(load=4)
        alone = await self.explainer.explain(QUESTION)
        self.assertEqual(alone.position, 0)
        scheduler = self.pool._get_scheduler("drafter", "v1")
        for number in range(3):
            scheduler.offer(
                time.monotonic(), QueuedWork(f"w{number}", "urgent", "club", 100, 100, 1.0)
            )
        before = self.state()
        found = await self.explainer.explain(replace(QUESTION, rank="standard"))
        self.assertEqual(self.state(), before)
        self.assertIs(found.outcome, ExplainedOutcome.WAITS)
        self.assertEqual(found.waiting, {"urgent": 3})
        # Each rank has a share, so the urgent ones need not all go first.
        self.assertTrue(1 <= found.position <= 3, found.position)

    async def test_refusals(self):
        cases = (
            ("workspace", ErrorKind.UNKNOWN_WORKSPACE, {"workspace": "absent"}),
            ("rank", ErrorKind.FORBIDDEN, {"workspace": "club"}),
            ("rank", ErrorKind.INVALID_REQUEST, {"rank": "absent"}),
            ("route", ErrorKind.UNKNOWN_MODEL, {"model": "absent"}),
            ("route", ErrorKind.NOT_FOUND, {"model": "", "service": "absent"}),
        )
        for check, kind, changes in cases:
            with self.subTest(check=check, kind=kind):
                found = await self.explainer.explain(replace(QUESTION, **changes))
                self.assertEqual((found.checks[-1].name, found.failure.kind), (check, kind))
        self.assertIsInstance(await self.explainer.explain(Question()), Failure)

    async def test_no_server_quarantine_and_drain(self):
        call = Question(service="booking", method="GET")
        found = await self.explainer.explain(call)
        self.assertEqual([server.name for server in found.servers], ["b1"])
        self.view.on_instances(0.0, [])
        for question in (QUESTION, call):
            found = await self.explainer.explain(question)
            self.assertIs(found.failure.kind, ErrorKind.NO_BACKEND)
        self.quarantine.crashing_scopes = lambda now: frozenset({"booking/default"})
        found = await self.explainer.explain(call)
        self.assertIs(found.failure.kind, ErrorKind.REQUEST_CONDEMNED)
        self.lifecycle._refusing = True
        found = await self.explainer.explain(QUESTION)
        self.assertEqual(found.checks[-1].name, "drain")


if __name__ == "__main__":
    unittest.main()
