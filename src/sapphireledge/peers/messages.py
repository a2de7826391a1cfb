"""Message types of schema/peer.thrift, where their fields are documented."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.rpc import load_schema

if TYPE_CHECKING:
    from typing import Any

__all__ = [
    "AnswerAppend",
    "AnswerLocation",
    "AnswerPart",
    "AppendResult",
    "ConfigObject",
    "ConfigPart",
    "EngineDeath",
    "EventPart",
    "Heartbeat",
    "HeartbeatReply",
    "Hello",
    "PeerError",
    "PeerService",
    "RequestClearing",
    "TakeOver",
    "UsageDelta",
    "VoidReply",
]

_SCHEMA: Any = load_schema("peer")

AnswerAppend = _SCHEMA.AnswerAppend
AnswerLocation = _SCHEMA.AnswerLocation
AnswerPart = _SCHEMA.AnswerPart
AppendResult = _SCHEMA.AppendResult
ConfigObject = _SCHEMA.ConfigObject
ConfigPart = _SCHEMA.ConfigPart
EngineDeath = _SCHEMA.EngineDeath
EventPart = _SCHEMA.EventPart
Heartbeat = _SCHEMA.Heartbeat
HeartbeatReply = _SCHEMA.HeartbeatReply
Hello = _SCHEMA.Hello
PeerError = _SCHEMA.PeerError
PeerService = _SCHEMA.Peer
RequestClearing = _SCHEMA.RequestClearing
TakeOver = _SCHEMA.TakeOver
UsageDelta = _SCHEMA.UsageDelta
VoidReply = _SCHEMA.VoidReply
