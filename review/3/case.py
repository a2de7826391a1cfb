"""A stop cuts streams of a sound engine that pauses, although they would end in time."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from standins.client import Client
from standins.engine import EVENTS, Engine
from standins.harness import CannotRun, Harness, run_case
from standins.settings import make_config, make_route

ZONE = "akl-a"
MACHINES = 3
KEY = "n2ctnfzs989anu6wsjnb"
CALM_S = 5.0
GRACE_S = 8.0
"""`grace_s` of the sheet."""

STREAMS = 4
STOP_DELAY_S = 0.4
"""Time from the requests to the SIGTERM; the engine runs them by then."""

PREEMPT_AFTER = 10
PREEMPTED_S = 3.5
"""Pause of a preempted stream; clients wait for 16 s, four times the objective of the route."""


async def play(harness: Harness) -> bool:
    """Stops one machine after the other while it forwards streams, and starts it again."""
    record, store = harness.record, harness.store
    engines = [Engine(record, store, "draft-models", ZONE) for _ in range(2)]
    for engine in engines:
        engine.preempt_after = PREEMPT_AFTER if harness.trouble else 0
        engine.preempted_s = PREEMPTED_S
        await engine.start()
    route = make_route(
        "brief",
        "/brief/",
        "draft-models",
        kind="streaming",
        timeout_ms=25000,
        goal_ms=4000,
        priority=0,
        max_attempts=5,
        gap_goal_ms=700,
        sticky=True,
        resumable=False,
    )
    store.put("config", "main", make_config(1, [route], ["draft-models"], [KEY]))
    machines = [harness.add_entry(f"front-{ZONE}-{n + 1}", ZONE) for n in range(MACHINES)]
    await harness.start_ready(machines)
    await asyncio.sleep(CALM_S)
    lost = total = 0
    for machine in machines:
        clients = [Client(record, machine) for _ in range(STREAMS)]
        calls = [
            asyncio.create_task(client.call_stream("/brief/1", key=KEY, deadline_ms=25000))
            for client in clients
        ]
        await asyncio.sleep(STOP_DELAY_S)
        stopped_at = record.now()
        machine.send(signal.SIGTERM)
        answers = await asyncio.gather(*calls)
        assert machine.process is not None
        await asyncio.wait_for(machine.process.wait(), GRACE_S + 1.0)
        ran = {request_id for engine in engines for _, request_id in engine.runs}
        for call in answers:
            if call.request_id not in ran:
                raise CannotRun(f"no engine ran {call}")
            total += 1
            events = call.body.count(b"data: ")
            is_complete = call.body.endswith(b"0\r\n\r\n") and events == EVENTS
            if not is_complete and call.ended - stopped_at < GRACE_S * 5 / 6:
                lost += 1
                record.add(
                    f"{call.request_id} was cut by {machine.name} after {events} events, "
                    f"{call.ended - stopped_at:.3f} s after the SIGTERM"
                )
        await machine.start()
        if not await machine.wait_ready(15.0):
            raise CannotRun(f"{machine.name} is not ready again")
        await asyncio.sleep(CALM_S)
    record.add(f"{lost} of {total} streams were cut around a SIGTERM while their engine ran them")
    return lost > 0


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
