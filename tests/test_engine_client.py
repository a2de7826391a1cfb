"""Tests of the engine client against the engine stand-in."""

from __future__ import annotations

import asyncio
from contextlib import aclosing

from standin_case import StandinCase, collect, join_text, make_call

from sapphireledge.backends import (
    AttemptFinished,
    AttemptStarted,
    CacheEventPoller,
    CallFailure,
    CallFailureCause,
    EngineOrder,
    GenerationCall,
    LoadPoller,
    OrderStatus,
    StreamToken,
    prompt_text,
)
from sapphireledge.core.fleet import OrderAction
from sapphireledge.errors import Ran
from sapphireledge_standins.chained_answer import check_chained_answer


class StreamTest(StandinCase):
    """Guards against lost, added or misattributed events of a stream."""

    async def test_chat_stream_is_complete(self):
        engine = await self.start_engine()
        call = make_call()
        events = await collect(engine.client, call)
        self.assertEqual(events[0], AttemptStarted(1))
        self.assertEqual(events[-1], AttemptFinished(12, "length"))
        self.assertEqual([event.offset for event in events[1:-1]], list(range(12)))
        self.assertTrue(check_chained_answer(join_text(events), prompt_text(call.body)).complete)

    async def test_text_completion_stream_is_complete(self):
        engine = await self.start_engine()
        body = {"model": "drafter", "prompt": "draft", "max_tokens": 5}
        events = await collect(engine.client, GenerationCall("r", 1, "/v1/completions", body, "v1"))
        self.assertEqual(events[-1], AttemptFinished(5, "length"))
        self.assertTrue(check_chained_answer(join_text(events), "draft").complete)

    async def test_connection_is_reused_after_a_complete_stream(self):
        engine = await self.start_engine()
        for number in range(4):
            await collect(engine.client, make_call(f"r{number}"))
        self.assertEqual(len(engine.app.connections), 1)

    async def test_resumed_answer_has_no_gap_or_repetition(self):
        engine, other = await self.start_engine(), await self.start_engine()
        pieces = [e.text for e in await collect(engine.client, make_call()) if hasattr(e, "text")]
        for offset in (1, 6, 11):
            text = "".join(pieces[:offset])
            call = make_call(f"r1-{offset}", attempt=2, offset=offset, text=text)
            events = await collect(other.client, call)
            self.assertEqual(events[1].offset, offset)
            report = check_chained_answer(text + join_text(events), prompt_text(call.body))
            self.assertTrue(report.complete, report)
            self.assertEqual(len(report.nonces), 2)

    async def test_warm_engine_recomputes_less_than_a_cold_one(self):
        warm, cold = await self.start_engine(), await self.start_engine()
        prompt = "words of a long prompt " * 100
        first = await collect(warm.client, make_call(tokens=40, prompt=prompt))
        text = "".join(event.text for event in first[1:31])
        resume = make_call(attempt=2, tokens=40, prompt=prompt, offset=30, text=text)
        for engine in (warm, cold):
            await collect(engine.client, resume)
        recomputed = [engine.state.tokens_recomputed for engine in (warm, cold)]
        self.assertLess(recomputed[0] * 5, recomputed[1])

    async def test_urgent_work_starts_first(self):
        engine = await self.start_engine(slots=1)
        ended = []

        async def run(name: str, priority: int, tokens: int, accepted: asyncio.Event) -> None:
            call = make_call(name, tokens=tokens, priority=priority)
            async for event in engine.client.stream(call):
                if isinstance(event, AttemptStarted):
                    accepted.set()
            ended.append(name)

        async with asyncio.TaskGroup() as group:
            for name, priority, tokens in (("running", 5, 400), ("later", 5, 4), ("urgent", 0, 4)):
                accepted = asyncio.Event()
                group.create_task(run(name, priority, tokens, accepted))
                await accepted.wait()
        self.assertEqual(ended, ["running", "urgent", "later"])


