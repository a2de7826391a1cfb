"""Union type of the decisions of a generation machine."""

from __future__ import annotations

from sapphireledge.core.answer.cancel_attempt import CancelAttempt
from sapphireledge.core.answer.complete import Complete
from sapphireledge.core.answer.deliver import Deliver
from sapphireledge.core.answer.dispatch import Dispatch
from sapphireledge.core.answer.ignore import Ignore
from sapphireledge.core.answer.probe import Probe
from sapphireledge.core.answer.refuse import Refuse

__all__ = ["Decision"]

Decision = Deliver | Dispatch | Probe | CancelAttempt | Complete | Refuse | Ignore
"""Any decision of a generation machine."""
