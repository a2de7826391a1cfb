"""Forwards callers' requests to backend servers according to a routing table."""

from __future__ import annotations

from sapphireledge.gateway.backend_request import BackendRequest
from sapphireledge.gateway.backend_server import BackendServer
from sapphireledge.gateway.bounded_log import BoundedLog
from sapphireledge.gateway.caller_limits import CallerLimits
from sapphireledge.gateway.caller_request import CallerRequest, Headers
from sapphireledge.gateway.config_view import ConfigView, seconds_since_boot
from sapphireledge.gateway.crash_guard import CrashGuard
from sapphireledge.gateway.dialect import Dialect
from sapphireledge.gateway.engine_load import EngineLoad
from sapphireledge.gateway.event_reader import EventReader
from sapphireledge.gateway.explain_request import GatewayExplainer
from sapphireledge.gateway.gateway import Gateway
from sapphireledge.gateway.gateway_event import GatewayEvent
from sapphireledge.gateway.gateway_metrics import GatewayMetrics
from sapphireledge.gateway.gateway_server import GatewayServer
from sapphireledge.gateway.gateway_settings import GatewaySettings
from sapphireledge.gateway.load_exchange import LoadExchange
from sapphireledge.gateway.origin_telemetry import OriginTelemetry
from sapphireledge.gateway.quarantine_settings import QuarantineSettings
from sapphireledge.gateway.replay_rule import ReplayRule
from sapphireledge.gateway.request_telemetry import RequestTelemetry
from sapphireledge.gateway.response_head import ResponseHead
from sapphireledge.gateway.rollout_guard import RolloutGuard
from sapphireledge.gateway.route import Route
from sapphireledge.gateway.routing_table import RoutingTable
from sapphireledge.gateway.service_profile import ServiceProfile
from sapphireledge.gateway.stored_order import StoredOrder
from sapphireledge.gateway.stream_origins import VERSIONS_REPORT, StreamOrigins
from sapphireledge.gateway.unread_reader import UnreadReader, open_unread_connection
from sapphireledge.gateway.wait_for_event import wait_for_event
from sapphireledge.gateway.workspace_key import WorkspaceKey

__all__ = [
    "VERSIONS_REPORT",
    "BackendRequest",
    "BackendServer",
    "BoundedLog",
    "CallerLimits",
    "CallerRequest",
    "ConfigView",
    "CrashGuard",
    "Dialect",
    "EngineLoad",
    "EventReader",
    "Gateway",
    "GatewayEvent",
    "GatewayExplainer",
    "GatewayMetrics",
    "GatewayServer",
    "GatewaySettings",
    "Headers",
    "LoadExchange",
    "OriginTelemetry",
    "QuarantineSettings",
    "ReplayRule",
    "RequestTelemetry",
    "ResponseHead",
    "RolloutGuard",
    "Route",
    "RoutingTable",
    "ServiceProfile",
    "StoredOrder",
    "StreamOrigins",
    "UnreadReader",
    "WorkspaceKey",
    "open_unread_connection",
    "seconds_since_boot",
    "wait_for_event",
]
