"""Randomized soak of the entry program: real processes, faults from outside, checked promises."""

from __future__ import annotations
