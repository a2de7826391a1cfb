"""Interface of the platform's instance list."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from sapphireledge.errors import Failure
    from sapphireledge.objects.instance import Instance

__all__ = ["InstanceSource"]


class InstanceSource(Protocol):
    """The platform's instance list."""

    async def instances(self) -> tuple[Instance, ...] | Failure:
        """Reads the instance list, which lags behind.

        Returns:
            All instances, or a failure of kind platform_unavailable.
        """
        ...
