"""Simulated batching engine."""

from __future__ import annotations

import asyncio
import os
import random
import time
import uuid
from collections import OrderedDict, defaultdict, deque
from collections.abc import AsyncIterator, Callable
from typing import Any

from sapphireledge.backends.prefix_hashes import BLOCK_BYTES
from sapphireledge_standins.chained_answer import TokenChain
from sapphireledge_standins.engine_faults import EngineFaults
from sapphireledge_standins.engine_options import EngineOptions
from sapphireledge_standins.engine_sequence import EngineSequence
from sapphireledge_standins.prefix_cache import PrefixCache
from sapphireledge_standins.slot_queue import SlotQueue

__all__ = ["StandinEngine"]

FAULT_EXIT_CODE = 70
"""Exit code of a process that an injected fault ends."""

MAX_ATTEMPTS = 10_000
"""Maximum number of attempts kept for lookups; the oldest are dropped."""

REPORT_INTERVAL = 0.1
"""Seconds between recorded load reports."""

MAX_LOAD_REPORTS = 600
"""Maximum number of load reports kept."""

RATE_REPORTS = 10
"""Number of load reports, one second's worth, over which tokens per second are averaged."""

MIN_SLEEP = 0.002
"""Minimum sleep in seconds; at high rates, tokens that become due meanwhile are sent together."""

JITTER = 0.05
"""Maximum relative deviation of the time between tokens."""


