"""A stop cuts streams that a sound engine has preempted, although they would end in time."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from standins.client import Client
from standins.engine import EVENTS, Engine
from standins.harness import CannotRun, Harness, run_case
from standins.settings import make_config, make_route

ZONE = "akl-a"
MACHINES = 4
KEY = "n2ctnfzs989anu6wsjnb"
CALM_S = 5.0
GRACE_S = 8.0
"""`grace_s` of the sheet."""

STOP_DELAY_S = 3.3
"""Time from the request to the SIGTERM, shortly before the memory of the engine runs out."""

OTHERS = (9500,) * 8
"""Tokens of the runs of other callers; with the stream's 8,200, memory runs out at event 85."""

RELOAD_S = 3.5
"""Pause of a preempted stream: 2.4 s until another run ends, and 1.1 s to read in 8,600 tokens."""


async def play(harness: Harness) -> bool:
    """Stops one machine after the other while it forwards streams, and starts it again."""
    record, store = harness.record, harness.store
    engines = [Engine(record, store, "draft-models", ZONE) for _ in range(2)]
    for engine in engines:
        engine.reload_s = RELOAD_S
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
    lost = 0
    for machine in machines:
        for engine in engines:
            engine.others = OTHERS if harness.trouble else ()
        task = asyncio.create_task(
            Client(record, machine).call_stream("/brief/1", key=KEY, deadline_ms=25000)
        )
        await asyncio.sleep(STOP_DELAY_S)
        stopped_at = record.now()
        machine.send(signal.SIGTERM)
        call = await task
        assert machine.process is not None
        await asyncio.wait_for(machine.process.wait(), GRACE_S + 1.0)
        ran = {request_id for engine in engines for _, request_id in engine.runs}
        if call.request_id not in ran:
            raise CannotRun(f"no engine ran {call}")
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
    record.add(
        f"{lost} of {len(machines)} streams were cut around a SIGTERM while their engine ran them"
    )
    return lost > 0


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
