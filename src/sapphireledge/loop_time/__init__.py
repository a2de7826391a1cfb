"""Time of the event loop, shared between the connections of an instance."""

from sapphireledge.loop_time.time_slice import TimeSlice

__all__ = ["TimeSlice"]
