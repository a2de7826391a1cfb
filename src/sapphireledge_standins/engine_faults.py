"""Faults of the engine stand-in that can be switched while it runs."""

from __future__ import annotations

import msgspec

__all__ = ["EngineFaults"]


class EngineFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `PUT /admin/faults`; a field that is left out is switched off."""

    die: bool = False
    """Exit at once."""

    die_on_text: str = ""
    """Exit at the next token of a request whose prompt contains this text."""

    die_at_offset: int = 0
    """With die_on_text: only from this token offset on."""

    freeze: bool = False
    """All output stops while connections stay open and time goes on."""

    silence_existing: bool = False
    """Connections that exist when this is set never carry anything again; new ones work."""

    busy: bool = False
    """Refuse new generations with 429."""

    ignore_cancel: bool = False
    """Go on generating after a cancellation or a closed connection."""

    skip_token: int = 0
    """Leave out the token with this offset in attempts that began before it; 0 for none."""

    repeat_token: int = 0
    """Send the token with this offset twice in attempts that began before it; 0 for none."""

    late_output: bool = False
    """Send tokens of the earlier attempt of a request into its new attempt."""

    leaving: bool = False
    """Report the state leaving and refuse new generations with 503."""

    fencing: str = ""
    """"check" or "ignore" old fencing numbers; empty for the option of the process."""

    load_lag: float = 0.0
    """Age of load reports in seconds."""

    cache_event_lag: float = 0.0
    """Age of the newest cache events that are shown, in seconds."""

    cache_event_loss: int = 0
    """Lose every n-th cache event; 0 for none."""
