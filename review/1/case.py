"""One spoiled answer without end; the machine answers nobody any more."""

from __future__ import annotations

import asyncio
from pathlib import Path

from standins.client import Client
from standins.engine import Engine
from standins.harness import CannotRun, Harness, run_case
from standins.runner import Runner
from standins.settings import make_config, make_route

ZONE = "akl-a"
KEY = "n2ctnfzs989anu6wsjnb"
CALM_S = 5.0
TIMEOUT_S = 2.5
"""`timeout_ms` of the route of the lookups."""

SLACK_S = 0.5
WAIT_S = 8.0
"""Time for which the clients of the lookups wait."""

LOOKUP_CLIENTS = 12
SOUND_STREAMS = 60
STREAMS_AT_ONCE = 20
PROMPT_TOKENS = 2000
OBSERVED_S = 25.0
PIECE = b"data: word word wor\n"
"""Repeated in the spoiled answer, each in a chunk of its own; a blank line never follows."""


async def play(harness: Harness) -> bool:
    """Spoils one answer of one engine, and watches lookups to another service."""
    record, store = harness.record, harness.store
    engines = [Engine(record, store, "draft-models", ZONE) for _ in range(3)]
    for engine in engines:
        await engine.start()
    for _ in range(2):
        await Runner(record, store, "booking-app", ZONE).start()
    routes = [
        make_route("lookup", "/lookup/", "booking-app", timeout_ms=int(TIMEOUT_S * 1000)),
        make_route(
            "brief",
            "/brief/",
            "draft-models",
            kind="streaming",
            timeout_ms=25000,
            goal_ms=4000,
            priority=0,
            max_attempts=5,
            resumable=True,
            gap_goal_ms=700,
            sticky=True,
        ),
    ]
    store.put("config", "main", make_config(1, routes, ["booking-app", "draft-models"], [KEY]))
    machine = harness.add_entry(f"front-{ZONE}-1", ZONE)
    await harness.start_ready([machine])
    await asyncio.sleep(CALM_S)
    Engine.endless = PIECE

    async def stream(count: int) -> None:
        client = Client(record, machine)
        for _ in range(count):
            await client.call_stream(
                "/brief/1", key=KEY, deadline_ms=25000, prompt_tokens=PROMPT_TOKENS
            )

    streams = (stream(SOUND_STREAMS // STREAMS_AT_ONCE) for _ in range(STREAMS_AT_ONCE))
    await asyncio.gather(*streams)
    if sum(len(engine.runs) for engine in engines) < SOUND_STREAMS:
        raise CannotRun("the engines did not run the streams")
    if harness.trouble:
        Engine.spoiled_answers = 1
    end = record.now() + OBSERVED_S
    lookups = [Client(record, machine) for _ in range(LOOKUP_CLIENTS)]

    async def look_up(client: Client) -> None:
        while record.now() < end:
            await client.call("/lookup/1", key=KEY, deadline_ms=int(WAIT_S * 1000))
            await asyncio.sleep(0.25)

    await asyncio.gather(stream(1), *(look_up(client) for client in lookups))
    if not machine.is_running:
        raise CannotRun("the machine has ended")
    unanswered = answered_soon = 0
    for call in (call for client in lookups for call in client.calls):
        latency = float("inf") if call.answered is None else call.answered - call.sent
        if latency > TIMEOUT_S:
            unanswered += 1
            answered_soon += latency <= TIMEOUT_S + SLACK_S
    total = sum(len(client.calls) for client in lookups)
    record.add(
        f"{total} lookups, {unanswered} of them unanswered at the timeout of their route, "
        f"{answered_soon} of these answered within {SLACK_S} s after it"
    )
    return unanswered >= 8 and answered_soon * 2 < unanswered


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
