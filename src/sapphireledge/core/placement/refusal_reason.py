"""Why a stream is refused."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["RefusalReason"]


class RefusalReason(StrEnum):
    """Why a stream is refused."""

    LINE = "line"
    """The streams before it take longer than its caller waits."""

    LOAD = "load"
    """The prompts that the engines process first take longer than its caller waits."""

    TIME = "time"
    """Not even an idle engine could complete it before its deadline."""

    ENGINES = "engines"
    """No engine takes a request before its caller gives up."""
