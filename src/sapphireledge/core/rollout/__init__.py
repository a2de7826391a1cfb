"""Roll-out of a version: exposure, verdict from shared counts, completion."""

from __future__ import annotations

from sapphireledge.core.rollout.answer_quality import AnswerQuality
from sapphireledge.core.rollout.rollout import Rollout
from sapphireledge.core.rollout.rollout_decision import RolloutDecision, RolloutStage
from sapphireledge.core.rollout.rollout_limits import RolloutLimits
from sapphireledge.core.rollout.rollout_order import RolloutOrder
from sapphireledge.core.rollout.rollout_report import RolloutReport
from sapphireledge.core.rollout.rollout_state import RolloutState
from sapphireledge.core.rollout.version_counts import VersionCounts
from sapphireledge.core.rollout.version_in_use import VersionInUse
from sapphireledge.core.rollout.version_rule import VersionChoice, VersionRule

__all__ = [
    "AnswerQuality",
    "Rollout",
    "RolloutDecision",
    "RolloutLimits",
    "RolloutOrder",
    "RolloutReport",
    "RolloutStage",
    "RolloutState",
    "VersionChoice",
    "VersionCounts",
    "VersionInUse",
    "VersionRule",
]
