"""Serving system for long model generations on engines that fail."""

from __future__ import annotations

__all__ = ["__version__"]

__version__ = "0.1.0"
"""Version of the package."""
