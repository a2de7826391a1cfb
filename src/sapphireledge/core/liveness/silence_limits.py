"""Limits on the silence of a stream."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["SilenceLimits"]


@dataclass(frozen=True, slots=True)
class SilenceLimits:
    """When a silent stream is checked and when it counts as lost; times are in seconds."""

    first_event_check: float = 0.8
    """Silence before the first event after which the engine's report is fetched. An engine sends
    nothing while it processes a prompt, which takes a second or more."""

    event_check: float = 0.25
    """Silence between events after which the report is fetched. With `report_timeout` and a resume
    at the standby, the pause stays within the usual target of 0.7 s if the engine is lost."""

    repeat_check: float = 0.4
    """Interval between further reports while the silence between events lasts."""

    report_timeout: float = 0.2
    """Timeout of a report between events: a new connection and a query between regions take
    0.13 s."""

    first_event_report_timeout: float = 0.45
    """Timeout of a report before the first event, when a false alarm costs a whole prompt."""

    max_silence: float = 2.5
    """Silence between events after which a stream moves to another engine, if it can, although its
    engine lists the run. Processing the prompts of several other requests takes 1 to 2 s, a
    preempted run pauses longer; callers leave after 2 s at the earliest, most of them later."""

    confirm_time: float = 1.6
    """Time for which reports must show that a run is lost if its stream cannot move: a late report
    costs the whole answer then. Three reports in a row are late or missing in that time."""

    unreported_time: float = 2.2
    """Time without data and reports after which a begun stream that cannot move is lost. A sound
    engine may be silent for two seconds; callers leave soon after."""

    max_undelivered: int = 10
    """Events that an engine may have generated without their arrival. They take about 0.3 s, ten
    times the one-way latency between regions; more of them show that the connection no longer
    delivers data."""
