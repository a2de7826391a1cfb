"""Recording of request events, and their replay."""

from __future__ import annotations

from sapphireledge.core.replay.decode_events import decode_events
from sapphireledge.core.replay.event_log import EventLog
from sapphireledge.core.replay.event_name import EventName
from sapphireledge.core.replay.event_segment import EventSegment
from sapphireledge.core.replay.recording_machine import RecordingMachine
from sapphireledge.core.replay.replay_difference import ReplayDifference
from sapphireledge.core.replay.replay_gap import ReplayGap
from sapphireledge.core.replay.replay_report import ReplayReport
from sapphireledge.core.replay.replay_request import replay_request
from sapphireledge.core.replay.request_event import RequestEvent

__all__ = [
    "EventLog",
    "EventName",
    "EventSegment",
    "RecordingMachine",
    "ReplayDifference",
    "ReplayGap",
    "ReplayReport",
    "RequestEvent",
    "decode_events",
    "replay_request",
]
