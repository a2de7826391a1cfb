"""Starts an entry instance on the platform's machines."""

from __future__ import annotations

import signal
import sys

# A planned stop can come while the packages are still imported; nothing was accepted then.
signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(0))

from sapphireledge.platform.main import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main())
