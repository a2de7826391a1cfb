"""Command line for operators, a client of the operator interface."""

from __future__ import annotations

from sapphireledge.cli.app import app, main

__all__ = ["app", "main"]
