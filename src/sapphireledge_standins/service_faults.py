"""Faults of the service stand-in that can be changed at run time."""

from __future__ import annotations

import msgspec

__all__ = ["ServiceFaults"]


class ServiceFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `PUT /admin/faults`; omitted fields are reset."""

    die_after_run: bool = False
    """Exit after the next execution, before the response."""

    delay: float = 0.0
    """Seconds between the execution of a call and its response."""

    delay_before: float = 0.0
    """Seconds between the arrival of a call and its execution."""

    lose_answer: bool = False
    """Execute the call, then close the connection without a response."""

    refuse_for: float = 0.0
    """Seconds for which connections are refused; the port then opens again automatically."""

    error_status: int = 0
    """Respond with this status without executing the call; 0 for none."""