class CancelTest(StandinCase):
    """Guards against attempts that keep running after cancellation or the end of their stream."""

    async def test_cancel_ends_the_stream_and_frees_the_slot(self):
        engine = await self.start_engine(slots=1)
        async with aclosing(engine.client.stream(make_call(tokens=4000))) as events:
            async for event in events:
                if isinstance(event, StreamToken) and event.offset == 3:
                    self.assertTrue(await engine.client.cancel("r1.1.1"))
                last = event
        self.assertEqual((last.cause, last.ran), (CallFailureCause.TRUNCATED, Ran.YES))
        self.assertFalse((await engine.client.probe("r1.1.1")).attempt_active)
        self.assertIsInstance((await collect(engine.client, make_call("r2")))[-1], AttemptFinished)

    async def test_cancel_of_an_unknown_attempt_succeeds(self):
        engine = await self.start_engine()
        self.assertTrue(await engine.client.cancel("none.1.1"))

    async def test_closing_the_stream_cancels_the_attempt(self):
        engine = await self.start_engine()
        async with aclosing(engine.client.stream(make_call(tokens=4000))) as events:
            async for event in events:
                if isinstance(event, StreamToken):
                    break
        await asyncio.sleep(0.05)
        self.assertEqual((engine.state.running, engine.state.cancelled), (0, 1))

    async def test_probe_reports_an_attempt_that_ignored_its_cancellation(self):
        engine = await self.start_engine()
        engine.set_faults(ignore_cancel=True)
        async with aclosing(engine.client.stream(make_call(tokens=4000))) as events:
            await anext(events)
            await anext(events)
            await engine.client.cancel("r1.1.1")
            self.assertTrue((await engine.client.probe("r1.1.1")).attempt_active)
            self.assertIsInstance(await anext(events), StreamToken)


