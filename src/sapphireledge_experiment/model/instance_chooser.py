"""Choice of the instances that callers call."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from sapphireledge_experiment.model.model_context import ModelContext

if TYPE_CHECKING:
    from sapphireledge_experiment.model.simulated_instance import SimulatedInstance

__all__ = ["InstanceChooser"]


class InstanceChooser(ModelContext, Protocol):
    """What callers need of the model; `World` implements it."""

    def choose_instance(self, data_centre: int) -> SimulatedInstance | None:
        """Chooses a living instance for a caller, in its data centre if possible."""
