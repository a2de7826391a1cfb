"""Limits and weights of the knowledge of kept prompts."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["KeptPromptLimits"]


@dataclass(frozen=True, slots=True)
class KeptPromptLimits:
    """Limits and weights of the knowledge of kept prompts."""

    min_tokens: int = 512
    """Shortest part that is worth a choice of engines, in tokens. Engines process it in about the
    time of a round trip between data centres."""

    max_parts: int = 2048
    """Largest number of parts that are remembered; about 1 KB each with all their engines."""

    engines_per_part: int = 8
    """Engines remembered for a part, the latest ones."""

    rate_window: float = 20.0
    """Seconds over which the rates of tokens and of requests with a part are averaged."""

    report_age: float = 0.4
    """Seconds for which a request that another instance sends is missing in the reports of an
    engine."""

    home_load: float = 0.4
    """Share of the time of an engine that requests with one part may take before a further engine
    becomes its home."""

    initial_first_share: float = 0.7
    """Share of the requests at a home that find the first part of their prompt there, before any
    observation."""

    initial_next_share: float = 0.2
    """The same for the parts after it, which fewer prompts share."""

    initial_own_share: float = 0.9
    """Share of the requests that find a part where this instance sent it, before any observation;
    the stream may have been placed behind others that took the memory."""

    spare_weight: float = 0.3
    """Probability that the engine after the last home keeps a part, relative to that of a home; it
    had the part only while the homes were busy."""

    lowest_share: float = 0.1
    """Lower bound of these shares. Equal engines are then still chosen in the order of the homes,
    so that the instances meet again once the engines keep parts for longer."""

    checked_tokens: int = 1000
    """Shortest part of which the time to the first event tells whether it was kept, in tokens; the
    time varies by about a tenth of a second for other reasons."""

    gain: float = 0.2
    """Weight of a new observation of these shares."""

    candidates: int = 2
    """Engines that may keep a part and are offered to a stream."""
