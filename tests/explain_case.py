"""Test case with a gateway whose load reports are given, without a network."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections import deque
from dataclasses import replace

from gateway_case import HOST, KEY, STREAM_ROUTE, table

from sapphireledge.core.explanation import Question, ServerRole
from sapphireledge.gateway import (
    BackendServer,
    EngineLoad,
    Gateway,
    GatewayExplainer,
    GatewayMetrics,
    GatewaySettings,
    RequestTelemetry,
    seconds_since_boot,
)
from sapphireledge.gateway.explain_request import _build_request
from sapphireledge.platform.platform_dialect import PlatformDialect

IDLE = EngineLoad(0, 0, 0, 90_000)
BUSY = EngineLoad(9, 9, 0, 90_000)

CFG = GatewaySettings("e1", "dc-a", HOST, 0, HOST, 0, 0, max_config_age=3.8, stop_limit=8.0)

STREAM = Question("svc.example", "/stream/a", workspace="court", prompt_tokens=2000, deadline=6.0)
PLAIN = replace(STREAM, path="/plain/a")


def freeze(value, seen=None):
    """Turns an object graph into comparable plain values; functions count by identity."""
    seen = {} if seen is None else seen
    if value is None or isinstance(value, str | int | float | bytes | type):
        return value
    if id(value) in seen:
        return f"again {seen[id(value)]}"
    seen[id(value)] = len(seen)
    if isinstance(value, random.Random):
        return value.getstate()
    if isinstance(value, dict):
        return [(freeze(k, seen), freeze(v, seen)) for k, v in value.items()]
    if isinstance(value, list | tuple | deque):
        return [freeze(each, seen) for each in value]
    if isinstance(value, set | frozenset):
        return sorted(map(str, value))
    if callable(value) or isinstance(value, asyncio.Event):
        return id(value)
    names = set(getattr(value, "__dict__", ()))
    for kind in type(value).__mro__:
        names.update(getattr(kind, "__slots__", ()))
    return [(name, freeze(getattr(value, name, None), seen)) for name in sorted(names)]


class ExplainCase(unittest.IsolatedAsyncioTestCase):
    """Creates a gateway with engines s1 and s2 and a plain server p1."""

    async def asyncSetUp(self):
        self.gateway = Gateway(CFG, PlatformDialect(), RequestTelemetry(GatewayMetrics()))
        self.context = self.gateway.context
        self.gateway.config.accept(table())
        self.gateway.config.confirm(seconds_since_boot())
        self.explainer = GatewayExplainer(self.gateway)
        self.reports = {}
        self.asked = []
        self.context.report_client.fetch_report = self.fetch_report
        self.add("s1", "llm", IDLE)
        self.add("s2", "llm", IDLE, "dc-b")
        self.add("p1", "app")

    async def fetch_report(self, server, timeout):
        self.asked.append(server.server_id)
        report = self.reports[server.server_id]
        self.context.report_client.latest.put(self.now(), server, report)
        return report

    def now(self):
        return asyncio.get_running_loop().time()

    def add(self, name, service, load=None, centre="dc-a", **options):
        server = BackendServer(name, service, HOST, 9, centre, **options)
        self.context.registry.put(server)
        if load is not None:
            self.reports[name] = load
            self.context.report_client.latest.put(self.now(), server, load)
        return server

    def use_long_route(self):
        route = replace(STREAM_ROUTE, rank=0, time_limit=40.0)
        self.gateway.config.accept(replace(table(2), routes={"svc.example": (route,)}))

    def state(self):
        """All state that a decision about a request can change."""
        context = self.context
        return freeze(
            [
                context.registry,
                context.crashes.quarantine,
                context._shedders,
                context._allowances,
                context._estimators,
                context._prompt_memories,
                context._generation_estimators,
                context.rollouts,
                context.report_client.latest,
                self.gateway._rng,
                self.gateway.selector._rng,
                self.gateway.selector._recent_dispatches,
                {name: line.order for name, line in self.gateway.selector._lines.items()},
            ]
        )

    def admit(self, question):
        request = _build_request(question, self.now())
        key = self.gateway.config.table.keys[KEY]
        return self.gateway.admit(request, lambda _: key, lambda route: route.services[0][0])

    def role(self, explanation, name):
        return next(server.role for server in explanation.servers if server.name == name)

    def reason(self, explanation, name):
        return next(server.reason for server in explanation.servers if server.name == name)

    def chosen(self, explanation):
        names = [s.name for s in explanation.servers if s.role is ServerRole.CHOSEN]
        return names[0] if names else ""
