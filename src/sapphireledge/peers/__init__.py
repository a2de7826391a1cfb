"""Peer protocol between entry instances: heartbeats, configuration and answer replication."""

from __future__ import annotations

from sapphireledge.peers.answer_copies import AnswerCopies
from sapphireledge.peers.copy_outcome import CopyOutcome
from sapphireledge.peers.found_answer import FoundAnswer
from sapphireledge.peers.local_state import LocalState
from sapphireledge.peers.local_state_source import LocalStateSource
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
from sapphireledge.peers.peer_call_client import PeerCallClient
from sapphireledge.peers.peer_events import PeerEvents
from sapphireledge.peers.peer_handler import PeerHandler
from sapphireledge.peers.peer_link import PeerLink
from sapphireledge.peers.peer_links import PeerLinks
from sapphireledge.peers.peer_mesh import PeerMesh
from sapphireledge.peers.peer_queries import PeerQueries
from sapphireledge.peers.peer_server import PeerServer
from sapphireledge.peers.replicated_answer import ReplicatedAnswer

__all__ = [
    "AnswerAppend",
    "AnswerCopies",
    "AnswerLocation",
    "AnswerPart",
    "AppendResult",
    "ConfigObject",
    "ConfigPart",
    "CopyOutcome",
    "EngineDeath",
    "EventPart",
    "FoundAnswer",
    "Heartbeat",
    "HeartbeatReply",
    "Hello",
    "LocalState",
    "LocalStateSource",
    "PeerCallClient",
    "PeerError",
    "PeerEvents",
    "PeerHandler",
    "PeerLink",
    "PeerLinks",
    "PeerMesh",
    "PeerQueries",
    "PeerServer",
    "PeerService",
    "ReplicatedAnswer",
    "TakeOver",
    "UsageDelta",
    "VoidReply",
]
