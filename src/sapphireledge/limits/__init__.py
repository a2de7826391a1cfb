"""Limits on what connections take of the event loop and of memory together."""

from sapphireledge.limits.buffer_budget import BufferBudget
from sapphireledge.limits.buffer_share import BufferShare
from sapphireledge.limits.caller_account import CallerAccount
from sapphireledge.limits.caller_budgets import CallerBudgets
from sapphireledge.limits.caller_ledger import CallerLedger
from sapphireledge.limits.ledger_limits import CONNECTION_BYTES, INCLUDED_BYTES, LedgerLimits
from sapphireledge.limits.limit_reason import LimitReason
from sapphireledge.limits.response_budget import MAX_RESPONSE_BYTES, RESPONSE_BUDGET
from sapphireledge.limits.start_listener import limit_reads, start_listener
from sapphireledge.limits.time_slice import TimeSlice

__all__ = [
    "CONNECTION_BYTES",
    "INCLUDED_BYTES",
    "MAX_RESPONSE_BYTES",
    "RESPONSE_BUDGET",
    "BufferBudget",
    "BufferShare",
    "CallerAccount",
    "CallerBudgets",
    "CallerLedger",
    "LedgerLimits",
    "LimitReason",
    "TimeSlice",
    "limit_reads",
    "start_listener",
]
