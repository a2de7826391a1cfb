"""Observations of backend servers and callers, checked against the guarantees of the entries."""

from __future__ import annotations

import time
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from soak.backend import Backend

__all__ = ["DRAIN_LIMIT", "REFUSALS", "REVOKE_LIMIT", "CallRecord", "Record"]

REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses that guarantee that the request has not run and never will."""

REVOKE_LIMIT = 5.0
"""Seconds after the removal of an API key during which requests sent with it may still run."""

DRAIN_LIMIT = 3.0
"""Seconds after the store acknowledged draining during which requests may still arrive.

Enforced only once no fault has started or ended for `SETTLE_TIME` plus this limit.
"""

SETTLE_TIME = 4.0
"""Seconds from the last fault until `DRAIN_LIMIT` starts to apply."""


@dataclass
class CallRecord:
    """One request of a caller and its outcome."""

    request_id: str
    path: str
    key: str
    sent: float
    status: int = 0
    complete: bool = False
    is_controlled: bool = True
    """Whether the caller keeps to the limits and waits for the answer."""

    violation: str = ""
    """Violation that the caller observed, or an empty string."""


@dataclass
class Record:
    """Collects the observations of a run; `violations` describes each violated guarantee."""

    calls: dict[str, CallRecord] = field(default_factory=dict)
    runs: Counter[str] = field(default_factory=Counter)
    revoked_at: dict[str, float] = field(default_factory=dict)
    violations: list[str] = field(default_factory=list)
    last_fault: float = 0.0
    """Time at which the last fault started or ended."""

    def on_arrival(self, request_id: str, backend: Backend) -> None:
        """Records that a request reached a backend server."""
        now = time.monotonic()
        settled = now - self.last_fault > SETTLE_TIME + DRAIN_LIMIT
        if (
            backend.draining_since is not None
            and now - backend.draining_since > DRAIN_LIMIT
            and settled
        ):
            self.violations.append(f"drain: {request_id} reached a draining backend server")

    def on_run(self, request_id: str, workspace: str) -> None:
        """Records that a backend server started to run a request."""
        self.runs[request_id] += 1
        call = self.calls.get(request_id)
        if call is None:
            self.violations.append(f"ran without a caller: {request_id}")
            return
        if call.path == "/once/" and self.runs[request_id] > 1:
            self.violations.append(f"ran twice: {request_id}")
        revoked = self.revoked_at.get(call.key)
        if revoked is not None and call.sent > revoked + REVOKE_LIMIT:
            self.violations.append(f"ran with a revoked key: {request_id}")
        if workspace != "w-" + call.key:
            self.violations.append(f"workspace of {request_id} is {workspace!r}")

    def finish(self) -> list[str]:
        """Makes the checks that need the complete run.

        Returns:
            Every violation of the run.
        """
        for call in self.calls.values():
            if call.violation:
                self.violations.append(f"{call.violation}: {call.request_id}")
            refused = call.status in REFUSALS
            if refused and call.path == "/once/" and self.runs[call.request_id]:
                self.violations.append(f"refused but ran: {call.request_id}")
        return self.violations
