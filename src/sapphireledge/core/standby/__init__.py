"""Protection of running generations by copies of their memory at other engines."""

from sapphireledge.core.standby.copy_limits import CopyLimits
from sapphireledge.core.standby.copy_rule import CopyRule
from sapphireledge.core.standby.copy_step import CopyStep
from sapphireledge.core.standby.protection import Protection

__all__ = ["CopyLimits", "CopyRule", "CopyStep", "Protection"]
