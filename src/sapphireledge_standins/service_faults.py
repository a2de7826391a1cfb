"""Faults of the service stand-in that can be switched while it runs."""

from __future__ import annotations

import msgspec

__all__ = ["ServiceFaults"]


class ServiceFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `PUT /admin/faults`; a field that is left out is switched off."""

    die_after_run: bool = False
    """Exit after the next run, before its answer."""

    delay: float = 0.0
    """Seconds between a run and its answer."""

    delay_before: float = 0.0
    """Seconds between the arrival of a call and its run."""

    lose_answer: bool = False
    """Run, then close the connection without an answer."""

    refuse_for: float = 0.0
    """Seconds from now in which connections are refused; the port opens again by itself."""

    error_status: int = 0
    """Answer with this status without running; 0 for none."""
