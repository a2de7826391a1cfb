"""Limits on what connections take of the event loop and of memory together."""

from sapphireledge.limits.buffer_budget import BufferBudget
from sapphireledge.limits.buffer_share import BufferShare
from sapphireledge.limits.response_budget import MAX_RESPONSE_BYTES, RESPONSE_BUDGET
from sapphireledge.limits.time_slice import TimeSlice

__all__ = ["MAX_RESPONSE_BYTES", "RESPONSE_BUDGET", "BufferBudget", "BufferShare", "TimeSlice"]
