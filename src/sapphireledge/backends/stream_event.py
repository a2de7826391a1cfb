"""Events of a generation stream."""

from __future__ import annotations

from typing import TypeAlias

from sapphireledge.backends.broken import Broken
from sapphireledge.backends.finished import Finished
from sapphireledge.backends.started import Started
from sapphireledge.backends.token_piece import TokenPiece

__all__ = ["StreamEvent"]

StreamEvent: TypeAlias = Started | TokenPiece | Finished | Broken
"""Event of a stream.

A stream is Started, any number of TokenPiece, then one Finished or Broken; or only Broken.
"""
