"""What backend servers and callers saw, and the promises that it must keep."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from soak.backend import Backend

__all__ = ["DRAIN_LIMIT", "REFUSALS", "REVOKE_LIMIT", "CallRecord", "Record"]

REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses that promise that the request has not run and never will."""

REVOKE_LIMIT = 5.0
"""Seconds after the removal of a key in which a request with it may still run."""

DRAIN_LIMIT = 3.0
"""Seconds after the acknowledged leave of a backend server in which requests may still reach it."""

SETTLE_TIME = 4.0
"""Seconds without a fault after which time limits hold."""


@dataclass
class CallRecord:
    """One request of a caller and what came of it."""

    request_id: str
    path: str
    key: str
    sent: float
    status: int = 0
    complete: bool = False
    violation: str = ""
    """What the caller saw that must not be."""


@dataclass
class Record:
    """Collects observations during a run; `violations` names each broken promise."""

    calls: dict[str, CallRecord] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)
    revoked_at: dict[str, float] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    last_fault: float = 0.0
    """Time of the last fault, or of its end."""

    def on_arrival(self, request_id: str, backend: Backend) -> None:
        """Notes that a request reached a backend server."""
        now = time.monotonic()
        settled = now - self.last_fault > SETTLE_TIME + DRAIN_LIMIT
        if (
            backend.draining_since is not None
            and now - backend.draining_since > DRAIN_LIMIT
            and settled
        ):
            self.violations.append(f"drain: {request_id} reached a leaving backend")

    def on_run(self, request_id: str, workspace: str) -> None:
        """Notes that a backend server began to run a request."""
        self.runs[request_id] += 1
        call = self.calls.get(request_id)
        if call is None:
            self.violations.append(f"unasked: {request_id}")
            return
        if call.path == "/once/" and self.runs[request_id] > 1:
            self.violations.append(f"twice: {request_id}")
        revoked = self.revoked_at.get(call.key)
        if revoked is not None and call.sent > revoked + REVOKE_LIMIT:
            self.violations.append(f"revoked key: {request_id}")
        if workspace != "w-" + call.key:
            self.violations.append(f"workspace of {request_id} is {workspace!r}")

    def finish(self) -> list[str]:
        """Checks what can be judged only at the end.

        Returns:
            Every broken promise.
        """
        for call in self.calls.values():
            if call.violation:
                self.violations.append(f"{call.violation}: {call.request_id}")
            refused = call.status in REFUSALS
            if refused and call.path == "/once/" and self.runs[call.request_id]:
                self.violations.append(f"refused and run: {call.request_id}")
        return self.violations
