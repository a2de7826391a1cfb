"""Estimates which engines still keep the beginning of a prompt.

Load pattern: sessions and documents. Many prompts begin with the same parts, and engines keep what
they processed until newer prompts take the memory. If each instance sends such prompts wherever it
is calm, every engine processes every part. Here all instances send a part to the same few engines,
its homes, without a message between them: they order the engines by a hash of the part. The homes
of a part that follows another one are among the homes of that one. What an instance sent itself
counts more than that guess. A part that many ask for, or whose homes are busy, gets further homes
in the same order, so the next requests find it there, too.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from copy import copy, deepcopy
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sapphireledge.core.placement.fleet_size import FleetSize
    from sapphireledge.core.placement.kept_prompt_limits import KeptPromptLimits
    from sapphireledge.core.placement.prompt_part import PromptPart

__all__ = ["KeptPrompts"]

FIRST_PART_COUNT = 0.5
"""Requests of others that are assumed for the first part of a prompt, before any was seen."""

MIN_SPAN = 2.0
"""Shortest time in seconds that a rate is computed over."""


@dataclass(slots=True)
class _PartRecord:
    """What is known about one part."""

    engines: dict[str, float] = field(default_factory=dict)
    """Time at which each engine last processed or used the part, oldest first."""

    demand: float = 0.0
    """Requests with the part, averaged with `rate_window`."""

    demand_at: float = 0.0
    """Time of `demand`."""

    crowding: float = 0.0
    """Requests with the part that started elsewhere because its homes were busy, averaged too."""

    crowding_at: float = 0.0
    """Time of `crowding`."""


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
        self._started_at: float | None = None
        self._requests = 0.0
        self._tokens = 0.0
        self._counted_at = 0.0
        self._home_shares = [limits.initial_first_share, limits.initial_next_share]
        self._own_share = limits.initial_own_share

    def copy_for(self, parts: Sequence[PromptPart]) -> KeptPrompts:
        """Copies what is known, of the parts only of one prompt.

        Args:
            parts: Parts of the prompt.

        Returns:
            An estimate that can change without effect on this one.
        """
        copied = copy(self)
        names = {part.part_id for part in parts}
        copied._parts = OrderedDict(
            (part_id, deepcopy(record))
            for part_id, record in self._parts.items()
            if part_id in names
        )
        copied._home_shares = list(self._home_shares)
        return copied

    def on_request(self, now: float, parts: Sequence[PromptPart]) -> None:
        """Counts a request of this instance.

        Args:
            now: Time in seconds.
            parts: Parts of the prompt in order.
        """
        if self._started_at is None:
            self._started_at = now
        self._tokens = self._decay(now, self._tokens, self._counted_at)
        self._tokens += sum(part.tokens for part in parts)
        self._requests = self._decay(now, self._requests, self._counted_at) + 1.0
        self._counted_at = now
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

    def on_crowded(self, now: float, parts: Sequence[PromptPart]) -> None:
        """Records that a request started elsewhere because the homes of its parts were busy.

        Args:
            now: Time in seconds.
            parts: Parts of the prompt in order.
        """
        for part in self._list_key_parts(parts):
            record = self._touch(part.part_id)
            record.crowding = self._decay(now, record.crowding, record.crowding_at) + 1.0
            record.crowding_at = now

    def on_checked(self, parts: Sequence[PromptPart], engine: str, kept_tokens: float) -> None:
        """Compares the estimate with what an engine did; called before `on_processed`.

        Args:
            parts: Parts of the prompt in order.
            engine: Incarnation of the engine.
            kept_tokens: Tokens of the prompt that it did not process, from its first event.
        """
        before = 0
        for index, part in enumerate(parts[:-1]):
            was_kept = kept_tokens >= before + part.tokens / 2
            before += part.tokens
            if part.tokens < self._limits.checked_tokens:
                continue
            if engine in self._engines(part):
                self._own_share = self._learn(self._own_share, was_kept)
            else:
                depth = min(index, 1)
                self._home_shares[depth] = self._learn(self._home_shares[depth], was_kept)

    def estimate(
        self,
        now: float,
        parts: Sequence[PromptPart],
        engine: str,
        fleet: FleetSize,
        home_weight: float,
        free_tokens: int | None,
    ) -> int:
        """Estimates how many tokens of a prompt an engine keeps.

        Args:
            now: Time in seconds.
            parts: Parts of the prompt in order.
            engine: Incarnation of the engine.
            fleet: Number of instances and engines.
            home_weight: Weight of the engine among the homes of the prompt, from `list_homes`.
            free_tokens: Memory of the engine for kept parts in tokens, None if unknown.

        Returns:
            The expected number.
        """
        kept = 0.0
        turnover = self._measure_rate(now, self._tokens, fleet) / fleet.engines
        for part in parts:
            used_at = self._engines(part).get(engine)
            if used_at is None:
                break
            kept += part.tokens * _survival((now - used_at) * turnover, free_tokens)
        shares = (self._home_shares[min(index, 1)] for index in range(len(parts)))
        shared = sum(part.tokens * share for part, share in zip(parts[:-1], shares, strict=False))
        return int(max(kept * self._own_share, shared * home_weight))

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
            The homes in order with weight 1, and the next engine in this order, which takes over
            while the homes are busy, with a lower one. Empty if the prompt shares too little.
        """
        order = list(engines)
        width = 0
        for part in self._list_key_parts(parts):
            order.sort(key=lambda engine, key=part.part_id: _hash(key, engine))
            width = self._count_homes(now, part, fleet, is_first=part == parts[0])
            order = order[: width + 1]
        if not width:
            return {}
        return {
            engine: 1.0 if index < width else self._limits.spare_weight
            for index, engine in enumerate(order)
        }

    def estimate_unseen(self, now: float, parts: Sequence[PromptPart], fleet: FleetSize) -> float:
        """Estimates the requests that a home receives from others, and its report lacks.

        All instances send prompts with the same parts to the same homes, and see only old reports.

        Args:
            now: Time in seconds.
            parts: Parts of the prompt in order.
            fleet: Number of instances and engines.

        Returns:
            Requests beyond those that any engine receives.
        """
        usual = self._measure_rate(now, self._requests, fleet) / fleet.engines
        rates = [
            self._measure_demand(now, part, fleet, is_first=part == parts[0])
            / self._count_homes(now, part, fleet, is_first=part == parts[0])
            for part in self._list_key_parts(parts)
        ]
        return max(0.0, max(rates, default=0.0) - usual) * self._limits.report_age

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

    def _list_key_parts(self, parts: Sequence[PromptPart]) -> list[PromptPart]:
        """Lists the shared parts that are long enough to choose engines by them."""
        return [part for part in parts[:-1] if part.tokens >= self._limits.min_tokens]

    def _count_homes(
        self, now: float, part: PromptPart, fleet: FleetSize, *, is_first: bool
    ) -> int:
        """Computes how many engines the requests with a part need."""
        record = self._parts.get(part.part_id) or _PartRecord()
        demand = self._measure_demand(now, part, fleet, is_first=is_first)
        load = demand * fleet.prompt_time / self._limits.home_load
        crowding = self._decay(now, record.crowding, record.crowding_at)
        return 1 + max(int(load), int(crowding))

    def _measure_demand(
        self, now: float, part: PromptPart, fleet: FleetSize, *, is_first: bool
    ) -> float:
        """Estimates the requests with a part that all instances receive a second.

        An instance may see few of them. The part of a single request is taken for a frequent one
        if it is the first of its prompt, as many prompts may share it.
        """
        record = self._parts.get(part.part_id) or _PartRecord()
        others = max(0.0, self._decay(now, record.demand, record.demand_at) - 1.0)
        requests = self._decay(now, self._requests, self._counted_at)
        share = (others + (FIRST_PART_COUNT if is_first else 0.0)) / max(1.0, requests)
        return share * self._measure_rate(now, self._requests, fleet)

    def _measure_rate(self, now: float, value: float, fleet: FleetSize) -> float:
        """Computes the rate of all instances from a fading sum of this one."""
        since = now if self._started_at is None else self._started_at
        window = self._limits.rate_window
        span = max(window * -math.expm1((since - now) / window), MIN_SPAN)
        return self._decay(now, value, self._counted_at) / span * fleet.instances

    def _learn(self, share: float, was_kept: bool) -> float:
        """Adds an observation to a share."""
        share += self._limits.gain * (was_kept - share)
        return max(self._limits.lowest_share, share)

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
