"""Requests that crash engines: attribution of deaths, isolation and refusal."""

from __future__ import annotations

from sapphireledge.core.quarantine.clear import Clear
from sapphireledge.core.quarantine.clear_record import ClearRecord
from sapphireledge.core.quarantine.death_record import DeathRecord
from sapphireledge.core.quarantine.fingerprint_request import fingerprint_request
from sapphireledge.core.quarantine.isolate import Isolate
from sapphireledge.core.quarantine.quarantine import Quarantine
from sapphireledge.core.quarantine.suspect_state import SuspectState

__all__ = [
    "Clear",
    "ClearRecord",
    "DeathRecord",
    "Isolate",
    "Quarantine",
    "SuspectState",
    "fingerprint_request",
]
