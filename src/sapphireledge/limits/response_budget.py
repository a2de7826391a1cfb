"""Memory for the responses of backend servers and of the platform."""

from __future__ import annotations

from sapphireledge.limits.buffer_budget import BufferBudget

__all__ = ["MAX_RESPONSE_BYTES", "RESPONSE_BUDGET"]

MAX_RESPONSE_BYTES = 16_777_216
"""Largest sum of the bodies and of the incomplete events that are being read, an eighth of the
smallest machine's memory."""

RESPONSE_BUDGET = BufferBudget(MAX_RESPONSE_BYTES)
"""Memory of the responses that this process is reading."""
