"""Decides whether a stream that its caller takes up again goes on."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge.core.continuation.take_up_decision import TakeUpDecision

if TYPE_CHECKING:
    from collections.abc import Iterable

    from sapphireledge.core.continuation.continuation_rule import ContinuationRule

__all__ = ["decide_take_up"]


def decide_take_up(rule: ContinuationRule | None, versions: Iterable[str]) -> TakeUpDecision:
    """Decides whether a stream that its caller takes up again goes on.

    Args:
        rule: Servers at which it may go on, None if the version that began it is not known.
        versions: Versions of the servers that take requests now or after a pause.

    Returns:
        The decision.
    """
    if rule is None:
        return TakeUpDecision.UNKNOWN
    if any(rule.permits(version) for version in versions):
        return TakeUpDecision.CONTINUED
    return TakeUpDecision.GONE
