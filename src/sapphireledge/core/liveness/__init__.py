"""Whether the backend server of a running request is still alive."""

from sapphireledge.core.liveness.run_sighting import RunSighting
from sapphireledge.core.liveness.silence_limits import SilenceLimits
from sapphireledge.core.liveness.stream_watch import StreamWatch

__all__ = ["RunSighting", "SilenceLimits", "StreamWatch"]