class FaultTest(StandinCase):
    """Guards against misclassified faults, above all a false "not run"."""

    async def test_engine_death_breaks_the_stream_and_refuses_new_connections(self):
        engine = await self.start_engine()
        events = []
        async for event in engine.client.stream(make_call(tokens=4000)):
            events.append(event)
            if len(events) == 5:
                engine.set_faults(die=True)
        self.assertEqual(
            (events[-1].cause, events[-1].ran), (CallFailureCause.CONNECTION_LOST, Ran.YES)
        )
        (failure,) = await collect(engine.client, make_call("r2"))
        self.assertEqual((failure.cause, failure.ran), (CallFailureCause.NOT_CONNECTED, Ran.NO))
        self.assertFalse((await engine.client.probe("r1.1.1")).alive)

    async def test_only_the_crashing_request_kills_the_engine(self):
        engine = await self.start_engine()
        engine.set_faults(die_on_text="crash me", die_at_offset=4)
        self.assertIsInstance((await collect(engine.client, make_call()))[-1], AttemptFinished)
        events = await collect(engine.client, make_call("r2", prompt="please crash me"))
        self.assertEqual(events[-1].cause, CallFailureCause.CONNECTION_LOST)
        self.assertEqual(len(join_text(events).split()), 4)

    async def test_stream_continues_after_the_engine_was_frozen(self):
        engine = await self.start_engine()
        stream = engine.client.stream(make_call(tokens=100))
        async with aclosing(stream):
            events = [await anext(stream) for _ in range(3)]
            engine.set_faults(freeze=True)
            waiting = asyncio.ensure_future(anext(stream))
            await asyncio.sleep(0.1)
            self.assertFalse((await engine.client.probe("r1.1.1", 0.1)).alive)
            late = await engine.client.load()
            self.assertEqual((late.cause, late.ran), (CallFailureCause.NO_ANSWER, Ran.UNKNOWN))
            engine.set_faults()
            events.append(await waiting)
            events += [event async for event in stream]
        self.assertTrue(check_chained_answer(join_text(events)).complete)

    async def test_attempt_can_resume_when_only_open_connections_are_silent(self):
        engine = await self.start_engine()
        stream = engine.client.stream(make_call(tokens=400))
        async with aclosing(stream):
            events = [await anext(stream) for _ in range(6)]
            engine.set_faults(silence_existing=True)
            await asyncio.sleep(0.05)
            probe = await engine.client.probe("r1.1.1")
            self.assertEqual((probe.alive, probe.attempt_active), (True, True))
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.1):
                    events += [event async for event in stream]
        text, offset = join_text(events), len(events) - 1
        resumed = make_call(attempt=2, tokens=400, offset=offset, text=text)
        text += join_text(await collect(engine.client, resumed))
        self.assertTrue(check_chained_answer(text).complete)

    async def test_silent_idle_connections_cost_one_timeout(self):
        engine = await self.start_engine()
        await asyncio.gather(*(collect(engine.client, make_call(f"r{n}")) for n in range(3)))
        engine.set_faults(silence_existing=True)
        (failure,) = await collect(engine.client, make_call("r4"))
        self.assertEqual((failure.cause, failure.ran), (CallFailureCause.NO_ANSWER, Ran.UNKNOWN))
        self.assertIsInstance((await collect(engine.client, make_call("r5")))[-1], AttemptFinished)

    async def test_refused_calls_report_not_run(self):
        engine = await self.start_engine()
        cases = [
            ({"busy": True}, make_call(), CallFailureCause.BUSY, 1.0),
            ({"leaving": True}, make_call(), CallFailureCause.LEAVING, None),
            ({}, make_call(model_version="v9"), CallFailureCause.UNKNOWN_MODEL, None),
        ]
        for faults, call, cause, retry_after in cases:
            engine.set_faults(**faults)
            (failure,) = await collect(engine.client, call)
            seen = (failure.cause, failure.ran, failure.retry_after)
            self.assertEqual(seen, (cause, Ran.NO, retry_after))
        self.assertEqual(engine.state.tokens_generated, 0)

    async def test_running_attempt_is_not_started_twice(self):
        engine = await self.start_engine()
        async with aclosing(engine.client.stream(make_call(tokens=4000))) as events:
            await anext(events)
            (failure,) = await collect(engine.client, make_call())
            self.assertEqual((failure.cause, failure.ran), (CallFailureCause.INVALID, Ran.NO))

    async def test_skipped_and_repeated_tokens_are_visible_in_the_offsets(self):
        engine = await self.start_engine()
        engine.set_faults(skip_token=5)
        offsets = [
            e.offset for e in await collect(engine.client, make_call()) if hasattr(e, "text")
        ]
        self.assertEqual(offsets, [n for n in range(12) if n != 5])
        engine.set_faults(repeat_token=5)
        events = await collect(engine.client, make_call("r2"))
        self.assertEqual([e.offset for e in events[1:-1]], [*range(6), *range(5, 12)])
        self.assertFalse(check_chained_answer(join_text(events)).intact)

    async def test_late_output_names_the_attempt_it_belongs_to(self):
        engine = await self.start_engine()
        async with aclosing(engine.client.stream(make_call(tokens=50))) as events:
            first = [await anext(events) for _ in range(6)]
        engine.set_faults(late_output=True)
        call = make_call(attempt=2, tokens=50, offset=5, text=join_text(first))
        events = await collect(engine.client, call)
        late = [e for e in events if isinstance(e, StreamToken) and e.attempt == 1]
        current = [e for e in events if isinstance(e, StreamToken) and e.attempt == 2]
        self.assertEqual(len(late), 4)
        self.assertTrue(check_chained_answer(join_text(first) + join_text(current)).complete)


