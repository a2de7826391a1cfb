"""Requests that crash engines: attribution of deaths, isolation and refusal."""

from __future__ import annotations

from sapphireledge.core.quarantine.clear_verdict import ClearVerdict
from sapphireledge.core.quarantine.clearing_record import ClearingRecord
from sapphireledge.core.quarantine.death_record import DeathRecord
from sapphireledge.core.quarantine.fingerprint_request import fingerprint_request
from sapphireledge.core.quarantine.isolate_verdict import IsolateVerdict
from sapphireledge.core.quarantine.quarantine import Quarantine
from sapphireledge.core.quarantine.suspect_state import SuspectState

__all__ = [
    "ClearVerdict",
    "ClearingRecord",
    "DeathRecord",
    "IsolateVerdict",
    "Quarantine",
    "SuspectState",
    "fingerprint_request",
]
