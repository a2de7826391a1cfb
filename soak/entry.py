"""Entry process controlled by the soak."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import time
from typing import TYPE_CHECKING

from devtools.entry_program import ROOT, read_run_command
from soak.link import Link

if TYPE_CHECKING:
    from pathlib import Path

    from soak.store import Store

__all__ = ["Entry"]

ABORT_REPORT_TIME = 0.3
"""Seconds that an aborted process gets to write its traceback."""

GRACE = 8.0
"""Seconds to exit after SIGTERM, then the process is aborted and killed; also its `grace_s`."""

ALLOWED_CODES = (0, -signal.SIGKILL)
"""Exit codes of a planned stop; another fault may kill the process meanwhile."""

FRONT_PORT, READY_PORT, PEER_PORT = 7100, 7101, 7340


class Entry:
    """One entry process on its own loopback address."""

    def __init__(
        self, number: int, network: int, data_centre: str, store: Store, folder: Path
    ) -> None:
        self.host = f"127.{network}.{number // 250}.{number % 250 + 1}"
        self.data_centre = data_centre
        self.name = f"e{number}"
        self.process: asyncio.subprocess.Process | None = None
        self.store_link = Link("127.0.0.1", ("127.0.0.1", store.port))
        self.stopping_since: float | None = None
        self.last_disturbed = 0.0
        """Time of the last start of the process, or of the last fault that targeted it."""
        self.active_pauses = 0
        """Overlapping pauses that have not ended yet."""
        self._restarting = asyncio.Lock()
        self._command = read_run_command(folder)
        self._settings = folder / f"{self.name}.json"
        self._log = folder / f"{self.name}.log"

    @property
    def address(self) -> tuple[str, int]:
        """Host and port that callers connect to."""
        return self.host, FRONT_PORT

    @property
    def is_running(self) -> bool:
        """Whether the process has started and not exited."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Writes the settings file and starts the process."""
        if not self.store_link.port:
            await self.store_link.start()
        self._settings.write_text(
            json.dumps(
                {
                    "node_name": self.name,
                    "zone": self.data_centre,
                    "listen": {
                        "front": f"{self.host}:{FRONT_PORT}",
                        "ready": f"{self.host}:{READY_PORT}",
                    },
                    "port_range": [PEER_PORT, PEER_PORT + 9],
                    "bounds": {"revoke_ms": 5000, "grace_s": GRACE},
                    "platform": {"address": self.store_link.address},
                }
            )
        )
        self.stopping_since = None
        self.last_disturbed = time.monotonic()
        with self._log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *self._command,
                cwd=ROOT,
                stdout=log,
                stderr=log,
                # The kernel hangs up a stopped process whose shell ends; see devtools/local_fleet.
                start_new_session=True,
                env={
                    **os.environ,
                    "SAPPHIRELEDGE_NODE_FILE": str(self._settings),
                    "PYTHONFAULTHANDLER": "1",
                },
            )

    async def wait_exited(self) -> None:
        """Waits until the process exits."""
        if self.process is not None:
            await self.process.wait()

    async def restart(self) -> None:
        """Starts the process again if it has exited."""
        async with self._restarting:
            if self.process is not None and not self.is_running:
                await self.start()

    def was_undisturbed_since(self, moment: float) -> bool:
        """Whether the process was neither started nor targeted by a fault since a point in time."""
        return self.last_disturbed < moment and not self.active_pauses

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process if it is running."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def terminate(self) -> str:
        """Stops the process gracefully with SIGTERM.

        Returns:
            A description of the unexpected exit, or an empty string.
        """
        self.stopping_since = time.monotonic()
        self.send_signal(signal.SIGTERM)
        assert self.process is not None
        try:
            async with asyncio.timeout(GRACE):
                code = await self.process.wait()
        except TimeoutError:
            # Python's faulthandler writes the stack traces to the log.
            self.send_signal(signal.SIGABRT)
            await asyncio.sleep(ABORT_REPORT_TIME)
            self.kill()
            return f"{self.name} did not end within its grace time"
        return f"{self.name} ended with code {code}" if code not in ALLOWED_CODES else ""

    def kill(self) -> None:
        """Kills the process with SIGKILL."""
        self.send_signal(signal.SIGKILL)

    def close(self) -> None:
        """Kills the process, paused or not, and closes its link."""
        self.send_signal(signal.SIGCONT)
        self.kill()
        self.store_link.close()
