"""Union of everything that a commit window can decide."""

from __future__ import annotations

from sapphireledge.core.answer.change_partner import ChangePartner
from sapphireledge.core.answer.release import Release
from sapphireledge.core.answer.stop_delivery import StopDelivery

__all__ = ["CommitDecision"]

CommitDecision = Release | ChangePartner | StopDelivery
"""Everything that a commit window can decide."""
