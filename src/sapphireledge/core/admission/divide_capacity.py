"""Part of one instance in a pool that several instances use."""

from __future__ import annotations

from sapphireledge.core.admission.capacity import Capacity

__all__ = ["divide_capacity"]


def divide_capacity(observed: Capacity, entries: int, running: int) -> Capacity:
    """Computes the part of one instance in a shared pool.

    Load reports are up to half a second old. If each instance took every slot that it sees free,
    all of them would take the same ones, and work of every rank would wait inside the engines. So
    an instance uses its even part, and of the rest that is reported free its part.

    Args:
        observed: The whole pool in the view of the instance.
        entries: Live instances, this one included.
        running: Sequences of this instance that run in the pool.

    Returns:
        What the instance may treat as its own; the whole pool if it is alone.
    """
    if entries <= 1 or observed.total <= 0:
        return observed
    free = max(max(1, observed.total // entries) - running, observed.free // entries)
    free = max(0, min(free, observed.free))
    rate = observed.token_rate * running / max(1, observed.total - observed.free)
    return Capacity(free, running + free, min(rate, observed.token_rate))
