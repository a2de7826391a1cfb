"""Machines of the model by their places."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from sapphireledge_experiment.model.model_context import ModelContext

if TYPE_CHECKING:
    from sapphireledge_experiment.model.simulated_engine import SimulatedEngine
    from sapphireledge_experiment.model.simulated_instance import SimulatedInstance
    from sapphireledge_experiment.model.simulated_plain_server import SimulatedPlainServer

__all__ = ["MachinePlaces"]


class MachinePlaces(ModelContext, Protocol):
    """What troubles need of the model; `World` implements it."""

    engine_places: list[SimulatedEngine]
    """Current incarnation at each place of an engine."""

    plain_places: list[SimulatedPlainServer]
    """Current incarnation at each place of a plain server."""

    instance_places: list[SimulatedInstance]
    """Current incarnation at each place of an instance."""

    def end_engine(
        self, place: int, *, is_reset: bool = True, restart_time: float | None = None
    ) -> None:
        """Ends the engine at a place; another one starts there later."""

    def end_plain_server(self, place: int, *, restart_time: float | None = None) -> None:
        """Ends the plain server at a place; another one starts there later."""

    def end_instance(self, place: int, *, restart_time: float | None = None) -> None:
        """Ends the instance at a place; another one starts there later."""
