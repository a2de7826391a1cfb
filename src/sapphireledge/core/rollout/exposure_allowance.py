"""How many requests an instance may give a version that is not known to be good."""

from __future__ import annotations

from random import Random

from sapphireledge.core.rollout.rollout_limits import RolloutLimits

__all__ = ["ExposureAllowance"]


class ExposureAllowance:
    """Allowance of one instance.

    Each instance keeps the share for its own requests, so that it holds for their sum without any
    message. The fraction of a request that an instance is left with is rounded at random, once, so
    that the sum over many instances is right on average. A part of the slack, divided by the number
    of instances, is used first, so that there is evidence early; these requests count for the share
    as well, which takes over once it permits more.
    """

    def __init__(self, limits: RolloutLimits, rng: Random) -> None:
        """Creates an empty allowance.

        Args:
            limits: Limits.
            rng: Source of the rounding.
        """
        self._limits = limits
        self._rounding = rng.random()
        self._slack = 0.0

    def grant_slack(self, instances: int) -> None:
        """Grants this instance its part of the slack.

        Args:
            instances: Number of instances that know of the order, at least 1.
        """
        self._slack = self._limits.slack_part * self._limits.exposed_slack / instances

    def share(self, share: float, requests: int, sent: int) -> float:
        """Computes the share of the requests that the new version may be given now.

        Args:
            share: Share that is aimed at.
            requests: Requests that this instance sent, with the one in question.
            sent: Attempts that it sent to the new version.

        Returns:
            The share; higher than that aimed at while there is slack, 0 if all is used.
        """
        if not share:
            return 0.0
        if sent + 1 <= self._slack + self._rounding:
            return self._limits.slack_share
        return share if sent + 1 <= share * requests + self._rounding else 0.0
