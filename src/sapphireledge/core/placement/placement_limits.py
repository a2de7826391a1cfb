"""Limits and weights of the placement of streams."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PlacementLimits"]


@dataclass(frozen=True, slots=True)
class PlacementLimits:
    """Limits and weights of the placement of streams; costs are in prompts processed before."""

    remote_cost: float = 0.2
    """Cost of an engine in another data centre."""

    running_cost: float = 0.3
    """Cost of a running generation. A prompt delays every running generation, and longer runs are
    more likely to be hit by a failure."""

    memory_full_cost: float = 4.0
    """Cost of an engine whose KV cache has no room for the prompt."""

    lower_rank_ahead: float = 1.0
    """Largest number of prompts ahead at an engine on which a stream of a lower rank may start.
    Engines start the most urgent request first, but finish the prompts that they process."""

    late_start_ahead: float = 0.0
    """Largest number of prompts ahead at an engine on which a late stream may start, so that it
    delays no stream that can still be on time."""

    resume_ahead: float = 1.0
    """Largest number of prompts ahead at an engine on which a stream is resumed of which the caller
    has received events. It bounds how many resumes an engine takes at once after the loss of
    others."""

    late_reserve: float = 12.0
    """Seconds before its deadline at which a late stream starts in any case: a prompt and a long
    generation on a loaded engine."""

    pace_margin: float = 1.5
    """Factor by which generations may become slower than their present pace. Each prompt that an
    engine processes delays its running generations, so the pace falls as a flood goes on."""

    standby_room: float = 2.0
    """Free memory of the engines, in streams, at which streams are copied to a standby. A copy
    takes as much memory as the stream itself, which new streams then lack."""

    leave_reserve: float = 4.0
    """Prompts that an engine has time to process between the latest start of a late stream and the
    time at which its caller gives up."""

    retry_interval: float = 0.3
    """Seconds between two placements of a waiting stream that can still be on time, about the age
    of a report."""

    shortest_retry_after: float = 0.5
    """Shortest Retry-After in seconds for a stream that no engine takes."""

    longest_retry_after: float = 5.0
    """Longest Retry-After in seconds for a stream that no engine takes; other instances may have an
    engine sooner."""

    late_retry_interval: float = 0.6
    """The same for a stream that is late."""
