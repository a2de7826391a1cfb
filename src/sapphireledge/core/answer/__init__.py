"""Life cycle, position and ownership of one answer."""

from __future__ import annotations

from sapphireledge.core.answer.answer_digest import AnswerDigest
from sapphireledge.core.answer.break_cause import BreakCause
from sapphireledge.core.answer.cancel_attempt import CancelAttempt
from sapphireledge.core.answer.complete import Complete
from sapphireledge.core.answer.decision import Decision
from sapphireledge.core.answer.deliver import Deliver
from sapphireledge.core.answer.dispatch import Dispatch
from sapphireledge.core.answer.event_id import EventId
from sapphireledge.core.answer.gap_detector import GapDetector
from sapphireledge.core.answer.generation_machine import GenerationMachine
from sapphireledge.core.answer.generation_phase import GenerationPhase
from sapphireledge.core.answer.generation_request import GenerationRequest
from sapphireledge.core.answer.ignore import Ignore
from sapphireledge.core.answer.probe import Probe
from sapphireledge.core.answer.refuse import Refuse
from sapphireledge.core.answer.stored_prefix import StoredPrefix
from sapphireledge.core.answer.verified_prefix import VerifiedPrefix
from sapphireledge.core.answer.verify_text import verify_position, verify_text

__all__ = [
    "AnswerDigest",
    "BreakCause",
    "CancelAttempt",
    "Complete",
    "Decision",
    "Deliver",
    "Dispatch",
    "EventId",
    "GapDetector",
    "GenerationMachine",
    "GenerationPhase",
    "GenerationRequest",
    "Ignore",
    "Probe",
    "Refuse",
    "StoredPrefix",
    "VerifiedPrefix",
    "verify_position",
    "verify_text",
]
