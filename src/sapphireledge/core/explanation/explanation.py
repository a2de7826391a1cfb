"""Where a request would go now, and why."""

from __future__ import annotations

from dataclasses import dataclass, field, replace
from typing import TYPE_CHECKING

from sapphireledge.core.explanation.check import Check
from sapphireledge.core.explanation.explained_outcome import ExplainedOutcome

if TYPE_CHECKING:
    from collections.abc import Mapping

    from sapphireledge.core.explanation.chance import Chance
    from sapphireledge.core.explanation.explained_server import ExplainedServer
    from sapphireledge.errors import Failure

__all__ = ["Explanation"]


@dataclass(frozen=True, slots=True)
class Explanation:
    """Where a request would go now, and why."""

    outcome: ExplainedOutcome = ExplainedOutcome.SENT
    """What would happen to the request."""

    checks: tuple[Check, ...] = ()
    """Steps of its way in order; after a refusal, none follows."""

    decided_by: str = ""
    """Name of the step that decides the outcome, empty if it is the last one."""

    failure: Failure | None = None
    """What its caller would get, if it is refused."""

    route: str = ""
    """Name of the route, empty without one."""

    service: str = ""
    """Service or model that it belongs to."""

    workspace: str = ""
    """Workspace that it counts for."""

    rank: str = ""
    """Rank that it runs with."""

    kind: str = ""
    """How it is sent: streaming, plain or once."""

    servers: tuple[ExplainedServer, ...] = ()
    """Backend servers of the service."""

    estimate: float | None = None
    """Expected seconds to the first event if it started now, None if unknown."""

    is_late: bool = False
    """Whether its first event is expected after its target."""

    position: int | None = None
    """Number of requests that go before it in the line, None if it does not wait."""

    waiting: Mapping[str, int] = field(default_factory=dict)
    """Number of waiting requests by rank."""

    chances: tuple[Chance, ...] = ()
    """Probabilities of decisions that draw lots."""

    unknown: tuple[str, ...] = ()
    """What could change the result and is not known here."""

    shared_load: str = ""
    """What is known of the load of other instances, empty if nothing."""

    @property
    def reason(self) -> str:
        """Detail of the step that decides the outcome, empty without steps."""
        if self.decided_by and self.outcome is not ExplainedOutcome.REFUSED:
            return next((c.detail for c in self.checks if c.name == self.decided_by), "")
        return self.checks[-1].detail if self.checks else ""

    def passed(self, name: str, detail: str) -> Explanation:
        """Adds a step after which the request goes on.

        Args:
            name: What decides.
            detail: Reason.

        Returns:
            The explanation with the step.
        """
        return replace(self, checks=(*self.checks, Check(name, True, detail)))

    def refused(self, name: str, failure: Failure) -> Explanation:
        """Adds the step that refuses the request.

        Args:
            name: What decides.
            failure: What the caller would get.

        Returns:
            The explanation of a refusal.
        """
        checks = (*self.checks, Check(name, False, failure.reason))
        return replace(self, outcome=ExplainedOutcome.REFUSED, checks=checks, failure=failure)
