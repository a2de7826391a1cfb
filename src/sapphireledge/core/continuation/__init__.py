"""Which servers a stream may go on at: what two software versions generate does not fit."""

from sapphireledge.core.continuation.continuation_rule import ContinuationRule
from sapphireledge.core.continuation.decide_take_up import decide_take_up
from sapphireledge.core.continuation.take_up_decision import TakeUpDecision

__all__ = ["ContinuationRule", "TakeUpDecision", "decide_take_up"]
