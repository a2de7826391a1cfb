"""Faults of the stand-in platform, switchable while it runs."""

from __future__ import annotations

from enum import StrEnum

import msgspec

__all__ = ["Cut", "FaultMode", "PlatformFaults"]


class FaultMode(StrEnum):
    """How a call fails."""

    NONE = "none"
    """It does not."""

    REFUSE = "refuse"
    """It is answered with 503 and has no effect."""

    HANG = "hang"
    """It gets no answer; a held write takes effect when the fault ends."""

    CLOSE = "close"
    """The connection is closed before the answer is complete."""


class Cut(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Clients that cannot reach the platform; an empty field matches every client."""

    instance: str = ""
    """Value of the header X-Instance."""

    data_centre: str = ""
    """Value of the header X-Data-Centre."""

    mode: FaultMode = FaultMode.HANG
    """How their calls fail."""


class PlatformFaults(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All faults in force; the default is none."""

    outage: FaultMode = FaultMode.NONE
    """How every call fails: none, refuse or hang."""

    delay: float = 0.0
    """Seconds that each answer is late; the effect is not."""

    lose_answers: float = 0.0
    """Probability that the answer of a write is lost after it took effect."""

    lose_next_writes: int = 0
    """Number of coming writes whose answer is certainly lost after they took effect."""

    lose_mode: FaultMode = FaultMode.CLOSE
    """How a lost answer looks to the client: close or hang."""

    seed: int = 0
    """Seed of the random choices; each change of the faults starts them anew."""

    cuts: tuple[Cut, ...] = ()
    """Clients that are cut off."""

    instance_lag: float = 0.0
    """Age in seconds of the instance list that is served."""

    def mode_for(self, instance: str, data_centre: str) -> FaultMode:
        """Finds how the calls of one client fail.

        Args:
            instance: Name of the calling instance, empty if it did not send one.
            data_centre: Data centre of the calling instance.

        Returns:
            The mode, `FaultMode.NONE` if the calls succeed.
        """
        if self.outage is not FaultMode.NONE:
            return self.outage
        for cut in self.cuts:
            if cut.instance in ("", instance) and cut.data_centre in ("", data_centre):
                return cut.mode
        return FaultMode.NONE
