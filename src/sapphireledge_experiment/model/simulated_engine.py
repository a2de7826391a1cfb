"""Engine that runs streams in common steps."""

from __future__ import annotations

from collections import OrderedDict
from itertools import count
from typing import TYPE_CHECKING

from sapphireledge.core.backpressure import ServerSignals

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable

    from sapphireledge_experiment.model.engine_run import EngineRun
    from sapphireledge_experiment.model.virtual_clock import VirtualClock
    from sapphireledge_experiment.settings import EngineSpec

__all__ = ["SimulatedEngine"]

CRASH_DELAY = 0.05
"""Seconds after its first event at which a stream that crashes engines ends its engine."""

TOKENS_PER_KILO = 1_000.0
"""Tokens in the unit of `EngineSpec.context_time`."""


class SimulatedEngine:
    """One incarnation of an engine: slots, prompts in chunks, KV cache in blocks, copies, reports.

    In each step, prompts are processed up to one chunk, the earliest first, and each stream whose
    prompt is processed generates one event. A stream without memory interrupts the latest one,
    whose tokens are then processed again.
    """

    def __init__(self, name: str, data_centre: int, cfg: EngineSpec, clock: VirtualClock) -> None:
        """Starts an engine.

        Args:
            name: Server id, unique for the incarnation.
            data_centre: Number of its data centre.
            cfg: Speed and memory.
            clock: Clock of the model.
        """
        self.name = name
        """Server id."""

        self.data_centre = data_centre
        """Number of its data centre."""

        self.cfg = cfg
        """Speed and memory."""

        self.is_dead = False
        """Whether it has ended."""

        self.is_silent = False
        """Whether it sends and computes nothing."""

        self.slowness = 1.0
        """Factor of the duration of a step."""

        self.signals = ServerSignals()
        """What its responses ask for."""

        self.on_crash: Callable[[], None] = lambda: None
        """Called when a stream ends the engine."""

        self.is_rejecting = False
        """Whether it rejects new streams."""

        self.waiting: list[EngineRun] = []
        """Runs that wait for a slot."""

        self.running: list[EngineRun] = []
        """Runs that have a slot."""

        self.free_blocks = cfg.memory // cfg.block
        """Blocks of memory that no run or copy holds."""

        self.processed = 0
        """Tokens of prompts processed and events generated."""

        self.preemptions = 0
        """Runs that lost their memory to another one."""

        self.report = (0, 0, 0, self.free_blocks)
        """Latest report: waiting, processing a prompt, running, free blocks."""

        self._clock = clock
        self._copies: dict[Hashable, int] = {}
        self._kept: OrderedDict[int, EngineRun] = OrderedDict()
        self._prefixes: OrderedDict[int, int] = OrderedDict()
        self._numbers = count()
        self._is_stepping = False
        self._schedule_report()

    @property
    def total_blocks(self) -> int:
        """All blocks of memory."""
        return self.cfg.memory // self.cfg.block

    @property
    def used_blocks(self) -> int:
        """Blocks of memory that runs, copies and kept caches hold."""
        held = sum(run.blocks for run in (*self.running, *self._kept.values()))
        return held + sum(self._copies.values())

    def accept(self, run: EngineRun, copy_of: EngineRun | None = None) -> bool:
        """Receives a run.

        Args:
            run: The run.
            copy_of: Earlier run whose complete copy this engine holds.

        Returns:
            Whether it is accepted; otherwise it was rejected as not run.
        """
        if self.is_rejecting or len(self.waiting) >= self.cfg.queue:
            return False
        run.number = next(self._numbers)
        if copy_of is not None and copy_of in self._copies:
            self.free_blocks += self._copies.pop(copy_of)
            run.cached = run.context
        kept = self._kept.get(run.request.number)
        if kept is not None:
            run.cached = max(run.cached, kept.context)
            self._forget(kept)
        self.waiting.append(run)
        self.waiting.sort(key=lambda item: (item.rank, item.number))
        self._start_step()
        return True

    def cancel(self, run: EngineRun) -> None:
        """Ends a run that is no longer read; its copy stays, and its KV cache for a while."""
        if run.ended:
            return
        run.ended = True
        if run in self.running and not run.unread and self.cfg.keep_time:
            self.running.remove(run)
            self._kept[run.request.number] = run
            self._clock.after(self.cfg.keep_time, lambda: self._forget(run))
        else:
            self._remove(run)

    def keeps(self, request_number: int) -> bool:
        """Whether the engine has kept the KV cache of a request."""
        return request_number in self._kept and not self.is_dead

    def _forget(self, run: EngineRun) -> None:
        """Frees a kept KV cache."""
        if self._kept.get(run.request.number) is run:
            del self._kept[run.request.number]
            self.free_blocks += run.blocks
            run.blocks = 0

    def _make_room(self, blocks: int) -> None:
        """Frees kept KV caches, the oldest first, until there are as many free blocks."""
        while self._kept and self.free_blocks < blocks:
            self._forget(next(iter(self._kept.values())))

    def find_generated(self, request_number: int) -> int | None:
        """Looks up how many events the run of a request has generated, None if it has no run."""
        for run in (*self.running, *self.waiting):
            if run.request.number == request_number:
                return run.generated
        return None

    def die(self, *, is_reset: bool = True) -> None:
        """Ends the engine.

        Args:
            is_reset: Whether the connections of its runs are reset; otherwise they stay silent.
        """
        self.is_dead = True
        lost = [*self.running, *self.waiting]
        self.running, self.waiting = [], []
        for run in lost:
            run.ended = True
            run.blocks = 0
            if is_reset:
                run.on_lost(run)
        self._copies.clear()
        self._kept.clear()
        self.free_blocks = self.total_blocks

    def resume(self) -> None:
        """Goes on after a silence."""
        self.is_silent = False
        self._start_step()

    def release_copy(self, run: Hashable) -> None:
        """Frees the memory of the copy of a run of another engine."""
        self.free_blocks += self._copies.pop(run, 0)

    def reserve_copy(self, run: Hashable, tokens: int) -> bool:
        """Takes memory for the copy of a run of another engine, if there is any."""
        blocks = self._blocks_for(tokens)
        if self.is_dead or self.is_silent or blocks > self.free_blocks:
            return False
        self.free_blocks -= blocks
        self._copies[run] = blocks
        return True

    def _blocks_for(self, tokens: int) -> int:
        """Computes the blocks that hold some tokens."""
        return -(-tokens // self.cfg.block)

    def _start_step(self) -> None:
        """Starts a step unless one is running or there is nothing to do."""
        if self._is_stepping or self.is_dead or self.is_silent:
            return
        self._fill_slots()
        if not self.running:
            return
        chunk = self._plan_prompts()
        generating = [run for run in self.running if not run.unread]
        cfg = self.cfg
        context = sum(run.context for run in generating) / TOKENS_PER_KILO
        duration = (
            cfg.step_time
            + cfg.stream_time * len(generating)
            + cfg.context_time * context
            + sum(chunk.values()) / cfg.prompt_rate
        )
        self._is_stepping = True
        self._clock.after(duration * self.slowness, lambda: self._finish_step(chunk, generating))

    def _fill_slots(self) -> None:
        """Starts waiting runs while there are slots and memory for their prompts."""
        while self.waiting and len(self.running) < self.cfg.slots:
            run = self.waiting[0]
            blocks = self._blocks_for(run.context + run.request.event_tokens)
            self._make_room(blocks)
            if blocks > self.free_blocks and self.running:
                return
            self.waiting.pop(0)
            run.blocks = min(blocks, self.free_blocks)
            self.free_blocks -= run.blocks
            prefix = run.request.prefix
            if prefix in self._prefixes:
                self._prefixes.move_to_end(prefix)
                run.cached = max(run.cached, self._prefixes[prefix])
            run.unread = max(0, run.context - run.cached)
            self.running.append(run)

    def _plan_prompts(self) -> dict[EngineRun, int]:
        """Chooses the tokens of prompts that the next step processes."""
        left = self.cfg.prompt_chunk
        chunk: dict[EngineRun, int] = {}
        for run in self.running:
            if run.unread and left:
                chunk[run] = min(left, run.unread)
                left -= chunk[run]
        return chunk

    def _finish_step(self, chunk: dict[EngineRun, int], generating: list[EngineRun]) -> None:
        """Applies the results of a step."""
        self._is_stepping = False
        if self.is_dead:
            return
        if self.is_silent:
            return
        # A run without blocks lost its memory in this step and waits again.
        for run, tokens in chunk.items():
            if run.ended or not run.blocks:
                continue
            run.unread -= tokens
            run.processed += tokens
            self.processed += tokens
            if not run.unread:
                self._finish_prompt(run)
                self._generate(run)
        for run in generating:
            if not run.ended and run.blocks:
                self._generate(run)
        self._start_step()

    def _finish_prompt(self, run: EngineRun) -> None:
        """Keeps the shared prefix and begins the copy to the standby."""
        request = run.request
        if request.prefix >= 0 and self.cfg.cached_prefixes:
            self._prefixes[request.prefix] = int(request.prompt_tokens * request.kind.prefix_share)
            self._prefixes.move_to_end(request.prefix)
            while len(self._prefixes) > self.cfg.cached_prefixes:
                self._prefixes.popitem(last=False)
        standby = run.standby
        tokens = request.prompt_tokens + request.output_tokens
        if standby is not None and run.copied_at is None and standby.reserve_copy(run, tokens):
            run.copied_at = self._clock.now + run.context / self.cfg.copy_rate

    def _generate(self, run: EngineRun) -> None:
        """Generates one event, after taking memory for it."""
        tokens = run.request.event_tokens
        while self._blocks_for(run.context + tokens) > run.blocks:
            if not self._take_block(run):
                return
        run.generated += 1
        run.processed += tokens
        self.processed += tokens
        if run.is_complete:
            run.ended = True
            self._remove(run)
            run.release_copy()
        if run.request.crashes_engines and run.generated == run.first_generated + 1:
            self._clock.after(CRASH_DELAY, lambda: self.on_crash())
        run.on_event(run)

    def _take_block(self, run: EngineRun) -> bool:
        """Takes one block, if necessary from the latest run; returns whether there was one."""
        self._make_room(1)
        while not self.free_blocks:
            latest = max(self.running, key=lambda item: item.number)
            self._preempt(latest)
            if latest is run:
                return False
        self.free_blocks -= 1
        run.blocks += 1
        return True

    def _preempt(self, run: EngineRun) -> None:
        """Takes the memory of a run, which waits to process its tokens again."""
        self.preemptions += 1
        self.running.remove(run)
        self.free_blocks += run.blocks
        run.blocks = run.cached = 0
        run.unread = 0
        self.waiting.insert(0, run)

    def _remove(self, run: EngineRun) -> None:
        """Frees the slot and the memory of a run."""
        if run in self.running:
            self.running.remove(run)
        elif run in self.waiting:
            self.waiting.remove(run)
        self.free_blocks += run.blocks
        run.blocks = 0

    def _schedule_report(self) -> None:
        """Takes a load report now and schedules the next one."""
        if self.is_dead:
            return
        if not self.is_silent:
            prefilling = sum(1 for run in self.running if run.unread)
            self.report = (len(self.waiting), prefilling, len(self.running), self.free_blocks)
        self._clock.after(self.cfg.report_interval, self._schedule_report)
