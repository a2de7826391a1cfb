"""Randomized soak test of the entry program with real processes and injected faults."""

from __future__ import annotations
