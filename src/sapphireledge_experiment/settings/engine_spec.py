"""Speed and memory of the engines."""

from __future__ import annotations

from pydantic import ConfigDict
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting

__all__ = ["EngineSpec"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class EngineSpec:
    """Speed and memory of the engines, which run their streams in common steps."""

    slots: int = setting(16, unit="streams", ge=1, le=4_096)
    """Streams that run at the same time."""

    queue: int = setting(64, unit="streams", ge=1, le=100_000)
    """Streams that wait for a slot; further ones are rejected."""

    step_time: float = setting(0.02, unit="s", ge=0.0001, le=10)
    """Duration of a step without any stream."""

    stream_time: float = setting(0.0005, unit="s", ge=0, le=1)
    """Time by which each stream that generates prolongs a step."""

    context_time: float = setting(0.0002, unit="s", ge=0, le=1)
    """Time by which 1,000 tokens of context prolong a step."""

    prompt_rate: float = setting(7_000.0, unit="tokens/s", ge=1, le=10_000_000)
    """Prompt tokens that an engine processes per second."""

    prompt_chunk: int = setting(2_048, unit="tokens", ge=1, le=1_000_000)
    """Largest number of prompt tokens processed in one step."""

    event_tokens: int = setting(1, unit="tokens", ge=1, le=10_000)
    """Tokens that a step generates for each stream, delivered as one event."""

    block: int = setting(16, unit="tokens", ge=1, le=65_536)
    """Tokens in one block of KV cache memory."""

    memory: int = setting(88_000, unit="tokens", ge=1, le=1_000_000_000)
    """KV cache memory."""

    cached_prefixes: int = setting(8, unit="prefixes", ge=0, le=100_000)
    """Shared prefixes whose KV cache an engine keeps."""

    copy_rate: float = setting(200_000.0, unit="tokens/s", ge=1, le=1_000_000_000)
    """Rate at which KV cache is copied to a standby."""

    keep_time: float = setting(2.0, unit="s", ge=0, le=3_600)
    """Time for which the KV cache of a run that was cancelled is kept, unless others need it."""

    report_interval: float = setting(0.2, unit="s", ge=0.001, le=60)
    """Time between two load reports."""

    restart_time: float = setting(4.0, unit="s", ge=0, le=3_600)
    """Time from the end of an engine to the start of the next one in its place."""
