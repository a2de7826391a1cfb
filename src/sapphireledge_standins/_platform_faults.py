"""Faults of the platform stand-in that can be changed at run time."""

from __future__ import annotations

from enum import StrEnum

import msgspec

__all__ = ["Cut", "FaultMode", "PlatformFaults"]


class FaultMode(StrEnum):
    """How a call fails."""

    NONE = "none"
    """The call succeeds."""

    REFUSE = "refuse"
    """The call is answered with 503 and has no effect."""

    HANG = "hang"
    """The call gets no response; a blocked write takes effect when the fault is cleared."""

    CLOSE = "close"
    """The connection is closed before the response is complete."""


class Cut(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Partition that cuts clients off the platform; an empty field matches every client."""

    instance: str = ""
    """Value of the X-Instance header."""

    data_centre: str = ""
    """Value of the X-Data-Centre header."""

    mode: FaultMode = FaultMode.HANG
    """How the calls of these clients fail."""


class PlatformFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of `PUT /admin/faults`; replaces all faults, and omitted fields are reset."""

    outage: FaultMode = FaultMode.NONE
    """How every call fails: none, refuse or hang."""

    delay: float = 0.0
    """Seconds by which responses are delayed; writes take effect before the delay."""

    lose_answers: float = 0.0
    """Probability that the response to a write is lost after the write was processed."""

    lose_next_writes: int = 0
    """Number of upcoming writes whose responses are lost after the writes were processed."""

    lose_mode: FaultMode = FaultMode.CLOSE
    """How the client experiences a lost response: close or hang."""

    seed: int = 0
    """Seed of the random choices; each change of the faults restarts the generator."""

    cuts: tuple[Cut, ...] = ()
    """Clients that cannot reach the platform."""

    instance_lag: float = 0.0
    """Age in seconds of the instance list in responses."""

    def mode_for(self, instance: str, data_centre: str) -> FaultMode:
        """Determines how the calls of one client fail.

        Args:
            instance: Name of the calling instance, empty if it did not send one.
            data_centre: Data centre of the calling instance.

        Returns:
            The mode; an outage takes precedence over partitions.
        """
        if self.outage is not FaultMode.NONE:
            return self.outage
        for cut in self.cuts:
            if cut.instance in ("", instance) and cut.data_centre in ("", data_centre):
                return cut.mode
        return FaultMode.NONE
