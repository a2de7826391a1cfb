"""Share of one instance in a pool that several instances use."""

from __future__ import annotations

from sapphireledge.core.admission.capacity import Capacity

__all__ = ["divide_capacity"]


def divide_capacity(observed: Capacity, entries: int, running: int) -> Capacity:
    """Computes the share of a pool that one instance may use.

    Load reports are up to half a second old. If each instance took every slot that it sees as free,
    all of them would take the same ones, and work of every rank would wait inside the engines. So
    an instance uses up to an equal share of all slots, or an equal share of the slots reported as
    free if that allows more.

    Args:
        observed: Capacity of the entire pool as this instance sees it.
        entries: Number of live entry instances, including this one.
        running: Number of sequences that this instance runs in the pool.

    Returns:
        Capacity that this instance may use; the entire pool if it is the only instance.
    """
    if entries <= 1 or observed.total <= 0:
        return observed
    free = max(max(1, observed.total // entries) - running, observed.free // entries)
    free = max(0, min(free, observed.free))
    rate = observed.token_rate * running / max(1, observed.total - observed.free)
    return Capacity(free, running + free, min(rate, observed.token_rate))
