"""Tests that state whose names come and go with peers or configurations does not grow."""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import replace
from unittest import mock

from gateway_case import HOST, GatewayCase, signed_response, table

from sapphireledge.gateway import BackendServer, ServiceProfile
from sapphireledge.gateway import connection_pool as pool_module


class ServiceStateTest(GatewayCase):
    def accept_service(self, version, name):
        routes = table(version)
        services = {**routes.services, name: ServiceProfile(name)}
        self.assertTrue(self.gateway.config.accept(replace(routes, services=services)))

    def use(self, service):
        """Creates all that is kept for a service."""
        context = self.gateway.context
        context.retry_allowance(service)
        context.load_shedder(service)
        context.first_event_estimator(service)
        context.generation_estimator(service)
        context.prompt_memory(service)
        self.gateway.selector._line(service)
        server = BackendServer(f"i-{service}", service, HOST, 9, "dc-a")
        context.registry.put(server)
        context.registry.remove(server.server_id)

    def count(self):
        context, exchange = self.gateway.context, self.gateway.context.load_exchange
        states = (
            context._allowances,
            context._shedders,
            context._estimators,
            context._generation_estimators,
            context._prompt_memories,
            context.registry._by_service,
            self.gateway.selector._lines,
            exchange._lines,
            exchange._shedders,
        )
        return [len(state) for state in states]

    async def test_services_that_are_gone_are_forgotten(self):
        """Guards against memory that grows with each service that was ever configured."""
        for version in range(2, 102):
            self.accept_service(version, f"svc-{version}")
            self.use(f"svc-{version}")
        self.assertEqual(self.count(), [1] * 9)

    async def test_services_in_use_are_kept(self):
        context = self.gateway.context
        context.registry.put(BackendServer("i-1", "moved", HOST, 9, "dc-a"))
        kept = {name: context.retry_allowance(name) for name in ("app", "moved")}
        self.gateway.config.accept(table(2))
        for name, allowance in kept.items():
            self.assertIs(context.retry_allowance(name), allowance)


class IdleConnectionTest(GatewayCase):
    async def test_connections_to_servers_that_are_gone_are_closed(self):
        """Guards against a connection for each server that was removed during a request."""
        may_answer = asyncio.Event()
        answered = 0

        async def answer(request, writer):
            nonlocal answered
            answered += 1
            await may_answer.wait()
            writer.write(signed_response(request))

        pool = self.gateway.context.pool
        with mock.patch.object(pool_module, "DEFAULT_IDLE_LIMIT", 0.0):
            for number in range(5):
                server = await self.add("app", answer)
                call = asyncio.create_task(self.call("/plain/"))
                while answered <= number:
                    await asyncio.sleep(0.001)
                self.gateway.context.registry.remove(server.server_id)
                pool.drop(server.server_id)
                may_answer.set()
                self.assertEqual((await call).status, 200)
                may_answer.clear()
                pool._next_expiry_at = 0.0
        self.assertLessEqual(len(pool._idle), 1)


if __name__ == "__main__":
    unittest.main()
