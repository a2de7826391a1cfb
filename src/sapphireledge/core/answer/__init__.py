"""Life cycle, position and ownership of one answer.

An answer is the sequence of tokens generated for one request. The entry that runs its generation
is its owner. Another entry, the holder, keeps a copy from which the answer can be taken over; the
holder that an owner currently replicates to is its partner.
"""

from __future__ import annotations

from sapphireledge.core.answer.answer_digest import AnswerDigest
from sapphireledge.core.answer.answer_end import AnswerEnd
from sapphireledge.core.answer.append_outcome import NO_ROOM, AppendOutcome
from sapphireledge.core.answer.attempt_failure_cause import AttemptFailureCause
from sapphireledge.core.answer.cancel_attempt import CancelAttempt
from sapphireledge.core.answer.change_partner import ChangePartner
from sapphireledge.core.answer.choose_copy import choose_copy
from sapphireledge.core.answer.choose_first_epoch import choose_first_epoch
from sapphireledge.core.answer.commit_decision import CommitDecision
from sapphireledge.core.answer.commit_window import CommitWindow
from sapphireledge.core.answer.complete import Complete
from sapphireledge.core.answer.copy_append import CopyAppend
from sapphireledge.core.answer.copy_location import CopyLocation
from sapphireledge.core.answer.copy_part import CopyPart
from sapphireledge.core.answer.decision import Decision
from sapphireledge.core.answer.deliver import Deliver
from sapphireledge.core.answer.dispatch import Dispatch
from sapphireledge.core.answer.event_id import EventId
from sapphireledge.core.answer.gap_detector import GapDetector
from sapphireledge.core.answer.generation_machine import GenerationMachine
from sapphireledge.core.answer.generation_phase import GenerationPhase
from sapphireledge.core.answer.generation_request import GenerationRequest
from sapphireledge.core.answer.ignore import Ignore
from sapphireledge.core.answer.owner_claim import OwnerClaim
from sapphireledge.core.answer.ownership_table import OwnershipTable
from sapphireledge.core.answer.probe import Probe
from sapphireledge.core.answer.refuse import Refuse
from sapphireledge.core.answer.release import Release
from sapphireledge.core.answer.stop_delivery import StopDelivery
from sapphireledge.core.answer.stored_prefix import StoredPrefix
from sapphireledge.core.answer.take_over_outcome import TakeOverOutcome
from sapphireledge.core.answer.verified_prefix import VerifiedPrefix
from sapphireledge.core.answer.verify_text import verify_position, verify_text

__all__ = [
    "NO_ROOM",
    "AnswerDigest",
    "AnswerEnd",
    "AppendOutcome",
    "AttemptFailureCause",
    "CancelAttempt",
    "ChangePartner",
    "CommitDecision",
    "CommitWindow",
    "Complete",
    "CopyAppend",
    "CopyLocation",
    "CopyPart",
    "Decision",
    "Deliver",
    "Dispatch",
    "EventId",
    "GapDetector",
    "GenerationMachine",
    "GenerationPhase",
    "GenerationRequest",
    "Ignore",
    "OwnerClaim",
    "OwnershipTable",
    "Probe",
    "Refuse",
    "Release",
    "StopDelivery",
    "StoredPrefix",
    "TakeOverOutcome",
    "VerifiedPrefix",
    "choose_copy",
    "choose_first_epoch",
    "verify_position",
    "verify_text",
]
