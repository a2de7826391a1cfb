"""Injection of overlapping faults."""

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
    from soak.soak_run import SoakRun

__all__ = ["FaultInjector"]

LAPSE_TIME = 1.5
"""Seconds after a restart until the store object of the crashed incarnation is removed."""

SERVING_TIME = 4.0
"""Seconds for which a draining backend server still serves."""

STALL_TIMES = (5.5, 7.5)
"""Range of stall durations in seconds; longer than the deadline of callers."""


class FaultInjector:
    """Starts random faults one after another, drawn from the seed of the run; they may overlap."""

    def __init__(self, soak_run: SoakRun) -> None:
        self._run = soak_run
        self._rng = soak_run.rng
        self._log: list[str] = []

    async def run(self, seconds: float) -> None:
        """Starts faults at random intervals.

        Args:
            seconds: Duration of fault injection.
        """
        kinds = [
            self._backend_crash,
            self._backend_unreachable,
            self._data_centre_crash,
            self._backend_drains,
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
            self._entry_hangup,
            self._revoke,
            self._revoke_during_cut,
            self._change_config,
        ]
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            kind = self._rng.choice(kinds)
            self._run.record.last_fault = time.monotonic()
            self._run.spawn(self._inject(kind()))
            await asyncio.sleep(self._rng.uniform(0.1, 1.2))

    async def heal(self) -> None:
        """Waits for the faults to end, resets the store and links, and restarts exited entries."""
        await self._run.wait_for_faults()
        soak_run = self._run
        soak_run.store.set_down(False)
        soak_run.store.response_delay, soak_run.store.lose_answers = 0.0, False
        for link in [r.link for r in soak_run.backends] + [e.store_link for e in soak_run.entries]:
            link.heal()
        for entry in soak_run.entries:
            entry.send_signal(signal.SIGCONT)
            await entry.restart()
        soak_run.record.last_fault = time.monotonic()

    async def _inject(self, fault: Coroutine[Any, Any, None]) -> None:
        await fault
        self._run.record.last_fault = time.monotonic()

    async def _backend_crash(self) -> None:
        await self._crash(self._rng.choice(self._run.backends), self._rng.uniform(0.3, 1.5))

    async def _crash(self, backend, pause: float) -> None:
        identity = backend.identity
        backend.identity = ""
        backend.crash()
        await asyncio.sleep(pause)
        await backend.start()
        await asyncio.sleep(LAPSE_TIME)
        self._run.store.remove("servers", identity)

    async def _backend_unreachable(self) -> None:
        backend = self._rng.choice(self._run.backends)
        backend.link.inject(LinkFault.CUT, 0.0)
        await asyncio.sleep(self._rng.uniform(0.5, 2.0))
        backend.link.heal()
        await self._crash(backend, 0.1)

    async def _data_centre_crash(self) -> None:
        data_centre = self._rng.choice(self._run.backends).data_centre
        pause = self._rng.uniform(0.5, 1.5)
        affected = [r for r in self._run.backends if r.data_centre == data_centre and r.identity]
        await asyncio.gather(*(self._crash(backend, pause) for backend in affected))

    async def _backend_drains(self) -> None:
        backend = self._rng.choice(self._run.backends)
        if not backend.identity or backend.draining_since is not None:
            return
        identity = backend.identity
        backend.publish_state("draining")
        await asyncio.sleep(SERVING_TIME)
        if backend.identity == identity:
            self._run.store.remove("servers", identity)
            await self._crash(backend, 0.5)

    async def _backend_sheds(self) -> None:
        backend = self._rng.choice(self._run.backends)
        backend.shed_probability, backend.error_probability = (
            self._rng.uniform(0.2, 1.0),
            self._rng.uniform(0.0, 0.3),
        )
        await asyncio.sleep(self._rng.uniform(1.0, 3.0))
        backend.shed_probability = backend.error_probability = 0.0

    def _draw_plain_backend(self) -> Backend:
        """Picks a random backend server of the plain service."""
        return self._rng.choice([r for r in self._run.backends if r.service == "app"])

    async def _backend_repeats(self) -> None:
        backend = self._draw_plain_backend()
        backend.repeat_probability = self._rng.uniform(0.2, 0.8)
        await asyncio.sleep(self._rng.uniform(1.0, 4.0))
        backend.repeat_probability = 0.0

    async def _backend_stalls(self) -> None:
        backend = self._draw_plain_backend()
        length = self._rng.uniform(*STALL_TIMES)
        backend.stalled_until = time.monotonic() + length
        await asyncio.sleep(length)

    async def _disturb_link(self, link: Link) -> None:
        link.inject(self._rng.choice(list(LinkFault)), self._rng.uniform(0.02, 0.4))
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        link.heal()

    async def _backend_link(self) -> None:
        await self._disturb_link(self._rng.choice(self._run.backends).link)

    async def _store_link(self) -> None:
        await self._disturb_link(self._rng.choice(self._run.entries).store_link)

    async def _store_down(self) -> None:
        self._run.store.set_down(True)
        await asyncio.sleep(self._rng.uniform(0.5, 6.0))
        self._run.store.set_down(False)

    async def _store_slow(self) -> None:
        store = self._run.store
        store.response_delay, store.lose_answers = (
            self._rng.uniform(0.05, 0.3),
            self._rng.random() < 0.3,
        )
        await asyncio.sleep(self._rng.uniform(0.5, 3.0))
        store.response_delay, store.lose_answers = 0.0, False

    async def _store_history(self) -> None:
        self._run.store.drop_history()

    def _draw_entry(self) -> Entry:
        entry = self._rng.choice(self._run.entries)
        entry.last_disturbed = time.monotonic()
        return entry

    async def _entry_pause(self) -> None:
        entry = self._draw_entry()
        entry.active_pauses += 1
        entry.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._rng.uniform(0.3, 6.0))
        entry.send_signal(signal.SIGCONT)
        entry.active_pauses -= 1
        entry.last_disturbed = time.monotonic()

    async def _entry_kill(self) -> None:
        entry = self._draw_entry()
        if not entry.is_running or entry.stopping_since is not None:
            return
        entry.kill()
        await entry.wait_exited()
        await asyncio.sleep(self._rng.uniform(0.2, 1.0))
        await entry.restart()

    async def _entry_stop(self) -> None:
        entry = self._draw_entry()
        if not entry.is_running or entry.stopping_since is not None:
            return
        problem = await entry.terminate()
        if problem and entry.was_undisturbed_since(entry.stopping_since or 0.0):
            self._run.record.violations.append(f"stop: {problem}")
        await entry.wait_exited()
        await entry.restart()

    async def _entry_hangup(self) -> None:
        self._draw_entry().send_signal(signal.SIGHUP)

    async def _revoke(self) -> None:
        soak_run = self._run
        if len(soak_run.keys) < 2:
            return
        key = soak_run.keys.pop(0)
        soak_run.keys.append(f"k{soak_run.version}-{len(soak_run.record.revoked_at)}")
        soak_run.record.revoked_at[key] = soak_run.write_config()

    async def _revoke_during_cut(self) -> None:
        link = self._rng.choice(self._run.entries).store_link
        link.inject(LinkFault.CUT, 0.0)
        await self._revoke()
        await asyncio.sleep(REVOKE_LIMIT + self._rng.uniform(1.0, 2.0))
        link.heal()

    async def _change_config(self) -> None:
        self._run.write_config()
