"""Polling of the instance list."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from sapphireledge.errors import Failure

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sapphireledge.objects.instance import Instance
    from sapphireledge.objects.instance_source import InstanceSource
    from sapphireledge.settings import PlatformSettings

__all__ = ["InstanceWatcher"]


class InstanceWatcher:
    """Polls the instance list and keeps the last one while the platform is unreachable.

    `on_instances` is called with each list that differs from the previous one, `on_reachable` when
    the platform becomes reachable or unreachable.
    """

    def __init__(
        self,
        source: InstanceSource,
        cfg: PlatformSettings,
        rng: Random,
        on_instances: Callable[[tuple[Instance, ...]], None],
        on_reachable: Callable[[bool], None] = lambda reachable: None,
    ):
        self.instances: tuple[Instance, ...] = ()
        """The instance list as last read."""

        self.reachable: bool | None = None
        """Whether the last call succeeded, None before the first call has ended."""

        self._source = source
        self._cfg = cfg
        self._rng = rng
        self._on_instances = on_instances
        self._on_reachable = on_reachable

    async def run(self) -> None:
        """Polls until the task is cancelled."""
        while True:
            await self.poll()
            # The jitter keeps the entry instances from polling all at once.
            await asyncio.sleep(self._cfg.instances_interval * self._rng.uniform(0.8, 1.2))

    async def poll(self) -> None:
        """Reads the list once and reports changes."""
        instances = await self._source.instances()
        reachable = not isinstance(instances, Failure)
        if self.reachable is not reachable:
            self.reachable = reachable
            self._on_reachable(reachable)
        if not isinstance(instances, Failure) and instances != self.instances:
            self.instances = instances
            self._on_instances(instances)
