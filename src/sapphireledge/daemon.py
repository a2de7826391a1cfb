"""The `sapphireledged` daemon, which runs one entry instance."""

from __future__ import annotations

import sys

from sapphireledge.process_signals import ProcessSignals

__all__ = ["main"]


def main() -> None:
    """Runs the daemon; entry point of the console script."""
    signals = ProcessSignals()
    signals.install()
    # Imported only now, because a signal during the import would end the process.
    from sapphireledge.daemon_runner import run_daemon

    try:
        run_daemon(signals)
    finally:
        signals.ignore()


if __name__ == "__main__":
    sys.exit(main())
