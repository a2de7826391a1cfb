"""Reports of an engine in the gateway's types."""

from __future__ import annotations

from typing import Any

import msgspec
import structlog

from sapphireledge.gateway import EngineLoad, GatewayEvent

__all__ = ["decode_cache", "decode_report"]

RUN_EVENTS_INDEX = 2
"""Position of the number of made events in an entry of `runs`: id, tokens, events, rank."""


PART_ID_INDEX = 1
"""Position of the identity in an entry of the kept prompt parts."""


class _Report(msgspec.Struct):
    """The report; `kv_used` is only the memory that cannot yield."""

    waiting: int = 0
    running: int = 0
    kv_used: int = 0
    kv_total: int = 0
    runs: list[list[Any]] = []
    born: int = 0


class _Cache(msgspec.Struct):
    """The kept prompt parts; an entry is an empty text, the identity, tokens and the model."""

    held: list[list[Any]] = []


def decode_cache(body: bytes) -> frozenset[str]:
    """Decodes the list of kept prompt parts.

    Args:
        body: JSON text.

    Returns:
        Identities of the parts, none if the list cannot be read.
    """
    try:
        cache = msgspec.json.decode(body, type=_Cache)
    except msgspec.MsgspecError as exc:
        structlog.get_logger().warning(GatewayEvent.REPORT_UNREADABLE, reason=str(exc))
        return frozenset()
    return frozenset(str(part[PART_ID_INDEX]) for part in cache.held if len(part) > PART_ID_INDEX)


def decode_report(body: bytes) -> EngineLoad | None:
    """Decodes a report.

    Args:
        body: JSON text.

    Returns:
        The load, or None if the report cannot be read.
    """
    try:
        report = msgspec.json.decode(body, type=_Report)
    except msgspec.MsgspecError as exc:
        structlog.get_logger().warning(GatewayEvent.REPORT_UNREADABLE, reason=str(exc))
        return None
    runs = [run for run in report.runs if len(run) > RUN_EVENTS_INDEX]
    return EngineLoad(
        waiting=report.waiting,
        running=report.running,
        memory_used=report.kv_used,
        memory_total=report.kv_total,
        events={str(run[0]): int(run[RUN_EVENTS_INDEX]) for run in runs},
        born=report.born,
    )
