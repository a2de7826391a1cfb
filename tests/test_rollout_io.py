"""Tests of roll-outs of a version with entry instances, a store and servers on loopback."""

from __future__ import annotations

import asyncio
import time
import unittest
from unittest import mock

from gateway_case import HOST, CallerResponse, chunk, event, stream_head
from rollout_io_case import NEW, OLD, SERVICE, RolloutFleetCase

from sapphireledge.core.rollout import RolloutOrder, RolloutStage, RolloutState
from sapphireledge.feed import SourceError
from sapphireledge.gateway import StoredOrder
from sapphireledge.platform.decode_rollout import decode_rollout, encode_status
from sapphireledge.platform.rollout_report_writer import RolloutReportWriter

ROLLBACK = 5.0
"""Seconds after its bad answers in which the new version may get requests."""


class RolloutTest(RolloutFleetCase):
    async def start_fleet(self, instances: int, per_second: float, servers: int = 2) -> None:
        """Starts instances with servers of both versions, and traffic."""
        await self.add_servers(OLD, servers)
        await self.add_instances(instances)
        self.start_traffic(per_second)
        await self.add_servers(NEW, servers)

    def count_reports(self) -> int:
        """Counts the calls that wrote reports."""
        calls = self.store.calls.items()
        return sum(number for call, number in calls if call.startswith("PUT rollout-reports/"))

    def is_moving(self) -> bool:
        """Whether the move has begun, and its share shows in the requests."""
        decisions = [instance.rollouts._versions(SERVICE).decision for instance in self.instances]
        stages = {decision.stage for decision in decisions if decision is not None}
        return stages == {RolloutStage.MOVE} and self.share(NEW, time.monotonic() - 1.0) > 0.25

    def assert_nothing_new_since(self, moment: float) -> None:
        """Checks that the new version got no request after a time."""
        self.assertEqual([at for at in self.times(NEW) if at > moment], [])

    async def test_good_version_is_completed_when_nothing_runs_on_the_old_one(self):
        """Guards against a good version that does not get the traffic, and an early completion."""
        await self.start_fleet(2, 60.0)
        ordered_at = self.order(duration=16.0)
        await self.wait_for_status("running", 5.0)
        await self.wait_until(lambda: self.times(NEW), 8.0)
        self.assertLess(self.share(NEW, ordered_at), 0.2)
        await self.wait_for_status("completed", 16.0)
        completed_at = time.monotonic()
        await asyncio.sleep(1.0)
        self.assertEqual(self.share(OLD, completed_at), 0.0)
        self.assertEqual({*self.answers}, {200})
        # The reports are written only while an order is running.
        written = self.count_reports()
        await asyncio.sleep(2.5)
        self.assertEqual(self.count_reports(), written)

    async def test_bad_version_is_rolled_back_and_gets_nothing_any_more(self):
        """Guards against each instance waiting for bad answers of its own."""
        self.is_bad = True
        await self.start_fleet(3, 150.0)
        self.order(duration=60.0)
        await self.wait_for_status("rolled_back", 25.0)
        rolled_back_at = time.monotonic()
        self.assertLess(len(self.times(NEW)), 50)
        await asyncio.sleep(2.0)
        self.assert_nothing_new_since(rolled_back_at + 0.5)
        self.assertGreater(self.share(OLD, rolled_back_at), 0.99)

    async def test_slow_version_is_rolled_back(self):
        """Guards against a version whose answers are all right, but take several times as long."""
        self.new_delay = 0.3
        await self.start_fleet(2, 100.0)
        self.order(duration=60.0)
        await self.wait_for_status("rolled_back", 25.0)
        self.assertLess(len(self.times(NEW)), 50)
        self.assertEqual({*self.answers}, {200})

    async def test_version_that_turns_bad_gets_nothing_soon_after(self):
        """Guards against bad answers that are counted at each of three instances alone."""
        await self.start_fleet(3, 150.0)
        self.order(duration=24.0)
        await self.wait_until(self.is_moving, 24.0)
        self.is_bad = True
        await self.wait_for_status("rolled_back", 15.0)
        await asyncio.sleep(1.0)
        bad = [at for at, _, status in self.sent if status == 500]
        # The bound counts from the 50th bad answer, which a good verdict does not wait for.
        self.assertLess(self.times(NEW)[-1], bad[0] + ROLLBACK)
        self.assertLess(len(bad), 200)

    async def test_servers_that_are_listed_before_their_order_take_nothing(self):
        """Guards against a version that gets requests which no order allows."""
        await self.start_fleet(2, 40.0)
        await asyncio.sleep(2.0)
        self.assertEqual(self.times(NEW), [])
        self.order(duration=30.0)
        await self.wait_until(lambda: self.times(NEW), 10.0)
        self.store.remove("rollouts", SERVICE)
        await asyncio.sleep(2.0)
        removed_at = time.monotonic()
        await asyncio.sleep(1.0)
        self.assert_nothing_new_since(removed_at)

    async def test_lost_answers_of_statuses_lead_to_no_second_one(self):
        """Guards against a second status after a write without a response."""
        self.store.lost_status_answers = 1
        await self.start_fleet(1, 40.0)
        self.order(duration=14.0)
        await self.wait_for_status("running", 5.0)
        await asyncio.sleep(1.0)
        self.store.lost_status_answers = 1
        await self.wait_for_status("completed", 14.0)
        await asyncio.sleep(2.0)
        states = [status["state"] for _, status in self.store.status_writes]
        self.assertEqual(states, ["running", "completed"])

    async def test_status_of_another_instance_is_final(self):
        """Guards against instances that follow their own verdict instead of the stored one."""
        await self.start_fleet(2, 60.0)
        self.order(duration=20.0)
        await self.wait_until(lambda: self.times(NEW), 10.0)
        self.store.set_status("rollouts", SERVICE, {"state": "rolled_back", "target": NEW})
        await asyncio.sleep(2.0)
        stopped_at = time.monotonic()
        await asyncio.sleep(1.5)
        self.assert_nothing_new_since(stopped_at)
        self.assertEqual(self.status(), ("rolled_back", NEW))

    async def test_replaced_order_ends_the_first_one(self):
        """Guards against counts and statuses of an order that is not in force any more."""
        await self.start_fleet(2, 60.0)
        self.order(duration=20.0)
        await self.wait_until(lambda: self.times(NEW), 10.0)
        await self.add_servers("v3", 2)
        self.order(target="v3", duration=16.0)
        replaced_at = time.monotonic()
        await self.wait_for_status("completed", 16.0, target="v3")
        self.assert_nothing_new_since(replaced_at + 2.0)
        written = [(status["state"], status["target"]) for _, status in self.store.status_writes]
        self.assertNotIn(("completed", NEW), written)

    async def test_changed_duration_after_the_end_is_a_new_order(self):
        """Guards against an operator who has to remove an order to have it tried again."""
        self.is_bad = True
        await self.start_fleet(2, 100.0)
        self.order(duration=60.0)
        await self.wait_for_status("rolled_back", 25.0)
        self.is_bad = False
        self.order(duration=14.0)
        await self.wait_for_status("completed", 16.0)
        await asyncio.sleep(1.0)
        states = [status["state"] for _, status in self.store.status_writes]
        self.assertEqual(states, ["running", "rolled_back", "running", "completed"])

    async def test_store_away_at_the_verdict(self):
        """Guards against a new version that gets requests while instances hear nothing."""
        await self.start_fleet(2, 100.0)
        self.order(duration=60.0)
        await self.wait_until(lambda: self.times(NEW), 10.0)
        self.store.set_down(True)
        self.is_bad = True
        lost_at = time.monotonic()
        await asyncio.sleep(6.0)
        # Without a confirmed feed, half of the time for a roll-back must do.
        self.assert_nothing_new_since(lost_at + ROLLBACK / 2 + 1.5)
        self.store.set_down(False)
        await self.wait_for_status("rolled_back", 25.0)

    async def test_instance_that_starts_in_the_middle(self):
        """Guards against a restart that begins the exposure anew, or forgets a final status."""
        await self.start_fleet(2, 60.0)
        ordered_at = self.order(duration=20.0)
        await self.wait_until(lambda: self.times(NEW), 10.0)
        await self.instances.pop().stop()
        await self.add_instances(1)
        self.assertLess(self.share(NEW, ordered_at), 0.2)
        await self.wait_for_status("completed", 25.0)
        await self.add_instances(1)
        started_at = time.monotonic()
        await asyncio.sleep(1.0)
        self.assertEqual(self.share(OLD, started_at), 0.0)

    async def check_instance_that_cannot_report(self, number: int) -> None:
        """Checks that old servers stay while an instance uses them that cannot say so."""
        await self.start_fleet(2, 60.0)
        mute = self.instances[number]
        (writer,) = [part for part in mute.parts if isinstance(part, RolloutReportWriter)]
        writer._store.write = mock.AsyncMock(side_effect=SourceError("refused"))
        self.order(duration=20.0)
        await self.wait_for_status("completed", 20.0)
        self.assertEqual(self.share(OLD, time.monotonic() - 0.5), 0.0)

    async def test_follower_that_cannot_report_keeps_the_old_servers(self):
        await self.check_instance_that_cannot_report(0)

    async def test_relay_that_cannot_report_keeps_the_old_servers(self):
        await self.check_instance_that_cannot_report(1)

    async def test_instance_that_is_gone_does_not_delay_the_completion(self):
        """Guards against waiting for all instances that were ever announced."""
        spec = {"address": f"{HOST}:1", "data_centre": "dc-a", "link_mbps": 1.0}
        self.store.put("entry-instances", "gone", spec)
        await self.start_fleet(1, 60.0)
        self.order(duration=30.0)
        await self.wait_for_status("completed", 25.0)

    async def test_odd_orders_affect_nothing_else(self):
        """Guards against an order of another writer that stops requests or other orders."""
        await self.start_fleet(1, 40.0)
        for number, spec in enumerate((None, 3, [], {"service": 1}, {"service": "x"})):
            self.store.put("rollouts", f"odd{number}", spec)
        self.store.put("rollout-reports", "odd", [{"instance": 3}, 7])
        self.order(target={"x": 1})
        await asyncio.sleep(1.5)
        self.order(duration=14.0)
        self.store.set_status("rollouts", SERVICE, {"state": 3, "target": None})
        await self.wait_for_status("completed", 16.0)
        self.assertEqual({*self.answers}, {200})

    async def test_streams_with_events_end_at_the_old_version(self):
        """Guards against streams that are cut when the old servers stop, or are joined from both
        versions, and against waiting for them beyond the deadline."""
        seen, response = await self.complete_beside_a_stream(pause=0.0)
        self.assertTrue(response.complete)
        self.assertEqual(response.body, b"".join(event(number) for number in range(120)))
        self.assertEqual(seen, [(0, self.servers[0].port)])

    async def test_streams_without_an_event_begin_at_the_new_version(self):
        """Guards against waiting for old servers beyond the deadline while their streams, of which
        nothing was delivered, could begin elsewhere."""
        seen, response = await self.complete_beside_a_stream(pause=60.0)
        self.assertTrue(response.complete)
        self.assertEqual(response.body, b"".join(event(number) for number in range(120)))
        self.assertEqual(seen, [(0, server.port) for server in self.servers])

    async def complete_beside_a_stream(
        self, pause: float
    ) -> tuple[list[tuple[int, int]], CallerResponse]:
        """Has an order completed while a stream runs at the old server.

        Args:
            pause: Seconds before the first event of the old server.

        Returns:
            First event and port of each run of the stream, and the response.
        """
        seen = []

        async def stream(request, writer):
            first = int(request.headers.get("last-event-id", -1)) + 1
            port = int(writer.get_extra_info("sockname")[1])
            is_old = port == self.servers[0].port
            seen.append((first, port))
            writer.write(stream_head(request))
            await writer.drain()
            await asyncio.sleep(pause if is_old else 0.0)
            for number in range(first, 120):
                writer.write(chunk(event(number)))
                await writer.drain()
                await asyncio.sleep(0.1 if is_old else 0.01)
            writer.write(b"0\r\n\r\n")

        await self.add_servers(OLD, 1, stream)
        await self.add_instances(1)
        call = asyncio.create_task(self.call(self.instances[0], "/stream/x", "POST"))
        await asyncio.sleep(0.5)
        await self.add_servers(NEW, 1, stream)
        self.order(duration=14.0)
        await self.wait_for_status("completed", 14.0)
        return seen, await call


