"""CPU time per relayed token of `EngineClient.stream`.

The engine stand-in runs in a separate process, so that only the client is measured. At a low token
rate per stream nearly every token arrives in its own packet, as with a real engine; at a high rate
several tokens share the cost of a packet.
"""

from __future__ import annotations

import asyncio
import os
import resource
import subprocess
import sys
import time
from typing import Annotated

import msgspec
import typer

from sapphireledge.backends import (
    AttemptFinished,
    ConnectionPools,
    EngineClient,
    GenerationCall,
    StreamToken,
)
from sapphireledge_standins.chained_answer import check_chained_answer


async def run_streams(address: str, streams: int, tokens: int) -> dict[str, float]:
    """Runs concurrent streams and measures the CPU time of this process."""
    pools = ConnectionPools(streams=streams)
    client = EngineClient(address, pools, accept_timeout=30.0)
    body = {"model": "drafter", "prompt": "draft", "max_tokens": tokens}
    answers: list[tuple[str, object]] = []

    async def run_stream(number: int) -> None:
        text: list[str] = []
        end: object = None
        call = GenerationCall(f"bench-{number}", 1, "/v1/completions", body, "v1")
        async for event in client.stream(call):
            if type(event) is StreamToken:
                text.append(event.text)
            else:
                end = event
        answers.append(("".join(text), end))

    await run_stream(-1)
    answers.clear()
    before, wall = os.times(), time.monotonic()
    async with asyncio.TaskGroup() as group:
        for number in range(streams):
            group.create_task(run_stream(number))
    after, wall = os.times(), time.monotonic() - wall
    reports = [(check_chained_answer(text), end) for text, end in answers]
    received = sum(report.tokens for report, _ in reports)
    complete = [report.complete and isinstance(end, AttemptFinished) for report, end in reports]
    per_token = 1e6 / max(1, received)
    await pools.close()
    return {
        "tokens": received,
        "tokens_per_second": round(received / wall, 1),
        "user_us_per_token": round((after.user - before.user) * per_token, 2),
        "system_us_per_token": round((after.system - before.system) * per_token, 2),
        "not_complete": complete.count(False),
    }


def main(
    streams: Annotated[int, typer.Option(help="Concurrent streams.")] = 100,
    tokens: Annotated[int, typer.Option(help="Tokens per stream.")] = 200,
    token_rate: Annotated[float, typer.Option(help="Tokens per second and stream.")] = 30.0,
) -> None:
    """Starts an engine stand-in, runs the measurement and prints the result as JSON."""
    options = ["--port", "0", "--slots", str(streams), "--token-rate", str(token_rate)]
    command = [sys.executable, "-m", "sapphireledge_standins.engine_server", *options]
    engine = subprocess.Popen(command, stdout=subprocess.PIPE, text=True, env=os.environ)
    try:
        address = engine.stdout.readline().split()[1]
        result = asyncio.run(run_streams(address, streams, tokens))
    finally:
        engine.kill()
        engine.wait()
    used = resource.getrusage(resource.RUSAGE_CHILDREN)
    engine_cpu = (used.ru_utime + used.ru_stime) / max(1, result["tokens"]) * 1e6
    result["engine_cpu_us_per_token"] = round(engine_cpu, 2)
    settings = {"streams": streams, "token_rate": token_rate}
    print(msgspec.json.encode({**settings, **result}).decode())


if __name__ == "__main__":
    typer.run(main)
