"""Record of a decision that is not carried out."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from sapphireledge.core.placement import CostTerms, RefuseStream, StartStream, WaitForEngine
    from sapphireledge.gateway.admitted_request import AdmittedRequest

__all__ = ["DecisionTrace"]


class DecisionTrace:
    """Keeps the placement that a choice reports, and logs and counts nothing.

    It takes the place of `RequestTelemetry`; its other methods have no effect here.
    """

    def __init__(self) -> None:
        self.placement: StartStream | WaitForEngine | RefuseStream | None = None
        """Decision of the placement, None if there was none."""

        self.costs: Mapping[str, CostTerms] = {}
        """Terms of the cost of each engine with a report, by server id."""

    def record_placement(
        self,
        admitted: AdmittedRequest,
        decision: StartStream | WaitForEngine | RefuseStream,
        costs: Mapping[str, CostTerms],
        silent: int,
        attempt: int,
    ) -> None:
        """Keeps a placement; see `RequestTelemetry.record_placement`.

        Args:
            admitted: The request.
            decision: The decision.
            costs: Terms of the cost of each engine that sent a report, by server id.
            silent: Number of engines without a report.
            attempt: Number of earlier placements of the stream in this attempt.
        """
        self.placement, self.costs = decision, costs

    def __getattr__(self, name: str) -> Callable[..., None]:
        """Returns a method without effect for every other record."""
        if not name.startswith("record_"):
            raise AttributeError(name)

        def ignore(*args: Any, **values: Any) -> None:
            """Does nothing."""

        return ignore
