"""Quarantine of requests and prompt parts that crash engines: attribution, isolation, rejection."""

from __future__ import annotations

from sapphireledge.core.quarantine.clear_verdict import ClearVerdict
from sapphireledge.core.quarantine.clearing_record import ClearingRecord
from sapphireledge.core.quarantine.crash_report import CrashReport
from sapphireledge.core.quarantine.death_record import DeathRecord
from sapphireledge.core.quarantine.draw_trial import draw_trial
from sapphireledge.core.quarantine.find_avoided_servers import find_avoided_servers
from sapphireledge.core.quarantine.fingerprint_parts import fingerprint_parts
from sapphireledge.core.quarantine.fingerprint_request import fingerprint_request
from sapphireledge.core.quarantine.hide_part import hide_part
from sapphireledge.core.quarantine.isolate_verdict import IsolateVerdict
from sapphireledge.core.quarantine.quarantine import PART_PREFIX, SCOPE_PREFIX, Quarantine
from sapphireledge.core.quarantine.quarantine_limits import QuarantineLimits
from sapphireledge.core.quarantine.request_content import RequestContent
from sapphireledge.core.quarantine.running_requests import RunningRequests
from sapphireledge.core.quarantine.service_size import ServiceSize
from sapphireledge.core.quarantine.suspect_state import SuspectState

__all__ = [
    "PART_PREFIX",
    "SCOPE_PREFIX",
    "ClearVerdict",
    "ClearingRecord",
    "CrashReport",
    "DeathRecord",
    "IsolateVerdict",
    "Quarantine",
    "QuarantineLimits",
    "RequestContent",
    "RunningRequests",
    "ServiceSize",
    "SuspectState",
    "draw_trial",
    "find_avoided_servers",
    "fingerprint_parts",
    "fingerprint_request",
    "hide_part",
]
