"""Starts an entry instance on the platform's machines."""

from __future__ import annotations

import sys

from sapphireledge.process_signals import ProcessSignals

signals = ProcessSignals()
# Before the other imports, which take longer than the rest of the start.
signals.install()

from sapphireledge.platform.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(signals))