class StandinEngine:
    """Batching engine without a model; docs/engine-protocol.md describes its interface."""

    def __init__(self, options: EngineOptions, on_crash: Callable[[], None] | None = None) -> None:
        """Creates an engine.

        Args:
            options: Identity, capacity and speed.
            on_crash: Called when a fault ends the engine; by default the process exits at once.
        """
        self.options = options
        self.on_crash = on_crash or (lambda: os._exit(FAULT_EXIT_CODE))
        self.boot_id = uuid.uuid4().hex
        self.faults = EngineFaults()
        self.role = options.role
        self.models: dict[tuple[str, str], set[str]] = {(options.model, options.version): set()}
        self.attempts: OrderedDict[str, EngineSequence] = OrderedDict()
        self.cache = PrefixCache(options.cache_blocks)
        self.highest_fencing = 0
        self.orders: list[dict[str, Any]] = []
        self.tokens_generated = 0
        self.tokens_prefilled = 0
        self.tokens_recomputed = 0
        self.refused: dict[str, int] = defaultdict(int)
        self.cancelled = 0
        self.requests: dict[str, list[dict[str, Any]]] = defaultdict(list)
        self.running = 0
        self._slots = SlotQueue(options.slots)
        self._random = random.Random(options.seed)
        self._started_attempts = 0
        self._reports: deque[tuple[float, int, dict[str, Any]]] = deque(maxlen=MAX_LOAD_REPORTS)
        self._report_number = 0

    @property
    def queued(self) -> int:
        """Number of sequences waiting for a slot."""
        return self._slots.queued

    def set_faults(self, faults: EngineFaults) -> None:
        """Replaces the faults; ends the engine at once if `die` is set."""
        self.faults = faults
        if faults.silence_existing:
            for sequence in self.attempts.values():
                sequence.silent = True
        if faults.die:
            self.on_crash()

    def accept(self, sequence: EngineSequence) -> None:
        """Registers an attempt and records it under its request."""
        ext = sequence.extension
        self.attempts[ext.attempt_id] = sequence
        while len(self.attempts) > MAX_ATTEMPTS:
            self.attempts.popitem(last=False)
        entry = {"attempt_id": ext.attempt_id, "first": sequence.first_offset, "tokens": 0}
        self.requests[ext.request_id].append(entry)
        self._started_attempts += 1
        nonce = f"{self.boot_id[:6]}-{self._started_attempts:x}"
        resumed = ext.resume
        sequence.chain = TokenChain(nonce, sequence.prompt, resumed.offset, resumed.text)

    def cancel(self, sequence: EngineSequence) -> None:
        """Cancels an active attempt unless the fault `ignore_cancel` is set."""
        if sequence.is_active and not self.faults.ignore_cancel:
            self.cancelled += 1
            self._end(sequence, "cancelled")

    async def generate(self, sequence: EngineSequence) -> AsyncIterator[str]:
        """Generates the output of an attempt.

        Args:
            sequence: Accepted attempt.

        Yields:
            Stream events; tokens that are due at the same time are joined.
        """
        await self._slots.acquire(sequence.extension.priority)
        if sequence.state != "queued":
            self._slots.release()
            return
        sequence.state = "running"
        self.running += 1
        try:
            await self._prefill(sequence)
            async for piece in self._decode(sequence):
                yield piece
            if sequence.state == "running":
                self._end(sequence, "finished")
                yield sequence.finish_chunk()
        finally:
            self._end(sequence, "cancelled")

    def load_report(self) -> dict[str, Any]:
        """Returns the body of `/v1/load`, with the age set by the fault `load_lag`."""
        if not self.faults.load_lag:
            self._record_load()
        until = time.monotonic() - self.faults.load_lag
        visible = [entry for entry in self._reports if entry[0] <= until]
        return (visible[-1] if visible else self._reports[0])[2]

    async def record_load_reports(self) -> None:
        """Records load reports periodically until the task is cancelled."""
        while True:
            self._record_load()
            await asyncio.sleep(REPORT_INTERVAL)

    async def order(self, order: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        """Executes an order; if fencing is checked, old fencing numbers are refused.

        Args:
            order: Body of `POST /v1/orders`.

        Returns:
            Status code and body of the response.
        """
        self.orders.append(order)
        fencing = int(order["fencing"])
        checks_fencing = self.faults.fencing == "check" or (
            not self.faults.fencing and self.options.checks_fencing
        )
        if checks_fencing and fencing < self.highest_fencing:
            error = {"code": "old_fencing", "message": "a newer holder has sent orders"}
            return 409, {"error": error, "fencing": self.highest_fencing}
        self.highest_fencing = max(self.highest_fencing, fencing)
        before = (self.role, {key: set(value) for key, value in self.models.items()})
        applied = await self._apply(order)
        if not applied:
            return 404, {"error": {"code": "unknown_model", "message": "model is not loaded"}}
        changed = before != (self.role, self.models)
        return 200, {"changed": changed, "fencing": fencing}

    def counts(self) -> dict[str, Any]:
        """Builds the body of `GET /admin/counts`."""
        return {
            "name": self.options.name,
            "boot_id": self.boot_id,
            "tokens_generated": self.tokens_generated,
            "tokens_prefilled": self.tokens_prefilled,
            "tokens_recomputed": self.tokens_recomputed,
            "cancelled": self.cancelled,
            "refused": self.refused,
            "requests": self.requests,
            "orders": self.orders,
        }

    async def _prefill(self, sequence: EngineSequence) -> None:
        """Sleeps for the prefill time of the uncached part of the prompt and the resumed text."""
        hashes = sequence.block_hashes()
        tokens = sequence.prefill_tokens(self.cache.match_prefix(hashes) * BLOCK_BYTES)
        self.tokens_prefilled += tokens
        if sequence.first_offset:
            self.tokens_recomputed += tokens
        await asyncio.sleep(tokens / self.options.prefill_rate)
        self.cache.store(hashes, time.monotonic())

    async def _decode(self, sequence: EngineSequence) -> AsyncIterator[str]:
        """Generates tokens at the configured rate."""
        interval = 1.0 / self.options.token_rate
        due = time.monotonic() + interval
        late_chunks = self._late_chunks(sequence)
        entries = self.requests[sequence.extension.request_id]
        entry = next(e for e in entries if e["attempt_id"] == sequence.extension.attempt_id)
        while sequence.state == "running" and sequence.next_offset < sequence.total:
            delay = due - time.monotonic()
            if delay > 0:
                await asyncio.sleep(max(delay, MIN_SLEEP))
                continue
            piece = []
            now = time.monotonic()
            while due <= now and sequence.next_offset < sequence.total:
                if self._should_die(sequence):
                    break
                piece.append(self._make_token(sequence))
                due += interval * (1 + JITTER * (self._random.random() * 2 - 1))
                entry["tokens"] += 1
            if late_chunks:
                piece.append(late_chunks)
                late_chunks = ""
            if piece:
                yield "".join(piece)
            if self._should_die(sequence):
                self.on_crash()
                return

    def _should_die(self, sequence: EngineSequence) -> bool:
        """Whether a fault ends the engine at the next token of a sequence."""
        faults = self.faults
        crashing = faults.die_on_text and faults.die_on_text in sequence.prompt
        return bool(crashing) and sequence.next_offset >= faults.die_at_offset

    def _make_token(self, sequence: EngineSequence) -> str:
        """Generates one token and formats its chunk, applying skip_token and repeat_token."""
        faults = self.faults
        offset = sequence.next_offset
        text = sequence.chain.next_token(offset == sequence.total - 1)
        sequence.next_offset += 1
        sequence.token_texts.append(text)
        self.tokens_generated += 1
        chunk = sequence.token_chunk(offset, text)
        if sequence.first_offset < offset:
            if offset == faults.skip_token:
                return ""
            if offset == faults.repeat_token:
                return chunk * 2
        return chunk

    def _late_chunks(self, sequence: EngineSequence) -> str:
        """Formats chunks of an earlier attempt of the same request, for the fault late_output.

        The first repeats the last token of the earlier attempt; the others are further tokens of
        it, at the offsets that the new attempt generates next.
        """
        if not self.faults.late_output:
            return ""
        request_id = sequence.extension.request_id
        earlier = [
            other
            for other in self.attempts.values()
            if other.extension.request_id == request_id
            and other is not sequence
            and other.token_texts
        ]
        if not earlier:
            return ""
        old = earlier[-1]
        chunks = [old.token_chunk(old.next_offset - 1, old.token_texts[-1])]
        for offset in range(sequence.next_offset, sequence.next_offset + 3):
            chunks.append(old.token_chunk(offset, old.chain.next_token(False)))
        return "".join(chunks)

    def _end(self, sequence: EngineSequence, state: str) -> None:
        """Sets the final state of an active attempt and frees its slot."""
        if not sequence.is_active:
            return
        held_slot = sequence.state == "running"
        sequence.state = state
        if held_slot:
            self.running -= 1
            self._slots.release()
            self.cache.store(sequence.block_hashes(with_output=True), time.monotonic())

    def _record_load(self) -> None:
        """Records one load report."""
        self._report_number += 1
        now = time.monotonic()
        window_start = self._reports[-RATE_REPORTS] if len(self._reports) >= RATE_REPORTS else None
        rate = (
            (self.tokens_generated - window_start[1]) / (now - window_start[0])
            if window_start
            else 0.0
        )
        report = {
            "boot_id": self.boot_id,
            "sequence": self._report_number,
            "time_unix": time.time(),
            "state": "leaving" if self.faults.leaving else "live",
            "role": self.role,
            "slots": self.options.slots,
            "running": self.running,
            "queued": self.queued,
            "tokens_per_second": round(rate, 1),
            "models": [
                {"model": model, "version": version, "adapters": sorted(adapters)}
                for (model, version), adapters in self.models.items()
            ],
            "name": self.options.name,
            "data_centre": self.options.data_centre,
            "region": self.options.region,
        }
        if self.options.software_version:
            report["software_version"] = self.options.software_version
        self._reports.append((now, self.tokens_generated, report))

    async def _apply(self, order: dict[str, Any]) -> bool:
        """Applies an order; returns False if the model of an adapter order is not loaded."""
        kind = order["kind"]
        key = (str(order.get("model", "")), str(order.get("version", "")))
        if kind == "set_role":
            self.role = str(order["role"])
        elif kind == "load_model":
            if key not in self.models:
                await asyncio.sleep(self.options.load_seconds)
                self.models.setdefault(key, set())
        elif kind == "unload_model":
            self.models.pop(key, None)
        elif key not in self.models:
            return False
        elif kind == "load_adapter":
            self.models[key].add(str(order["adapter"]))
        elif kind == "unload_adapter":
            self.models[key].discard(str(order["adapter"]))
        else:
            raise ValueError(f"unknown kind of order {kind!r}")
        return True
