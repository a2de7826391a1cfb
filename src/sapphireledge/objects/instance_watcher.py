"""Continuous view of the instance list."""

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
    """Polls the instance list; keeps the last one while the platform is unreachable."""

    def __init__(
        self,
        source: InstanceSource,
        cfg: PlatformSettings,
        rng: Random,
        on_instances: Callable[[tuple[Instance, ...]], None],
        on_reachable: Callable[[bool], None] = lambda reachable: None,
    ):
        self.instances: tuple[Instance, ...] = ()
        """The last known list."""

        self.reachable: bool | None = None
        """Whether the last call succeeded, None before the first one ended."""

        self._source = source
        self._cfg = cfg
        self._rng = rng
        self._on_instances = on_instances
        self._on_reachable = on_reachable

    async def run(self) -> None:
        """Polls until the task is cancelled; the callback gets each list that differs."""
        while True:
            await self.poll()
            # The jitter keeps the instances of a fleet from polling at the same moment.
            await asyncio.sleep(self._cfg.instances_interval * self._rng.uniform(0.8, 1.2))

    async def poll(self) -> None:
        """Reads the list once."""
        instances = await self._source.instances()
        reachable = not isinstance(instances, Failure)
        if self.reachable is not reachable:
            self.reachable = reachable
            self._on_reachable(reachable)
        if not isinstance(instances, Failure) and instances != self.instances:
            self.instances = instances
            self._on_instances(instances)
