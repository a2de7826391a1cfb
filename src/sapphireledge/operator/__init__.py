"""Operator interface: the Thrift service that the command line calls."""

from __future__ import annotations

from sapphireledge.operator.declaration_reader import DeclarationReader
from sapphireledge.operator.event_reader import EventReader
from sapphireledge.operator.explainer import Explainer
from sapphireledge.operator.gateway_operator_server import GatewayOperatorServer
from sapphireledge.operator.operator_parts import OperatorParts
from sapphireledge.operator.operator_server import OperatorServer
from sapphireledge.operator.order_dispatcher import OrderDispatcher
from sapphireledge.operator.paced_explainer import PacedExplainer
from sapphireledge.operator.status_reporter import StatusReporter

__all__ = [
    "DeclarationReader",
    "EventReader",
    "Explainer",
    "GatewayOperatorServer",
    "OperatorParts",
    "OperatorServer",
    "OrderDispatcher",
    "PacedExplainer",
    "StatusReporter",
]
