"""Clients of model engines and plain services, and pollers of load reports and cache events."""

from __future__ import annotations

from sapphireledge.backends.attempt_finished import AttemptFinished
from sapphireledge.backends.attempt_started import AttemptStarted
from sapphireledge.backends.cache_event_poller import CacheEventPoller
from sapphireledge.backends.cache_page import CacheEvent, CachePage
from sapphireledge.backends.call_failure import CallFailure
from sapphireledge.backends.call_failure_cause import CallFailureCause
from sapphireledge.backends.connection_pools import ConnectionPools
from sapphireledge.backends.decode_signals import decode_signals
from sapphireledge.backends.engine_client import EngineClient
from sapphireledge.backends.engine_order import EngineOrder, OrderResult, OrderStatus
from sapphireledge.backends.generation_call import GenerationCall
from sapphireledge.backends.load_poller import LoadPoller
from sapphireledge.backends.load_report import LoadedModel, LoadReport
from sapphireledge.backends.prefix_hashes import BLOCK_BYTES, prefix_block_hashes, prompt_text
from sapphireledge.backends.probe_result import ProbeResult
from sapphireledge.backends.service_client import ServiceClient
from sapphireledge.backends.service_response import ServiceResponse
from sapphireledge.backends.software_version import normalize_software
from sapphireledge.backends.stream_event import StreamEvent
from sapphireledge.backends.stream_token import FOREIGN_ATTEMPT, StreamToken

__all__ = [
    "BLOCK_BYTES",
    "FOREIGN_ATTEMPT",
    "AttemptFinished",
    "AttemptStarted",
    "CacheEvent",
    "CacheEventPoller",
    "CachePage",
    "CallFailure",
    "CallFailureCause",
    "ConnectionPools",
    "EngineClient",
    "EngineOrder",
    "GenerationCall",
    "LoadPoller",
    "LoadReport",
    "LoadedModel",
    "OrderResult",
    "OrderStatus",
    "ProbeResult",
    "ServiceClient",
    "ServiceResponse",
    "StreamEvent",
    "StreamToken",
    "decode_signals",
    "normalize_software",
    "prefix_block_hashes",
    "prompt_text",
]
