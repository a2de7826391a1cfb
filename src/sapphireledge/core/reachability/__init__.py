"""Whether an instance is cut off from all backend servers, and whom it asks for help."""

from __future__ import annotations

from sapphireledge.core.reachability.failure_window import FailureWindow
from sapphireledge.core.reachability.forwarding_peer import ForwardingPeer
from sapphireledge.core.reachability.peer_order import PeerOrder
from sapphireledge.core.reachability.probe_selection import ProbeSelection

__all__ = ["FailureWindow", "ForwardingPeer", "PeerOrder", "ProbeSelection"]
