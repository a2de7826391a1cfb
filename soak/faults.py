"""Faults that come in series and overlap."""

from __future__ import annotations

import asyncio
import signal
import time
from typing import TYPE_CHECKING

from soak.link import LinkFault
from soak.record import REVOKE_LIMIT

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any

    from soak.backend import Backend
    from soak.entry import Entry
    from soak.link import Link
    from soak.world import World

__all__ = ["Faults"]

LAPSE_TIME = 1.5
"""Seconds after which the entry of a crashed backend server is removed."""

SERVING_TIME = 4.0
"""Seconds for which a leaving backend server still serves."""

STALL_TIMES = (5.5, 7.5)
"""Seconds without answers, longer than callers wait."""


class Faults:
    """Draws faults from the seed of the run and begins them one after the other."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._rng = world.rng
        self._log: list[str] = []

    async def run(self, seconds: float) -> None:
        """Begins faults for a time.

        Args:
            seconds: Length.
        """
        kinds = [
            self._backend_crash,
            self._backend_dark,
            self._centre_crash,
            self._backend_leaves,
            self._backend_sheds,
            self._backend_repeats,
            self._backend_stalls,
            self._backend_link,
            self._store_link,
            self._store_down,
            self._store_slow,
            self._store_history,
            self._entry_pause,
            self._entry_kill,
            self._entry_stop,
            self._hang_up,
            self._revoke,
            self._revoke_behind_cut,
            self._change_config,
        ]
        ends = time.monotonic() + seconds
        while time.monotonic() < ends:
            kind = self._rng.choice(kinds)
            self._world.record.last_fault = time.monotonic()
            self._world.spawn(self._play(kind()))
            await asyncio.sleep(self._rng.uniform(0.1, 1.2))

    async def heal(self) -> None:
        """Ends every fault."""
        await self._world.settle()
        world = self._world
        world.store.set_down(False)
        world.store.slow, world.store.lose_answers = 0.0, False
        for link in [r.link for r in world.backends] + [e.store_link for e in world.entries]:
            link.heal()
        for entry in world.entries:
            entry.send(signal.SIGCONT)
            await entry.restart()
        world.record.last_fault = time.monotonic()

    async def _play(self, fault: Coroutine[Any, Any, None]) -> None:
        await fault
        self._world.record.last_fault = time.monotonic()

    async def _backend_crash(self) -> None:
        await self._crash(self._rng.choice(self._world.backends), self._rng.uniform(0.3, 1.5))

    async def _crash(self, backend, pause: float) -> None:
        identity = backend.identity
        backend.identity = ""
        backend.crash()
        await asyncio.sleep(pause)
        await backend.start()
        await asyncio.sleep(LAPSE_TIME)
        self._world.store.remove("servers", identity)

    async def _backend_dark(self) -> None:
        backend = self._rng.choice(self._world.backends)
        backend.link.strike(LinkFault.CUT, 0.0)
        await asyncio.sleep(self._rng.uniform(0.5, 2.0))
        backend.link.heal()
        await self._crash(backend, 0.1)

    async def _centre_crash(self) -> None:
        centre = self._rng.choice(self._world.backends).data_centre
        pause = self._rng.uniform(0.5, 1.5)
        hit = [r for r in self._world.backends if r.data_centre == centre and r.identity]
        await asyncio.gather(*(self._crash(backend, pause) for backend in hit))

    async def _backend_leaves(self) -> None:
        backend = self._rng.choice(self._world.backends)
        if not backend.identity or backend.left_at is not None:
            return
        identity = backend.identity
        backend.announce("draining")
        await asyncio.sleep(SERVING_TIME)
        if backend.identity == identity:
            self._world.store.remove("servers", identity)
            await self._crash(backend, 0.5)

    async def _backend_sheds(self) -> None:
        backend = self._rng.choice(self._world.backends)
        backend.sheds, backend.fails = self._rng.uniform(0.2, 1.0), self._rng.uniform(0.0, 0.3)
        await asyncio.sleep(self._rng.uniform(1.0, 3.0))
        backend.sheds = backend.fails = 0.0

    def _plain_backend(self) -> Backend:
        """Draws a backend server of a plain service."""
        return self._rng.choice([r for r in self._world.backends if r.service == "app"])

    async def _backend_repeats(self) -> None:
        backend = self._plain_backend()
        backend.repeats = self._rng.uniform(0.2, 0.8)
        await asyncio.sleep(self._rng.uniform(1.0, 4.0))
        backend.repeats = 0.0

    async def _backend_stalls(self) -> None:
        backend = self._plain_backend()
        length = self._rng.uniform(*STALL_TIMES)
        backend.stalls_until = time.monotonic() + length
        await asyncio.sleep(length)

    async def _strike(self, link: Link) -> None:
        link.strike(self._rng.choice(list(LinkFault)), self._rng.uniform(0.02, 0.4))
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        link.heal()

    async def _backend_link(self) -> None:
        await self._strike(self._rng.choice(self._world.backends).link)

    async def _store_link(self) -> None:
        await self._strike(self._rng.choice(self._world.entries).store_link)

    async def _store_down(self) -> None:
        self._world.store.set_down(True)
        await asyncio.sleep(self._rng.uniform(0.5, 6.0))
        self._world.store.set_down(False)

    async def _store_slow(self) -> None:
        store = self._world.store
        store.slow, store.lose_answers = self._rng.uniform(0.05, 0.3), self._rng.random() < 0.3
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        store.slow, store.lose_answers = 0.0, False

    async def _store_history(self) -> None:
        self._world.store.forget_history()

    def _entry(self) -> Entry:
        entry = self._rng.choice(self._world.entries)
        entry.disturbed = time.monotonic()
        return entry

    async def _entry_pause(self) -> None:
        entry = self._entry()
        entry.pauses += 1
        entry.send(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.3, 6.0))
        entry.send(signal.SIGCONT)
        entry.pauses -= 1
        entry.disturbed = time.monotonic()

    async def _entry_kill(self) -> None:
        entry = self._entry()
        if not entry.is_running or entry.stopping_since is not None:
            return
        entry.kill()
        await entry.ended()
        await asyncio.sleep(self._rng.uniform(0.2, 1.0))
        await entry.restart()

    async def _entry_stop(self) -> None:
        entry = self._entry()
        if not entry.is_running or entry.stopping_since is not None:
            return
        end = await entry.terminate()
        if end and entry.was_calm_since(entry.stopping_since or 0.0):
            self._world.record.violations.append(f"stop: {end}")
        await entry.ended()
        await entry.restart()

    async def _hang_up(self) -> None:
        self._entry().send(signal.SIGHUP)

    async def _revoke(self) -> None:
        world = self._world
        if len(world.keys) < 2:
            return
        key = world.keys.pop(0)
        world.keys.append(f"k{world.version}-{len(world.record.revoked)}")
        world.record.revoked[key] = world.write_config()

    async def _revoke_behind_cut(self) -> None:
        link = self._rng.choice(self._world.entries).store_link
        link.strike(LinkFault.CUT, 0.0)
        await self._revoke()
        await asyncio.sleep(REVOKE_LIMIT + self._rng.uniform(1.0, 2.0))
        link.heal()

    async def _change_config(self) -> None:
        self._world.write_config()
