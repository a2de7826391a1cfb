"""Settings of a gateway instance."""

from __future__ import annotations

from dataclasses import dataclass, field

from sapphireledge.core.liveness import SilenceLimits
from sapphireledge.core.rollout import RolloutLimits
from sapphireledge.gateway.quarantine_settings import QuarantineSettings
from sapphireledge.limits import CallerBudgets

__all__ = ["GatewaySettings"]


@dataclass(frozen=True, slots=True)
class GatewaySettings:
    """Addresses, time limits and retry budget of an instance; all times are in seconds."""

    instance: str
    """Name of the instance."""

    data_centre: str
    """Data centre of the instance."""

    listen_host: str
    """IP address that callers connect to; metrics are served on it, too."""

    listen_port: int
    """Port that callers connect to."""

    ready_host: str
    """IP address of the readiness probe."""

    ready_port: int
    """Port of the readiness probe."""

    metrics_port: int
    """Port on which metrics are served."""

    max_config_age: float
    """Longest time since the last confirmation of the configuration for which its API keys are
    accepted."""

    stop_limit: float
    """Time between SIGTERM and SIGKILL."""

    peer_port: int | None = None
    """Port on which requests of instances that are cut off are taken, None to take none."""

    start_wait: float = 0.2
    """Longest time that a request waits for the first configuration. An instance starts to listen
    0.02 to 0.25 s before it has one; a refusal after this wait still reaches the caller early."""

    drain_time: float = 4.0
    """Time after SIGTERM for which new connections are still expected; the load balancer probes
    readiness once a second and removes the instance after two failed probes."""

    silence: SilenceLimits = field(default_factory=SilenceLimits)
    """When a silent engine is checked and when its stream counts as lost."""

    quarantine: QuarantineSettings = field(default_factory=QuarantineSettings)
    """When requests count as the cause of crashes."""

    callers: CallerBudgets = field(default_factory=CallerBudgets)
    """Memory and connections that callers may take."""

    rollout: RolloutLimits | None = None
    """Limits of the roll-out of a version, None where versions are not rolled out."""

    uses_kept_prompts: bool = True
    """Whether streams are sent to engines that probably keep the beginning of their prompts."""

    body_timeout: float = 0.33
    """Timeout between two chunks of an engine's response that is not a stream."""

    retry_ratio: float = 0.6
    """Retries that each request earns; three quarters of the shared ratio of 0.8."""

    retry_earned_cap: float = 4.0
    """Largest number of earned retries that can accumulate."""

    retry_slack: float = 90.0
    """Retries per window that all instances together may make in addition to the earned ones; less
    than the shared slack of 150, because restarted instances begin with a full allowance."""

    retry_burst_cap: float = 6.0
    """Largest share of `retry_slack` for one instance."""

    retry_window: float = 10.0
    """Length of the budget's window."""
