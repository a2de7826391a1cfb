"""Faults of the engine stand-in that can be changed at run time."""

from __future__ import annotations

import msgspec

__all__ = ["EngineFaults"]


class EngineFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `PUT /admin/faults`; omitted fields are reset."""

    die: bool = False
    """Exit at once."""

    die_on_text: str = ""
    """Exit at the next token of a request whose prompt contains this text."""

    die_at_offset: int = 0
    """Token offset from which die_on_text applies."""

    freeze: bool = False
    """Stop all output, while connections stay open and generation times keep running."""

    silence_existing: bool = False
    """Send nothing on the connections that exist when this is set; new ones work."""

    busy: bool = False
    """Refuse new generations with 429."""

    ignore_cancel: bool = False
    """Continue generating after a cancellation or a closed connection."""

    skip_token: int = 0
    """Omit the token at this offset in attempts that started below it; 0 for none."""

    repeat_token: int = 0
    """Send the token at this offset twice in attempts that started below it; 0 for none."""

    late_output: bool = False
    """Insert tokens of an earlier attempt of a request into the stream of a new attempt."""

    leaving: bool = False
    """Report the state "leaving" and refuse new generations with 503."""

    fencing: str = ""
    """Treatment of old fencing numbers: "check", "ignore", or empty to use the start-up option."""

    load_lag: float = 0.0
    """Age of the load reports returned, in seconds."""

    cache_event_lag: float = 0.0
    """Age of the newest cache events returned, in seconds."""

    cache_event_loss: int = 0
    """Drop every n-th cache event; 0 for none."""
