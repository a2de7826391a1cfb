"""The entry instance: caller interface, request sessions and the I/O layer around the core."""

from __future__ import annotations

from sapphireledge.entry.app import create_app
from sapphireledge.entry.entry_server import EntryServer

__all__ = ["EntryServer", "create_app"]
