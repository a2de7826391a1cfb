"""Order in which streams that wait at one instance start, and which of them are refused."""

from sapphireledge.core.waiting.line_snapshot import LineSnapshot
from sapphireledge.core.waiting.served_shares import ServedShares
from sapphireledge.core.waiting.waiting_limits import WaitingLimits
from sapphireledge.core.waiting.waiting_line import WaitingLine
from sapphireledge.core.waiting.waiting_work import WaitingWork

__all__ = ["LineSnapshot", "ServedShares", "WaitingLimits", "WaitingLine", "WaitingWork"]
