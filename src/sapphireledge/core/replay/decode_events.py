"""Decoding of recorded events."""

from __future__ import annotations

import msgspec

from sapphireledge.core.replay.request_event import RequestEvent

__all__ = ["decode_events"]

_DECODER = msgspec.json.Decoder(RequestEvent)


def decode_events(lines: bytes | str) -> tuple[RequestEvent, ...]:
    """Decodes JSON lines from segments or peer messages.

    Args:
        lines: Events as JSON lines.

    Returns:
        The events in order.

    Raises:
        msgspec.DecodeError: If a line is not a valid event.
    """
    return tuple(_DECODER.decode_lines(lines))