class OtherDeploymentTest(RolloutFleetCase):
    contracts = ("base",)

    async def test_without_the_contract_no_call_is_made_and_every_server_is_used(self):
        """Guards against calls and held servers on deployments that do not roll out versions."""
        await self.add_servers(OLD, 1)
        await self.add_servers(NEW, 1)
        await self.add_instances(1)
        self.start_traffic(40.0)
        self.order()
        await asyncio.sleep(2.0)
        self.assertGreater(len(self.times(OLD)), 10)
        self.assertGreater(len(self.times(NEW)), 10)
        self.assertEqual([kind for kind in self.store.calls if "rollout" in kind], [])


class QuietTest(RolloutFleetCase):
    async def test_few_calls_are_made_without_an_order(self):
        """Guards against watches that cost as much as those of the configuration."""
        await self.add_servers(OLD, 1)
        await self.add_instances(2)
        # The first watch begins 4 s after the start.
        await asyncio.sleep(5.0)
        self.store.calls.clear()
        await asyncio.sleep(5.0)
        self.assertEqual([kind for kind in self.store.calls if "rollout" in kind], [])
        self.assertGreater(self.store.calls["GET config"], 2)


class DecodeRolloutTest(unittest.TestCase):
    def decode(self, status: object = None, **fields: object) -> StoredOrder:
        spec = {"service": SERVICE, "target": NEW, "duration_s": 12, **fields}
        return decode_rollout(SERVICE, spec, status, 7, 3)

    def test_status_of_another_target_belongs_to_an_earlier_order(self):
        """Guards against an order that is taken for completed because the last one was."""
        for status, state in (
            ({"state": "completed", "target": NEW}, RolloutState.COMPLETED),
            ({"state": "completed", "target": OLD}, None),
            ({"state": "paused", "target": NEW}, None),
            ("completed", None),
            (None, None),
        ):
            self.assertEqual(self.decode(status).state, state, status)

    def test_status_of_another_order_for_the_same_target(self):
        """Guards against an order with another duration that is taken for decided."""
        for order, state in (
            ("3/v2/12", RolloutState.ROLLED_BACK),
            ("3/v2/60", None),
            (None, RolloutState.ROLLED_BACK),
        ):
            status = {"state": "rolled_back", "target": NEW, "order": order}
            self.assertIs(self.decode(status).state, state, order)
        stored = self.decode()
        status = encode_status(stored.order, RolloutState.COMPLETED)
        self.assertIs(self.decode(status).state, RolloutState.COMPLETED)
        self.assertIsNone(self.decode(status, duration_s=13).state)

    def test_completed_status_of_an_earlier_order(self):
        """Guards against an instance that learns of the completion only with the next order."""
        for state, target, order, is_completed_before in (
            ("completed", NEW, "3/v2/60", True),
            ("completed", NEW, "3/v2/12", False),
            ("rolled_back", NEW, "3/v2/60", False),
            ("completed", OLD, "3/v1/60", False),
        ):
            stored = self.decode({"state": state, "target": target, "order": order})
            self.assertIs(stored.completed_before, is_completed_before, (state, order))

    def test_orders_without_use_are_rejected(self):
        for fields in (
            {"target": ""},
            {"target": None},
            {"duration_s": 0},
            {"duration_s": "12"},
            {"service": "other"},
        ):
            with self.assertRaises(ValueError, msg=fields):
                self.decode(**fields)

    def test_two_orders_have_different_ids(self):
        ids = {
            self.decode(**fields).order.order_id
            for fields in ({}, {"target": "v3"}, {"duration_s": 13})
        }
        self.assertEqual(len(ids), 3)
        self.assertEqual(self.decode().order, RolloutOrder(SERVICE, NEW, 12, "3/v2/12"))


if __name__ == "__main__":
    unittest.main()
