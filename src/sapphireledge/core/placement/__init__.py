"""When and on which engine a stream starts, decided from load reports."""

from sapphireledge.core.placement.choose_candidates import choose_candidates, compute_start_share
from sapphireledge.core.placement.cost_terms import CostTerms
from sapphireledge.core.placement.engine_view import EngineView, count_prompts_left
from sapphireledge.core.placement.first_event_estimator import FirstEventEstimator
from sapphireledge.core.placement.fleet_size import FleetSize
from sapphireledge.core.placement.generation_estimator import GenerationEstimator
from sapphireledge.core.placement.kept_prompt_limits import KeptPromptLimits
from sapphireledge.core.placement.kept_prompts import KeptPrompts
from sapphireledge.core.placement.pending_stream import PendingStream
from sapphireledge.core.placement.placement_limits import PlacementLimits
from sapphireledge.core.placement.placement_rule import PlacementRule
from sapphireledge.core.placement.prompt_part import PromptPart
from sapphireledge.core.placement.refusal_reason import RefusalReason
from sapphireledge.core.placement.refuse_stream import RefuseStream
from sapphireledge.core.placement.start_stream import StartStream
from sapphireledge.core.placement.wait_for_engine import WaitForEngine

__all__ = [
    "CostTerms",
    "EngineView",
    "FirstEventEstimator",
    "FleetSize",
    "GenerationEstimator",
    "KeptPromptLimits",
    "KeptPrompts",
    "PendingStream",
    "PlacementLimits",
    "PlacementRule",
    "PromptPart",
    "RefusalReason",
    "RefuseStream",
    "StartStream",
    "WaitForEngine",
    "choose_candidates",
    "compute_start_share",
    "count_prompts_left",
]
