"""Routing: selection of a backend server for a request."""

from __future__ import annotations

from sapphireledge.core.routing.backend_instance import BackendInstance
from sapphireledge.core.routing.backend_state import BackendState
from sapphireledge.core.routing.backend_view import BackendView
from sapphireledge.core.routing.cache_event import CacheEvent
from sapphireledge.core.routing.hash_prefixes import BLOCK_BYTES, hash_prefixes
from sapphireledge.core.routing.is_software_gone import is_software_gone
from sapphireledge.core.routing.load_report import LoadReport
from sapphireledge.core.routing.model_version import ModelVersion
from sapphireledge.core.routing.prefix_index import PrefixIndex
from sapphireledge.core.routing.route_choice import RouteChoice
from sapphireledge.core.routing.route_request import RouteRequest
from sapphireledge.core.routing.router import Router
from sapphireledge.core.routing.select_subset import select_subset

__all__ = [
    "BLOCK_BYTES",
    "BackendInstance",
    "BackendState",
    "BackendView",
    "CacheEvent",
    "LoadReport",
    "ModelVersion",
    "PrefixIndex",
    "RouteChoice",
    "RouteRequest",
    "Router",
    "hash_prefixes",
    "is_software_gone",
    "select_subset",
]
