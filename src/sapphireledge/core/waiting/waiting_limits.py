"""Limits and weights of the waiting line of an instance."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["WaitingLimits"]


@dataclass(frozen=True, slots=True)
class WaitingLimits:
    """Limits and weights of the waiting line of one service at one instance."""

    served_floor: float = 0.7
    """Fraction of the share of all requests that start which every rank and workspace keeps. It
    is far above the quarter below which a kind of request or a workspace counts as starved, because
    what starts is not yet served."""

    start_window: float = 10.0
    """Seconds over which arrivals, starts and the drain rate are averaged, a few times the usual
    latency targets."""

    usage_half_life: float = 10.0
    """Seconds after which the usage of a workspace counts half."""

    heavy_usage: float = 2.0
    """Multiple of the mean usage of the workspaces above which one gives way to the others of its
    rank."""

    assured_wait: float = 0.5
    """Share of an estimated wait that counts as certain. Requests also start out of turn shortly
    before their callers give up, so the line drains faster than it did before."""

    min_starts: float = 3.0
    """Starts within the window below which the drain rate counts as unknown."""

    shortest_retry_after: float = 0.5
    """Shortest Retry-After in seconds; a caller that returns at once finds the same load."""

    longest_retry_after: float = 8.0
    """Longest Retry-After in seconds; the load is not known further ahead, and callers need time
    for the request itself."""
