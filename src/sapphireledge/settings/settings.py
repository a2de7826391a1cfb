"""All settings of one entry instance."""

from __future__ import annotations

from pydantic import ConfigDict, Field
from pydantic.dataclasses import dataclass

from sapphireledge.settings._field import setting
from sapphireledge.settings.address import Address
from sapphireledge.settings.admission_settings import AdmissionSettings
from sapphireledge.settings.caller_settings import CallerSettings
from sapphireledge.settings.claim_settings import ClaimSettings
from sapphireledge.settings.fleet_settings import FleetSettings
from sapphireledge.settings.lifecycle_settings import LifecycleSettings
from sapphireledge.settings.machine_settings import MachineSettings
from sapphireledge.settings.peer_settings import PeerSettings
from sapphireledge.settings.platform_settings import PlatformSettings
from sapphireledge.settings.quarantine_settings import QuarantineSettings
from sapphireledge.settings.resume_settings import ResumeSettings
from sapphireledge.settings.routing_settings import RoutingSettings
from sapphireledge.settings.telemetry_settings import TelemetrySettings

__all__ = ["Settings"]


@dataclass(frozen=True, config=ConfigDict(extra="forbid"))
class Settings:
    """All settings of one entry instance."""

    instance: str = setting(..., min_length=1)
    """Name of the instance, unique in the fleet."""

    data_centre: str = setting(..., min_length=1)
    """Data centre of the instance."""

    region: str = setting(..., min_length=1)
    """Region of the data centre."""

    caller_address: Address = setting(...)
    """Address of the caller interface (HTTP)."""

    peer_address: Address = setting(...)
    """Address of the peer interface (Thrift)."""

    operator_address: Address = setting(...)
    """Address of the operator interface (Thrift)."""

    platform: PlatformSettings = setting(...)
    """Connection to the platform's object API and instance list."""

    fleet_secret: str = ""
    """Secret shared by peers and operators, also the key of the answer digests."""

    operator_secret: str = ""
    """Secret of operators; if empty, `fleet_secret` is used."""

    callers: CallerSettings = Field(default_factory=CallerSettings)
    """Caller interface."""

    resume: ResumeSettings = Field(default_factory=ResumeSettings)
    """Detection of lost attempts and their resumption on another engine."""

    admission: AdmissionSettings = Field(default_factory=AdmissionSettings)
    """Queueing, rank shares and retries."""

    routing: RoutingSettings = Field(default_factory=RoutingSettings)
    """Selection of a backend server."""

    quarantine: QuarantineSettings = Field(default_factory=QuarantineSettings)
    """Quarantine for requests that crash backend servers."""

    claims: ClaimSettings = Field(default_factory=ClaimSettings)
    """At-most-once execution of non-idempotent requests."""

    peers: PeerSettings = Field(default_factory=PeerSettings)
    """Links to other entry instances."""

    fleet: FleetSettings = Field(default_factory=FleetSettings)
    """Orders to engines."""

    machine: MachineSettings = Field(default_factory=MachineSettings)
    """Machine that the instance runs on."""

    lifecycle: LifecycleSettings = Field(default_factory=LifecycleSettings)
    """Planned stop."""

    telemetry: TelemetrySettings = Field(default_factory=TelemetrySettings)
    """Logs, metrics, traces and event segments."""
