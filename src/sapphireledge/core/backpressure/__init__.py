"""What backend servers ask of their callers, and when a request may be sent to them."""

from __future__ import annotations

from sapphireledge.core.backpressure.backpressure_limits import BackpressureLimits
from sapphireledge.core.backpressure.contact_estimator import ContactEstimator
from sapphireledge.core.backpressure.request_pacer import RequestPacer
from sapphireledge.core.backpressure.server_backpressure import ServerBackpressure
from sapphireledge.core.backpressure.server_signals import ServerSignals

__all__ = [
    "BackpressureLimits",
    "ContactEstimator",
    "RequestPacer",
    "ServerBackpressure",
    "ServerSignals",
]
