"""Starts an entry instance on the platform's machines."""

from __future__ import annotations

import sys

from sapphireledge.platform.main import main

if __name__ == "__main__":
    sys.exit(main())
