"""Limits on what connections take of the event loop and of memory together."""

from sapphireledge.limits.buffer_budget import BufferBudget
from sapphireledge.limits.buffer_share import BufferShare
from sapphireledge.limits.caller_account import CallerAccount
from sapphireledge.limits.caller_budgets import CallerBudgets
from sapphireledge.limits.caller_ledger import CallerLedger
from sapphireledge.limits.count_unsent import count_unsent
from sapphireledge.limits.head_memory import (
    FIELD_BYTES,
    HEAD_END_OVERLAP,
    estimate_head_memory,
    find_head_end,
)
from sapphireledge.limits.ledger_limits import CONNECTION_BYTES, INCLUDED_BYTES, LedgerLimits
from sapphireledge.limits.limit_log import LOG_INTERVAL, LimitLog
from sapphireledge.limits.limit_reason import LimitReason
from sapphireledge.limits.receive_window import ReceiveWindow
from sapphireledge.limits.response_budget import MAX_RESPONSE_BYTES, RESPONSE_BUDGET
from sapphireledge.limits.start_listener import (
    ACCEPT_BATCH,
    QUEUE_LENGTH,
    create_listening_socket,
    limit_reads,
    limit_transport_reads,
    start_listener,
)
from sapphireledge.limits.time_slice import TimeSlice

__all__ = [
    "ACCEPT_BATCH",
    "CONNECTION_BYTES",
    "FIELD_BYTES",
    "HEAD_END_OVERLAP",
    "INCLUDED_BYTES",
    "LOG_INTERVAL",
    "MAX_RESPONSE_BYTES",
    "QUEUE_LENGTH",
    "RESPONSE_BUDGET",
    "BufferBudget",
    "BufferShare",
    "CallerAccount",
    "CallerBudgets",
    "CallerLedger",
    "LedgerLimits",
    "LimitLog",
    "LimitReason",
    "ReceiveWindow",
    "TimeSlice",
    "count_unsent",
    "create_listening_socket",
    "estimate_head_memory",
    "find_head_end",
    "limit_reads",
    "limit_transport_reads",
    "start_listener",
]
