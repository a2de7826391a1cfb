"""Serving system that completes long model generations despite engine failures."""

from __future__ import annotations

__all__ = ["__version__"]

__version__ = "0.1.0"
"""Version of the package."""
