"""Load generator: streams generations and checks the answers token by token.

One process starts generations at a given rate and measures them. The addresses belong to entry
instances or, with `--direct`, to engine stand-ins. An engine cannot continue an answer on another
connection, so with `--direct` a broken connection ends the request.
"""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import aclosing
from dataclasses import asdict, dataclass, field
from typing import Annotated, Any

import msgspec
import typer
from aiosonic import HTTPClient, HttpResponse
from aiosonic.timeout import Timeouts
from hdrh.histogram import HdrHistogram

from sapphireledge.backends import ConnectionPools, prompt_text
from sapphireledge_standins.chained_answer import check_chained_answer

BYTES_PER_TOKEN = 4
"""Prompt bytes that the engine stand-in counts as one token."""

MAX_RECORDED_US = 3_600_000_000
"""Longest duration that a histogram can record, in microseconds."""

RETRY_INTERVAL = 0.05
"""Seconds between two attempts to reconnect."""

RETRYABLE = frozenset({429, 503})
"""Status codes after which the request for a started answer is retried."""

SHOWN_PROBLEMS = 10
"""Maximum number of faulty answers described in the result."""

RESCHEDULE_INTERVAL = 0.25
"""Minimum seconds between two extensions of the read timeout, which need not be exact."""


@dataclass(frozen=True, slots=True)
class CallerGroup:
    """Callers with the same rank, workspace and request parameters."""

    rate: float
    """Arrivals per second."""

    duration: float
    """Seconds during which requests arrive."""

    rank: str = ""
    """X-Rank header, empty for none."""

    workspace: str = ""
    """X-Workspace header, empty for none."""

    prompt_tokens: int = 100
    """Length of the prompt in tokens."""

    shared_tokens: int = 0
    """Length in tokens of the prompt prefix that all requests of the group share."""

    output_tokens: int = 100
    """Length of the answer in tokens."""

    model: str = "drafter"
    """Model name."""

    deadline_ms: int = 0
    """X-Deadline-Ms header, 0 for none."""

    token: str = ""
    """Bearer token, empty for none."""

    start: float = 0.0
    """Seconds before arrivals begin."""


@dataclass(frozen=True, slots=True)
class LoadOptions:
    """Options common to all groups."""

    addresses: tuple[str, ...]
    """"host:port" of the entry instances, used in turn."""

    direct: bool = False
    """Whether the addresses belong to engines instead of entries."""

    reconnect_limit: float = 10.0
    """Seconds without progress after which the reconnects of a broken answer end."""

    read_timeout: float = 5.0
    """Seconds without received data after which a connection counts as broken."""

    max_open: int = 5_000
    """Maximum number of open requests; arrivals beyond it count as not_sent."""

    seed: int = 1
    """Seed of the arrival times and request ids."""


def _histogram() -> HdrHistogram:
    """Creates a histogram of microseconds with three significant digits."""
    return HdrHistogram(1, MAX_RECORDED_US, 3)


@dataclass(slots=True)
class LoadResult:
    """Measurements of one group."""

    first_token: HdrHistogram = field(default_factory=_histogram)
    """Time from sending a request to its first token."""

    gap: HdrHistogram = field(default_factory=_histogram)
    """Time between two tokens."""

    longest_gap: HdrHistogram = field(default_factory=_histogram)
    """Longest gap of each answer with at least two tokens."""

    reconnect_gap: HdrHistogram = field(default_factory=_histogram)
    """Time from the last token before a broken connection to the first one after reconnecting."""

    whole: HdrHistogram = field(default_factory=_histogram)
    """Time from sending a request to the last token of its complete answer."""

    kinds: Counter[str] = field(default_factory=Counter)
    """Number of requests by result."""

    problems: list[str] = field(default_factory=list)
    """First faulty answers: request id, result and report of the checker."""

    tokens: int = 0
    """Number of tokens received."""

    reconnects: int = 0
    """Number of connections opened after the first one of each request."""

    def summary(self) -> dict[str, Any]:
        """Builds the printable result; times are in milliseconds."""
        times = ("first_token", "gap", "longest_gap", "reconnect_gap", "whole")
        return {
            "kinds": dict(self.kinds),
            "tokens": self.tokens,
            "reconnects": self.reconnects,
            "problems": self.problems,
            **{f"{name}_ms": _percentiles(getattr(self, name)) for name in times},
        }


