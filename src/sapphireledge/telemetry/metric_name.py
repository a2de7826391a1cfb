"""Fixed list of metric names."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["MetricName"]


class MetricName(StrEnum):
    """Names of metrics; docs/reference-metrics.md lists units and tags."""

    FIRST_TOKEN = "first_token"
    """Timer, ms: from arrival of a request to its first delivered token, by rank."""

    TOKEN_GAP = "token_gap"
    """Timer, ms: longest gap between delivered tokens of one answer, by rank."""

    RESUME_LATENCY = "resume_latency"
    """Timer, ms: from the last token of a lost attempt to the next delivered token."""

    RESUME_TOKENS = "resume_tokens"
    """Counter, tokens: prefix tokens passed to new attempts, the cost of resuming."""

    TOKENS_DELIVERED = "tokens_delivered"
    """Counter, tokens: delivered to callers, by rank."""

    REQUESTS = "requests"
    """Counter: requests by rank and result (completed or an error kind)."""

    QUEUE_WAIT = "queue_wait"
    """Timer, ms: time that a request was queued, by rank."""

    WORKSPACE_TOKENS = "workspace_tokens"
    """Counter, tokens: delivered to callers, by workspace."""

    UNPROTECTED_TOKENS = "unprotected_tokens"
    """Counter, tokens: delivered without a copy stored by another entry instance."""

    CLAIMS = "claims"
    """Counter: settled claims by outcome."""

    PLATFORM_CALLS = "platform_calls"
    """Counter: calls to the object API by operation and result."""

    EVENTS_DROPPED = "events_dropped"
    """Counter: recorded events dropped because their memory limit was reached."""

    CALLERS_LIMITED = "callers_limited"
    """Counter: connections closed and requests refused because of limits on callers, by reason."""

    RUNNING = "running"
    """Gauge: answers being generated."""

    QUEUED = "queued"
    """Gauge: requests in the queue."""
