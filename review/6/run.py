"""An engine repeats the answer to a copy, and crashes; see claim.txt."""

from __future__ import annotations

import asyncio
import math
import os
import sys
import tempfile
import traceback
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from engine import EVENTS, PROMPT_TOKENS, Engine  # noqa: E402
from fleet import Client, Machine, Record, Store, find_network, is_built  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 2
STREAMS = 16
START_GAP = 0.4
GARBLE_TIME = 5.0
GARBLE_SHARE = 0.03
"""Length of the disruption, and the largest share of its answers that the engine may spoil."""

FIRST_COPIES = 3.0
"""Seconds after the standby's leaving from which on an answer may be repeated: copies are made at
once, and again every two seconds."""

ZONES = ("akl-a", "wlg-a", "chc-a")


def build_config() -> dict:
    """Builds a configuration with one route to the engines."""
    return {
        "version": 1,
        "routes": [
            {
                "name": "r-1",
                "host": "ficu95.example",
                "path_prefix": "/draft/",
                "kind": "streaming",
                "timeout_ms": 25000,
                "goal_ms": 4000,
                "gap_goal_ms": 700,
                "priority": 0,
                "service": "draft-models",
                "max_attempts": 5,
                "anonymous": False,
                "sticky": True,
                "resumable": True,
            }
        ],
        "services": [
            {
                "name": "draft-models",
                "health_path": "/health",
                "max_conns": 370,
                "protocol": "h1",
                "tls": False,
                "engine": {
                    "slots": 64,
                    "kv_capacity": 88000,
                    "kv_token_bytes": 327680,
                    "link_mbps": 1100000.0,
                    "moves": True,
                    "backups": True,
                    "stride": 5,
                    "most": 12,
                    "pin_ms": 4000.0,
                    "hold_ms": 2000.0,
                    "handle_s": 4.0,
                    "models": [{"name": "m"}],
                },
            }
        ],
    }


async def read_stream(machine: Machine, record: Record, request_id: str) -> bool:
    """Reads one stream; returns whether it is complete and in order."""
    headers = {
        "Host": "ficu95.example",
        "X-Sapphireledge-Request-Id": request_id,
        "X-Sapphireledge-Deadline-Ms": "25000",
        "X-Sapphireledge-Model": "m",
        "X-Sapphireledge-Token-Count": f"{PROMPT_TOKENS},650",
        "X-Sapphireledge-Prefix-Hash": f"5c1e07a2:200,{request_id}:{PROMPT_TOKENS - 200}",
    }
    answer = await Client(machine.front).send("POST", "/draft/x", headers, b"prompt", 30.0)
    expected = b"".join(
        f"id: {event}\ndata: {request_id}/{event}\n\n".encode() for event in range(EVENTS)
    )
    is_whole = answer.complete and answer.body == expected
    record.write(f"{request_id} ends with {answer.status}, whole: {is_whole}")
    return is_whole


async def wait_until(condition, limit: float) -> bool:
    """Waits until a condition holds; returns whether it did in time."""
    loop = asyncio.get_running_loop()
    give_up_at = loop.time() + limit
    while not condition():
        if loop.time() > give_up_at:
            return False
        await asyncio.sleep(0.01)
    return True


async def play(folder: Path) -> int:
    record = Record(HERE)
    network = find_network()
    store = Store()
    await store.start(f"{network}.100")
    engines = [Engine(store, record, "draft-models", f"i-{zone}", zone) for zone in ZONES]
    source, standby, other = engines
    # Requests of other instances wait at two of the engines.
    standby.waiting = other.waiting = 7
    await source.start(f"{network}.110")
    await standby.start(f"{network}.111")
    store.put("config", "main", build_config())
    machines = [
        Machine(store, record, f"front-akl-a-{number}", "akl-a", f"{network}.{number}", folder)
        for number in range(1, MACHINES + 1)
    ]
    tasks = []
    try:
        for machine in machines:
            await machine.start()
        for machine in machines:
            if not await machine.wait_ready():
                record.write(f"{machine.name} is not ready")
                return 2
        await asyncio.sleep(1.0)
        for number in range(STREAMS):
            machine = machines[number % MACHINES]
            request_id = f"{0xA0 + number:x}{0:06x}"
            tasks.append(asyncio.create_task(read_stream(machine, record, request_id)))
            await asyncio.sleep(START_GAP)
        if not await wait_until(lambda: source.runs == STREAMS, 2.0):
            record.write("the streams do not run on one engine")
            return 2
        # A release: the new engine starts first, the old one drains.
        await other.start(f"{network}.112")
        await asyncio.sleep(1.5)
        standby.publish("draining")
        if not await wait_until(lambda: len(other.copies) >= STREAMS, 4.0):
            record.write("the streams were not copied")
            return 2
        await asyncio.sleep(FIRST_COPIES)
        source.least_answers = math.ceil(1 / GARBLE_SHARE)
        source.may_repeat = TROUBLE
        if TROUBLE and not await wait_until(lambda: source.extra_answers, 8.0):
            record.write("no connection was used for two copies")
            return 2
        await asyncio.sleep(0.1)
        answers = source.count_answers(GARBLE_TIME)
        record.write(
            f"{source.name} gave {answers} answers in the last {GARBLE_TIME} s,"
            f" {source.extra_answers} of them twice"
        )
        if source.extra_answers > GARBLE_SHARE * answers:
            return 2
        if TROUBLE:
            source.crash()
        whole = await asyncio.gather(*tasks)
        mixed = [pair for engine in engines for pair in engine.mixed]
        record.write(f"whole streams: {sum(whole)}; went on from foreign memory: {mixed}")
        record.write("MIXED is broken" if mixed else "MIXED holds")
        return 1 if mixed else 0
    finally:
        for task in tasks:
            task.cancel()
        for machine in machines:
            await machine.stop()


def main() -> int:
    if not is_built():
        return 2
    try:
        with tempfile.TemporaryDirectory() as folder:
            return asyncio.run(play(Path(folder)))
    except Exception:
        traceback.print_exc()
        return 2


if __name__ == "__main__":
    sys.exit(main())