class PollTest(StandinCase):
    """Guards against stale or missing reports that are treated as current."""

    async def test_stale_load_reports_are_delivered_once(self):
        engine = await self.start_engine()
        reports, lost = [], []
        poller = LoadPoller(engine.client, 0.01, reports.append, lost.append)
        await asyncio.sleep(0.15)
        engine.set_faults(load_lag=0.1)
        for _ in range(3):
            await poller.poll()
        numbers = [report.sequence for report in reports]
        self.assertEqual(numbers, sorted(set(numbers)))
        self.assertLessEqual(len(reports), 2)
        engine.set_faults(leaving=True)
        await poller.poll()
        self.assertTrue(reports[-1].leaving)
        engine.server.abort()
        await poller.poll()
        self.assertEqual(len(lost), 1)

    async def test_cache_event_gaps_are_no_loss_but_a_restart_is(self):
        engine, fresh = await self.start_engine(cache_blocks=6), await self.start_engine()
        pages = []
        poller = CacheEventPoller(engine.client, 0.01, pages.append)
        engine.set_faults(cache_event_loss=2)
        for number in range(3):
            prompt = f"{number} " * 800
            await collect(engine.client, make_call(f"r{number}", prompt=prompt))
            await poller.poll()
        kinds = {event.kind for page in pages for event in page.events}
        sequences = [event.sequence for page in pages for event in page.events]
        self.assertEqual(sequences, sorted(set(sequences)))
        self.assertTrue(all(number % 2 for number in sequences))
        self.assertIn("stored", kinds)
        self.assertFalse(any(page.lost for page in pages))
        poller._client = fresh.client
        await collect(fresh.client, make_call(prompt="other " * 200))
        await poller.poll()
        self.assertTrue(pages[-1].lost)
        self.assertEqual(pages[-1].events[0].sequence, 1)
        await collect(fresh.client, make_call("r2", prompt="new " * 300))
        await poller.poll()
        self.assertFalse(pages[-1].lost)
        self.assertEqual(pages[-1].events[0].sequence, pages[-2].events[-1].sequence + 1)


class OrderTest(StandinCase):
    """Guards against a wrong outcome of an order.

    An order of a previous lease holder must not count as done, and an order that may still take
    effect must not count as refused.
    """

    async def test_orders_are_idempotent_and_visible_in_the_load_report(self):
        engine = await self.start_engine()
        order = EngineOrder("o1", OrderAction.LOAD_MODEL, 3, model="drafter", version="v2")
        results = [await engine.client.order(order) for _ in range(2)]
        self.assertEqual(
            [(r.status, r.changed) for r in results], [("done", True), ("done", False)]
        )
        adapter = EngineOrder("o2", OrderAction.LOAD_ADAPTER, 3, "drafter", "v2", "court")
        self.assertEqual((await engine.client.order(adapter)).status, OrderStatus.DONE)
        role = EngineOrder("o3", OrderAction.SET_ROLE, 3, role="spare")
        self.assertEqual((await engine.client.order(role)).status, OrderStatus.DONE)
        report = await engine.client.load()
        self.assertEqual((report.role, report.models[1].adapters), ("spare", ("court",)))

    async def test_lower_fencing_number_is_rejected(self):
        engine = await self.start_engine()
        new = EngineOrder("o1", OrderAction.UNLOAD_MODEL, 9, model="x", version="v1")
        old = EngineOrder("o2", OrderAction.LOAD_MODEL, 8, model="x", version="v1")
        await engine.client.order(new)
        result = await engine.client.order(old)
        self.assertEqual((result.status, result.highest_fencing), (OrderStatus.OLD_FENCING, 9))
        engine.set_faults(fencing="ignore")
        self.assertEqual((await engine.client.order(old)).status, OrderStatus.DONE)

    async def test_unanswered_order_is_unknown_and_unsent_order_is_refused(self):
        engine = await self.start_engine(load_seconds=1.0)
        order = EngineOrder("o1", OrderAction.LOAD_MODEL, 1, model="x", version="v1")
        result = await engine.client.order(order, timeout=0.1)
        self.assertEqual(result.status, OrderStatus.UNKNOWN)
        engine.server.abort()
        self.assertEqual((await engine.client.order(order)).status, OrderStatus.REFUSED)

    async def test_invalid_order_is_refused(self):
        engine = await self.start_engine()
        order = EngineOrder("o1", OrderAction.UNLOAD_ADAPTER, 1, "x", "v1", "a")
        self.assertEqual((await engine.client.order(order)).status, OrderStatus.REFUSED)
        self.assertNotIsInstance(await engine.client.load(), CallFailure)