@dataclass(slots=True)
class _Answer:
    """Progress of one request."""

    request_id: str
    body: dict[str, Any]
    headers: dict[str, str]
    sent: float
    pieces: list[str] = field(default_factory=list)
    last_id: str = ""
    last_token: float = 0.0
    longest: float = 0.0
    finished: bool = False
    reconnected: bool = False
    failure: str = ""


async def run_load(
    groups: Sequence[CallerGroup], options: LoadOptions
) -> dict[str, dict[str, Any] | float]:
    """Runs groups of callers concurrently until every answer has ended.

    Args:
        groups: Groups of callers.
        options: Addresses and limits.

    Returns:
        One summary per group under "groups", with the throughput and CPU time of this process.
    """
    # Uses the project's pools, because those of aiosonic can deliver another call's response.
    pools = ConnectionPools(streams=options.max_open)
    client = pools.streams
    cpu, wall = time.process_time(), time.monotonic()
    loads = [_Load(group, options, client, number) for number, group in enumerate(groups)]
    async with asyncio.TaskGroup() as tasks:
        for load in loads:
            tasks.create_task(load.run())
    cpu, wall = time.process_time() - cpu, time.monotonic() - wall
    await pools.close()
    tokens = sum(load.result.tokens for load in loads)
    summaries = [{**asdict(load.group), **load.result.summary()} for load in loads]
    for summary in summaries:
        summary.pop("token")
    return {
        "groups": summaries,
        "seconds": round(wall, 3),
        "tokens_per_second": round(tokens / wall, 1),
        "tool_cpu_us_per_token": round(cpu / max(1, tokens) * 1e6, 1),
    }


