"""Thrift over asyncio with strict size and time limits, for the peer and operator interfaces."""

from __future__ import annotations

from sapphireledge.rpc.connection_handler import ConnectionHandler
from sapphireledge.rpc.connection_ledgers import ConnectionLedgers
from sapphireledge.rpc.limited_transport import LimitedTransport
from sapphireledge.rpc.load_schema import load_schema
from sapphireledge.rpc.message_error import MessageError
from sapphireledge.rpc.rpc_error import RpcError
from sapphireledge.rpc.rpc_limits import RpcLimits
from sapphireledge.rpc.secret_matches import secret_matches
from sapphireledge.rpc.thrift_connection import ThriftConnection
from sapphireledge.rpc.thrift_server import ThriftServer

__all__ = [
    "ConnectionHandler",
    "ConnectionLedgers",
    "LimitedTransport",
    "MessageError",
    "RpcError",
    "RpcLimits",
    "ThriftConnection",
    "ThriftServer",
    "load_schema",
    "secret_matches",
]
