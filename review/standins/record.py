"""Record of what was sent, answered and run."""

from __future__ import annotations

import time
from pathlib import Path


class Record:
    """Collects lines with the seconds since the start, and writes them to a file at the end."""

    def __init__(self) -> None:
        self.started = time.monotonic()
        self._lines: list[str] = []

    def now(self) -> float:
        """Seconds since the start of the record."""
        return time.monotonic() - self.started

    def add(self, text: str) -> None:
        """Adds a line with the current time."""
        self._lines.append(f"{self.now():9.3f}  {text}")

    def write(self, path: Path) -> None:
        """Writes all lines."""
        path.write_text("\n".join(self._lines) + "\n")
