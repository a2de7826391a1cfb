"""Starts an entry instance on the platform's machines."""

from __future__ import annotations

import signal
import sys

early_stop_signals: list[int] = []
"""Stop signals received while the packages are still being imported.

They are only recorded: an exception during the import of an extension module can crash the
interpreter.
"""

signal.signal(signal.SIGTERM, lambda number, frame: early_stop_signals.append(number))

from sapphireledge.platform.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(early_stop_signals))
