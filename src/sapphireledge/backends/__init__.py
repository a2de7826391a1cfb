"""Clients of model engines and plain services, and pollers of load reports and cache events."""

from __future__ import annotations

from sapphireledge.backends.break_cause import BreakCause
from sapphireledge.backends.broken import Broken
from sapphireledge.backends.cache_event_poller import CacheEventPoller
from sapphireledge.backends.cache_page import CacheEvent, CachePage
from sapphireledge.backends.connection_pools import ConnectionPools
from sapphireledge.backends.engine_client import EngineClient
from sapphireledge.backends.engine_order import EngineOrder, OrderResult, OrderStatus
from sapphireledge.backends.finished import Finished
from sapphireledge.backends.generation_call import GenerationCall
from sapphireledge.backends.load_poller import LoadPoller
from sapphireledge.backends.load_report import LoadedModel, LoadReport
from sapphireledge.backends.prefix_hashes import BLOCK_BYTES, prefix_block_hashes, prompt_text
from sapphireledge.backends.probe_result import ProbeResult
from sapphireledge.backends.service_answer import ServiceAnswer
from sapphireledge.backends.service_client import ServiceClient
from sapphireledge.backends.started import Started
from sapphireledge.backends.stream_event import StreamEvent
from sapphireledge.backends.token_piece import FOREIGN_ATTEMPT, TokenPiece

__all__ = [
    "BLOCK_BYTES",
    "FOREIGN_ATTEMPT",
    "BreakCause",
    "Broken",
    "CacheEvent",
    "CacheEventPoller",
    "CachePage",
    "ConnectionPools",
    "EngineClient",
    "EngineOrder",
    "Finished",
    "GenerationCall",
    "LoadPoller",
    "LoadReport",
    "LoadedModel",
    "OrderResult",
    "OrderStatus",
    "ProbeResult",
    "ServiceAnswer",
    "ServiceClient",
    "Started",
    "StreamEvent",
    "TokenPiece",
    "prefix_block_hashes",
    "prompt_text",
]
