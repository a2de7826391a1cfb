"""Decodes the load report and the cache listing of an engine."""

from __future__ import annotations

from typing import Any

import msgspec
import structlog

from sapphireledge.gateway import EngineLoad, GatewayEvent
from sapphireledge.lenient_json import decode_leniently

__all__ = ["decode_cache", "decode_report"]

RUN_TOKENS_INDEX = 1
"""Index of the tokens in memory in an entry of `runs`."""

RUN_EVENTS_INDEX = 2
"""Index of the number of generated events in an entry of `runs`: id, tokens, events, rank."""

PART_ID_INDEX = 1
"""Index of the id in an entry of `held`: an empty text, id, tokens, model."""


class _Report(msgspec.Struct):
    """A load report; `kv_used` counts only memory that cannot be evicted.

    `held` and `pinned` are the parts of it that belong to no run: copies for other engines,
    reservations and pinned prompts. `runs` lists a run from its first event on. `next` is the
    prompt of the first queued request in tokens. `born` is the start time of the engine in Unix
    milliseconds.
    """

    waiting: int | None = None
    running: int | None = None
    kv_used: int = 0
    kv_total: int = 0
    held: Any = 0
    pinned: Any = 0
    next: Any = 0
    runs: list[list[Any]] | None = None
    born: int = 0


class _Cache(msgspec.Struct):
    """The cached prompt parts, one entry of `held` for each."""

    held: list[list[Any]]


def decode_cache(body: bytes) -> frozenset[str]:
    """Decodes the list of cached prompt parts.

    Args:
        body: JSON text.

    Returns:
        Ids of the parts, empty if the list cannot be decoded.
    """
    try:
        cache = decode_leniently(body, _Cache)
    except (msgspec.MsgspecError, RecursionError) as exc:
        structlog.get_logger().warning(GatewayEvent.REPORT_UNREADABLE, reason=str(exc))
        return frozenset()
    return frozenset(str(part[PART_ID_INDEX]) for part in cache.held if len(part) > PART_ID_INDEX)


def decode_report(body: bytes) -> EngineLoad | None:
    """Decodes a load report.

    Args:
        body: JSON text.

    Returns:
        The load, or None if the report cannot be decoded.
    """
    try:
        report = decode_leniently(body, _Report)
    except (msgspec.MsgspecError, RecursionError) as exc:
        structlog.get_logger().warning(GatewayEvent.REPORT_UNREADABLE, reason=str(exc))
        return None
    if report.waiting is None and report.running is None and report.runs is None:
        reason = "the response is no report"
        structlog.get_logger().warning(GatewayEvent.REPORT_UNREADABLE, reason=reason)
        return None
    runs = [
        run
        for run in report.runs or ()
        if len(run) > RUN_EVENTS_INDEX and isinstance(run[RUN_EVENTS_INDEX], int)
    ]
    return EngineLoad(
        waiting=report.waiting or 0,
        running=report.running or 0,
        memory_used=report.kv_used,
        memory_total=report.kv_total,
        events={str(run[0]): run[RUN_EVENTS_INDEX] for run in runs},
        started_at_ms=report.born,
        lists_runs=report.runs is not None,
        prefill_tokens=_count_prefill_tokens(report, runs),
        next_tokens=_to_count(report.next),
    )


def _count_prefill_tokens(report: _Report, runs: list[list[Any]]) -> int:
    """Counts the memory that belongs neither to a listed run nor to anything set aside."""
    generating = sum(_to_count(run[RUN_TOKENS_INDEX]) for run in runs)
    return max(0, report.kv_used - _to_count(report.held) - _to_count(report.pinned) - generating)


def _to_count(value: object) -> int:
    """Returns a number of a report, 0 for anything else; engines need not send these fields."""
    return max(0, value) if isinstance(value, int) else 0
