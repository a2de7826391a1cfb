"""What backend servers ask of their callers: a request rate, a pause, or no new requests."""

from __future__ import annotations

from sapphireledge.core.backpressure.server_signals import ServerSignals

__all__ = ["ServerSignals"]
