"""Union type of the decisions of a commit window."""

from __future__ import annotations

from sapphireledge.core.answer.change_partner import ChangePartner
from sapphireledge.core.answer.release import Release
from sapphireledge.core.answer.stop_delivery import StopDelivery

__all__ = ["CommitDecision"]

CommitDecision = Release | ChangePartner | StopDelivery
"""Any decision of a commit window."""
