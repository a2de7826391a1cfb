"""Decision to end the answer with a failure."""

from __future__ import annotations

from dataclasses import dataclass

from sapphireledge.errors import Failure

__all__ = ["Refuse"]


@dataclass(frozen=True, slots=True)
class Refuse:
    """Decision to end the answer with a failure."""

    failure: Failure
    """Reason, and whether the request has run."""

    delivered: int
    """Number of tokens generated before the failure."""
