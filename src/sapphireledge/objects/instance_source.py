"""Interface for reading the platform's instance list."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.errors import Failure
    from sapphireledge.objects.instance import Instance

__all__ = ["InstanceSource"]


class InstanceSource(Protocol):
    """Source of the platform's instance list."""

    async def instances(self) -> tuple[Instance, ...] | Failure:
        """Reads the instance list, which can lag behind the actual state of the fleet.

        Returns:
            All instances of the fleet, or a failure of kind platform_unavailable.
        """
        ...
