"""Events of a generation stream."""

from __future__ import annotations

from typing import TypeAlias

from sapphireledge.backends.attempt_finished import AttemptFinished
from sapphireledge.backends.attempt_started import AttemptStarted
from sapphireledge.backends.call_failure import CallFailure
from sapphireledge.backends.stream_token import StreamToken

__all__ = ["StreamEvent"]

StreamEvent: TypeAlias = AttemptStarted | StreamToken | AttemptFinished | CallFailure
"""Event of a stream.

A stream is AttemptStarted, any number of StreamToken, then one AttemptFinished or CallFailure; or
only CallFailure.
"""
