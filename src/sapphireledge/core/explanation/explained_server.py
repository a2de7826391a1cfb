"""A backend server as the decision about a request sees it."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

__all__ = ["ExplainedServer", "ServerRole"]


class ServerRole(StrEnum):
    """Part of a backend server in a decision."""

    CHOSEN = "chosen"
    """The request would be sent to it."""

    STANDBY = "standby"
    """It would receive the copies of a running generation."""

    CANDIDATE = "candidate"
    """It was compared by its cost."""

    LEFT_OUT = "left_out"
    """It takes no request of this kind now."""

    NOT_ASKED = "not_asked"
    """It is none of the few that a decision compares."""


@dataclass(frozen=True, slots=True)
class ExplainedServer:
    """A backend server as the decision about a request sees it."""

    name: str
    """Name of the server."""

    data_centre: str
    """Data centre that it runs in."""

    version: str
    """Version of the software that it runs, empty if unknown."""

    role: ServerRole
    """Its part in the decision."""

    reason: str = ""
    """Why it is left out, or what else is known; empty if nothing."""

    report_age: float | None = None
    """Age of its load report in seconds, None without one."""

    terms: Mapping[str, float] = field(default_factory=dict)
    """Terms of its cost by name; empty if its cost was not computed."""

    chance: float | None = None
    """Probability that it is chosen where candidates are drawn, None where they are not."""

    @property
    def cost(self) -> float | None:
        """Sum of the terms, None without terms."""
        return sum(self.terms.values()) if self.terms else None
