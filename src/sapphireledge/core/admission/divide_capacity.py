"""Part of one instance in a pool that several instances use."""

from __future__ import annotations

from sapphireledge.core.admission.capacity import Capacity

__all__ = ["divide_capacity"]


def divide_capacity(seen: Capacity, entries: int, own: int) -> Capacity:
    """Computes the part of one instance in a shared pool.

    Load reports are up to half a second old. If each instance took every slot that it sees free,
    all of them would take the same ones, and work of every rank would wait inside the engines. So
    an instance uses its even part, and of the rest that is reported free its part.

    Args:
        seen: The whole pool in the view of the instance.
        entries: Live instances, this one included.
        own: Sequences of this instance that run in the pool.

    Returns:
        What the instance may treat as its own; the whole pool if it is alone.
    """
    if entries <= 1 or seen.total <= 0:
        return seen
    free = max(max(1, seen.total // entries) - own, seen.free // entries)
    free = max(0, min(free, seen.free))
    rate = seen.token_rate * own / max(1, seen.total - seen.free)
    return Capacity(free, own + free, min(rate, seen.token_rate))
