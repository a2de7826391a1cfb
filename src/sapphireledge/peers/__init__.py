"""Links between entry instances: heartbeats, configuration and copies of answers."""

from __future__ import annotations

from sapphireledge.peers.local_state import LocalState
from sapphireledge.peers.messages import (
    AnswerAppend,
    AnswerLocation,
    AnswerPart,
    AppendResult,
    ConfigObject,
    ConfigPart,
    EngineDeath,
    EventPart,
    Heartbeat,
    HeartbeatReply,
    Hello,
    PeerError,
    PeerService,
    TakeOver,
    UsageDelta,
    VoidReply,
)
from sapphireledge.peers.peer_events import PeerEvents
from sapphireledge.peers.peer_handler import PeerHandler
from sapphireledge.peers.peer_link import PeerLink
from sapphireledge.peers.peer_mesh import PeerMesh
from sapphireledge.peers.peer_server import PeerServer
from sapphireledge.peers.peer_state import PeerState

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
    "LocalState",
    "PeerError",
    "PeerEvents",
    "PeerHandler",
    "PeerLink",
    "PeerMesh",
    "PeerServer",
    "PeerService",
    "PeerState",
    "TakeOver",
    "UsageDelta",
    "VoidReply",
]