class _Load:
    """Sends the requests of one group."""

    def __init__(
        self, group: CallerGroup, options: LoadOptions, client: HTTPClient, number: int
    ) -> None:
        self.group = group
        self.result = LoadResult()
        self._options = options
        self._client = client
        self._random = random.Random(f"{options.seed}/{number}")
        self._prefix = f"load-{self._random.getrandbits(48):012x}"
        self._next_address = number
        self._open = 0
        # These limits only cover the response head; `_read` applies the read timeout to the body.
        self._timeouts = Timeouts(2.0, options.read_timeout, 2.0, options.read_timeout + 4.0)

    async def run(self) -> None:
        """Sends requests with Poisson arrivals and waits for their answers."""
        loop = asyncio.get_running_loop()
        due = loop.time() + self.group.start
        end = due + self.group.duration
        async with asyncio.TaskGroup() as tasks:
            for number in range(10**9):
                due += self._random.expovariate(self.group.rate)
                if due >= end:
                    return
                await asyncio.sleep(due - loop.time())
                if self._open >= self._options.max_open:
                    self.result.kinds["not_sent"] += 1
                    continue
                tasks.create_task(self._request(number))

    async def _request(self, number: int) -> None:
        """Runs one request to its end and records the result."""
        answer = self._prepare(number)
        self._open += 1
        try:
            await self._receive_all(answer)
        finally:
            self._open -= 1
        self._record(answer)

    def _prepare(self, number: int) -> _Answer:
        """Builds a request with a unique prompt."""
        group = self.group
        request_id = f"{self._prefix}-{number}"
        shared = "shared words " * (group.shared_tokens * BYTES_PER_TOKEN // 13 + 1)
        unique = f"{request_id} " * (group.prompt_tokens * BYTES_PER_TOKEN // len(request_id) + 1)
        size = group.prompt_tokens * BYTES_PER_TOKEN
        content = (shared[: group.shared_tokens * BYTES_PER_TOKEN] + unique)[: max(size, 1)]
        body = {
            "model": group.model,
            "messages": [{"role": "user", "content": f"{content} {request_id}"}],
            "max_tokens": group.output_tokens,
            "stream": True,
        }
        headers = {"Content-Type": "application/json", "X-Request-Id": request_id}
        if group.rank:
            headers["X-Rank"] = group.rank
        if group.workspace:
            headers["X-Workspace"] = group.workspace
        if group.deadline_ms:
            headers["X-Deadline-Ms"] = str(group.deadline_ms)
        if group.token:
            headers["Authorization"] = f"Bearer {group.token}"
        return _Answer(request_id, body, headers, time.monotonic())

    async def _receive_all(self, answer: _Answer) -> None:
        """Receives an answer, reconnecting as needed."""
        deadline = 0.0
        while not (answer.finished or answer.failure):
            received = len(answer.pieces)
            await self._receive(answer)
            if answer.finished or answer.failure:
                return
            if self._options.direct:
                answer.failure = "broken"
                return
            now = time.monotonic()
            if not deadline or len(answer.pieces) > received:
                deadline = now + self._options.reconnect_limit
            if now >= deadline:
                answer.failure = "broken"
                return
            answer.reconnected = True
            self.result.reconnects += 1
            await asyncio.sleep(RETRY_INTERVAL)

    async def _receive(self, answer: _Answer) -> None:
        """Receives the part of an answer that one connection delivers."""
        address = self._options.addresses[self._next_address % len(self._options.addresses)]
        self._next_address += 1
        headers = dict(answer.headers)
        if answer.last_id:
            headers["Last-Event-ID"] = answer.last_id
        try:
            response = await self._client.request(
                f"http://{address}/v1/chat/completions",
                "POST",
                headers,
                data=msgspec.json.encode(answer.body),
                timeouts=self._timeouts,
                stream=True,
            )
        except Exception:
            return
        try:
            await self._read(answer, response)
        except Exception:
            # The connection broke or timed out: the caller reconnects.
            return
        finally:
            await response.aclose()

    async def _read(self, answer: _Answer, response: HttpResponse) -> None:
        """Reads one response into the answer."""
        if response.status_code != 200:
            async with asyncio.timeout(self._options.read_timeout):
                kind = _error_kind(await response.content()) or f"status {response.status_code}"
            retry = answer.reconnected and response.status_code in RETRYABLE
            answer.failure = "" if retry else kind
            return
        if answer.pieces and response.headers.get("x-answer") == "new":
            answer.failure = "restarted"
            return
        loop = asyncio.get_running_loop()
        first = True
        async with asyncio.timeout(self._options.read_timeout) as limit:
            rescheduled_at = loop.time()
            async with aclosing(_events(response)) as events:
                async for event_id, data in events:
                    now = loop.time()
                    if now - rescheduled_at > RESCHEDULE_INTERVAL:
                        rescheduled_at = now
                        limit.reschedule(now + self._options.read_timeout)
                    if data == "[DONE]":
                        return
                    try:
                        first = self._process_event(answer, event_id, data, first)
                    except (msgspec.MsgspecError, LookupError, TypeError, AttributeError):
                        answer.failure = "malformed"
                    if answer.failure:
                        return

    def _process_event(self, answer: _Answer, event_id: str, data: str, first: bool) -> bool:
        """Processes one event; returns whether the next token is the first of the connection."""
        chunk = msgspec.json.decode(data)
        if "error" in chunk:
            answer.failure = _error_kind(data.encode()) or "error"
            return first
        choice = chunk["choices"][0]
        text = choice["delta"].get("content") or ""
        if event_id:
            answer.last_id = event_id
        if choice.get("finish_reason"):
            answer.finished = True
        if not text:
            return first
        now = time.monotonic()
        if not answer.pieces:
            _record_time(self.result.first_token, now - answer.sent)
        else:
            gap = now - answer.last_token
            answer.longest = max(answer.longest, gap)
            _record_time(self.result.gap, gap)
            if first and answer.reconnected:
                _record_time(self.result.reconnect_gap, gap)
        answer.last_token = now
        answer.pieces.append(text)
        return False

    def _record(self, answer: _Answer) -> None:
        """Checks the content of an answer and records its result."""
        result = self.result
        report = check_chained_answer("".join(answer.pieces), prompt_text(answer.body))
        result.tokens += report.tokens
        if len(answer.pieces) > 1:
            _record_time(result.longest_gap, answer.longest)
        kind = answer.failure or "complete"
        if not report.intact:
            kind = "not_intact"
        elif kind == "complete" and not report.complete:
            kind = "cut_short"
        elif kind == "complete" and report.tokens != answer.body["max_tokens"]:
            kind = "wrong_length"
        result.kinds[kind] += 1
        if kind == "complete":
            _record_time(result.whole, answer.last_token - answer.sent)
        elif not answer.failure and len(result.problems) < SHOWN_PROBLEMS:
            result.problems.append(f"{answer.request_id}: {kind}, {report}")


async def _events(response: HttpResponse) -> AsyncIterator[tuple[str, str]]:
    """Yields the id and data of each server-sent event."""
    event_id = data = ""
    async with aclosing(response.iter_lines()) as lines:
        async for line in lines:
            if line.startswith("data:"):
                data = line[5:].removeprefix(" ")
            elif line.startswith("id:"):
                event_id = line[3:].strip()
            elif not line and data:
                yield event_id, data
                event_id = data = ""


def _error_kind(body: bytes) -> str:
    """Extracts the error kind from an error body; empty if there is none."""
    try:
        error = msgspec.json.decode(body)["error"]
        return str(error.get("kind") or error.get("code") or error.get("type") or "")
    except (msgspec.MsgspecError, KeyError, TypeError, AttributeError):
        return ""


def _record_time(histogram: HdrHistogram, seconds: float) -> None:
    """Records a duration, limited to the range of the histogram."""
    histogram.record_value(min(MAX_RECORDED_US, max(1, int(seconds * 1e6))))


def _percentiles(histogram: HdrHistogram) -> dict[str, float]:
    """Returns count, percentiles and maximum, in milliseconds."""
    if not histogram.get_total_count():
        return {"count": 0}
    named = {"p50": 50, "p95": 95, "p99": 99}
    values = {key: histogram.get_value_at_percentile(value) for key, value in named.items()}
    values["max"] = histogram.get_max_value()
    shown = {key: round(value / 1e3, 2) for key, value in values.items()}
    return {"count": histogram.get_total_count(), **shown}


def main(
    addresses: Annotated[list[str], typer.Argument(help="host:port of each caller address.")],
    direct: Annotated[bool, typer.Option(help="The addresses belong to engines.")] = False,
    rate: Annotated[float, typer.Option(min=0.001, help="Arrivals per second.")] = 1.0,
    duration: Annotated[float, typer.Option(help="Seconds of arrivals.")] = 10.0,
    rank: Annotated[str, typer.Option(help="X-Rank header.")] = "",
    workspace: Annotated[str, typer.Option(help="X-Workspace header.")] = "",
    prompt_tokens: Annotated[int, typer.Option(min=1, help="Prompt length in tokens.")] = 100,
    shared_tokens: Annotated[
        int, typer.Option(min=0, help="Length of the shared prompt prefix.")
    ] = 0,
    output_tokens: Annotated[int, typer.Option(min=1, help="Answer length in tokens.")] = 100,
    model: Annotated[str, typer.Option(help="Model name.")] = "drafter",
    deadline_ms: Annotated[int, typer.Option(min=0, help="X-Deadline-Ms header.")] = 0,
    token: Annotated[str, typer.Option(help="Bearer token.")] = "",
    patience: Annotated[
        float, typer.Option(help="Seconds without progress until reconnects end.")
    ] = 10.0,
    silence: Annotated[float, typer.Option(help="Read timeout in seconds.")] = 5.0,
    max_open: Annotated[int, typer.Option(min=1, help="Maximum number of open requests.")] = 5_000,
    seed: Annotated[int, typer.Option(help="Seed of arrival times and request ids.")] = 1,
) -> None:
    """Runs one group of callers and prints the measurements as JSON."""
    group = CallerGroup(
        rate=rate,
        duration=duration,
        rank=rank,
        workspace=workspace,
        prompt_tokens=prompt_tokens,
        shared_tokens=shared_tokens,
        output_tokens=output_tokens,
        model=model,
        deadline_ms=deadline_ms,
        token=token,
    )
    options = LoadOptions(tuple(addresses), direct, patience, silence, max_open, seed)
    result = asyncio.run(run_load([group], options))
    print(msgspec.json.format(msgspec.json.encode(result), indent=1).decode())


if __name__ == "__main__":
    typer.run(main)
