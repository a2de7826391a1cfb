"""Limits on what connections take of the event loop and of memory together."""

from sapphireledge.limits.buffer_budget import BufferBudget
from sapphireledge.limits.time_slice import TimeSlice

__all__ = ["BufferBudget", "TimeSlice"]
