"""The entry instance: caller interface, sessions and the parts around the decision core."""

from __future__ import annotations

from sapphireledge.entry.app import create_app
from sapphireledge.entry.entry_server import EntryServer

__all__ = ["EntryServer", "create_app"]
