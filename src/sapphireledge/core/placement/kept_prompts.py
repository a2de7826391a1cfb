"""Estimates which engines still keep the beginning of a prompt.

Load pattern: sessions and documents. Many prompts begin with the same parts, and engines keep what
they processed until newer prompts take the memory. If each instance sends such prompts wherever it
is calm, every engine processes every part. Here all instances send a part to the same few engines,
its homes, without a message between them: they order the engines by a hash of the part. What an
instance sent itself counts more than that guess. A part that many ask for gets further homes in the
same order, so the next requests find it there, too.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sapphireledge.core.placement.fleet_size import FleetSize
    from sapphireledge.core.placement.kept_prompt_limits import KeptPromptLimits
    from sapphireledge.core.placement.prompt_part import PromptPart

__all__ = ["KeptPrompts"]


@dataclass(slots=True)
class _PartRecord:
    """What is known about one part."""

    engines: dict[str, float] = field(default_factory=dict)
    """Time at which each engine last processed or used the part, oldest first."""

    demand: float = 0.0
    """Requests with the part, averaged with `rate_window`."""

    demand_at: float = 0.0
    """Time of `demand`."""


class KeptPrompts:
    """Estimates which engines of one service still keep the beginning of a prompt.

    Engines are named by incarnation, so a restarted one is unknown.
    """

    def __init__(self, limits: KeptPromptLimits) -> None:
        """Creates the estimate without any knowledge.

        Args:
            limits: Limits and weights.
        """
        self._limits = limits
        self._parts: OrderedDict[str, _PartRecord] = OrderedDict()
        self._tokens = 0.0
        self._tokens_at = 0.0
        self._home_share = limits.initial_home_share
        self._own_share = limits.initial_own_share

    def on_request(self, now: float, parts: Sequence[PromptPart]) -> None:
        """Counts a request of this instance.

        Args:
            now: Time in seconds.
            parts: Parts of the prompt in order.
        """
        self._tokens = self._decay(now, self._tokens, self._tokens_at)
        self._tokens += sum(part.tokens for part in parts)
        self._tokens_at = now
        for part in parts[:-1]:
            record = self._touch(part.part_id)
            record.demand = self._decay(now, record.demand, record.demand_at) + 1.0
            record.demand_at = now

    def on_processed(self, now: float, parts: Sequence[PromptPart], engine: str) -> None:
        """Records that an engine has processed a prompt.

        Args:
            now: Time in seconds.
            parts: Parts of the prompt in order.
            engine: Incarnation of the engine.
        """
        for part in parts:
            if part.tokens:
                engines = self._touch(part.part_id).engines
                engines.pop(engine, None)
                engines[engine] = now
                if len(engines) > self._limits.engines_per_part:
                    del engines[next(iter(engines))]

    def on_checked(self, parts: Sequence[PromptPart], engine: str, *, was_kept: bool) -> None:
        """Compares an estimate with what an engine did; called before `on_processed`.

        Args:
            parts: Parts of the prompt in order.
            engine: Incarnation of the engine.
            was_kept: Whether the first event came too early for an engine that did not keep them.
        """
        limits = self._limits
        is_own = any(engine in self._engines(part) for part in parts)
        share = self._own_share if is_own else self._home_share
        share = max(limits.lowest_share, share + limits.gain * (was_kept - share))
        if is_own:
            self._own_share = share
        else:
            self._home_share = share

    def estimate(
        self,
        now: float,
        parts: Sequence[PromptPart],
        engine: str,
        fleet: FleetSize,
        home_share: float,
        free_tokens: int | None,
    ) -> int:
        """Estimates how many tokens of a prompt an engine keeps.

        Args:
            now: Time in seconds.
            parts: Parts of the prompt in order.
            engine: Incarnation of the engine.
            fleet: Number of instances and engines.
            home_share: Probability that the engine keeps the shared parts because it is one of
                their homes, from `list_homes`.
            free_tokens: Memory of the engine for kept parts in tokens, None if unknown.

        Returns:
            The expected number.
        """
        kept = 0.0
        turnover = self._decay(now, self._tokens, self._tokens_at) / self._limits.rate_window
        turnover *= fleet.instances / fleet.engines
        for part in parts:
            used_at = self._engines(part).get(engine)
            if used_at is None:
                break
            kept += part.tokens * _survival((now - used_at) * turnover, free_tokens)
        shared = sum(part.tokens for part in parts[:-1])
        return int(max(kept * self._own_share, shared * home_share))

    def list_homes(
        self, now: float, parts: Sequence[PromptPart], engines: Iterable[str], fleet: FleetSize
    ) -> dict[str, float]:
        """Lists the engines to which all instances send a prompt because of its shared parts.

        Args:
            now: Time in seconds.
            parts: Parts of the prompt in order.
            engines: Incarnations of the engines that take requests.
            fleet: Instances and speed.

        Returns:
            The homes in order with the probability that each keeps the shared parts, and the next
            engine in this order, which takes over while the homes are busy. Empty if the prompt
            shares too little.
        """
        part = self._find_key_part(parts)
        if part is None:
            return {}
        width = self._count_homes(now, part, fleet)
        order = sorted(engines, key=lambda engine: _hash(part.part_id, engine))
        homes = dict.fromkeys(order[:width], self._home_share)
        spare_share = self._limits.spare_share * self._home_share
        return homes | dict.fromkeys(order[width : width + 1], spare_share)

    def list_keepers(self, parts: Sequence[PromptPart]) -> list[str]:
        """Lists the engines that this instance sent the beginning of a prompt to.

        Args:
            parts: Parts of the prompt in order.

        Returns:
            Incarnations, those first that processed most of the prompt, and of these the latest.
        """
        lengths: dict[str, int] = {}
        for index, part in enumerate(parts):
            for engine in self._engines(part):
                if index == 0 or engine in lengths:
                    lengths[engine] = lengths.get(engine, 0) + part.tokens
        worth = [engine for engine in lengths if lengths[engine] >= self._limits.min_tokens]
        return sorted(reversed(worth), key=lambda engine: -lengths[engine])

    def _find_key_part(self, parts: Sequence[PromptPart]) -> PromptPart | None:
        """Finds the largest shared part, the last one among equals."""
        shared = [part for part in parts[:-1] if part.tokens >= self._limits.min_tokens]
        return max(reversed(shared), key=lambda part: part.tokens, default=None)

    def _count_homes(self, now: float, part: PromptPart, fleet: FleetSize) -> int:
        """Computes how many engines the requests with a part need."""
        record = self._parts.get(part.part_id)
        if record is None:
            return 1
        # One request says nothing about a rate; the deviation of a count is its square root.
        count = self._decay(now, record.demand, record.demand_at)
        rate = max(0.0, count - 1.0 - math.sqrt(count)) / self._limits.rate_window
        load = rate * fleet.instances * fleet.prompt_time
        return 1 + int(load / self._limits.home_load)

    def _engines(self, part: PromptPart) -> dict[str, float]:
        """Returns the engines that processed a part."""
        record = self._parts.get(part.part_id)
        return {} if record is None else record.engines

    def _touch(self, part_id: str) -> _PartRecord:
        """Returns the record of a part as the latest one, and drops the oldest beyond the limit."""
        record = self._parts.pop(part_id, None) or _PartRecord()
        self._parts[part_id] = record
        if len(self._parts) > self._limits.max_parts:
            self._parts.popitem(last=False)
        return record

    def _decay(self, now: float, value: float, since: float) -> float:
        """Lets an average fade."""
        return value * math.exp((since - now) / self._limits.rate_window)


def _survival(newer_tokens: float, free_tokens: int | None) -> float:
    """Estimates the probability that a part was not evicted.

    Engines evict the part that was not used for longest, once newer ones have filled the memory;
    how many are newer is known only on average.
    """
    if free_tokens is None:
        return 1.0
    if free_tokens <= 0:
        return 0.0
    return min(1.0, max(0.0, 1.5 - newer_tokens / free_tokens))


def _hash(part_id: str, engine: str) -> int:
    """Returns the sort key of an engine among the homes of a part."""
    return xxhash.xxh3_64_intdigest(f"{part_id}/{engine}".encode())
