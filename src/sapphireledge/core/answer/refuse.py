"""Decision to end the answer with a failure."""

from __future__ import annotations

from dataclasses import dataclass

from sapphireledge.errors import Failure

__all__ = ["Refuse"]


@dataclass(frozen=True, slots=True)
class Refuse:
    """Decision to end the answer with a failure."""

    failure: Failure
    """Why, and what is known about the run."""

    delivered: int
    """Number of tokens of the answer up to here."""
