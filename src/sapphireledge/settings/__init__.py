"""Settings of an entry instance, read from a JSON file with comments and validated completely."""

from __future__ import annotations

from sapphireledge.settings.address import Address
from sapphireledge.settings.admission_settings import AdmissionSettings
from sapphireledge.settings.caller_settings import CallerSettings
from sapphireledge.settings.claim_settings import ClaimSettings
from sapphireledge.settings.fleet_settings import FleetSettings
from sapphireledge.settings.lifecycle_settings import LifecycleSettings
from sapphireledge.settings.load_settings import load_checked_file, load_settings
from sapphireledge.settings.machine_settings import MachineSettings
from sapphireledge.settings.peer_settings import PeerSettings
from sapphireledge.settings.platform_settings import PlatformSettings
from sapphireledge.settings.quarantine_settings import QuarantineSettings
from sapphireledge.settings.resume_settings import ResumeSettings
from sapphireledge.settings.routing_settings import RoutingSettings
from sapphireledge.settings.settings import Settings
from sapphireledge.settings.settings_problem import SettingsProblem
from sapphireledge.settings.telemetry_settings import TelemetrySettings

__all__ = [
    "Address",
    "AdmissionSettings",
    "CallerSettings",
    "ClaimSettings",
    "FleetSettings",
    "LifecycleSettings",
    "MachineSettings",
    "PeerSettings",
    "PlatformSettings",
    "QuarantineSettings",
    "ResumeSettings",
    "RoutingSettings",
    "Settings",
    "SettingsProblem",
    "TelemetrySettings",
    "load_checked_file",
    "load_settings",
]
