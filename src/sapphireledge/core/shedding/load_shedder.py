"""Decides which plain requests are refused while their service is overloaded.

Load pattern: a flood, or the loss of servers, offers a service more requests than it can process.
The queues of its servers fill, so that every response takes longer than its target, and requests
are rejected by one full server after another. The service does as much work as before, but nobody
is served on time. Here each instance forwards only the share of its requests at which responses are
on time again, and refuses the others at once.

Each instance controls its own share by the response times that it sees; all instances see the same
queues. With hundreds of instances, each one sees a request a second or fewer. An instance that sees
too few goes by the response times that the others of its data centre report, and it divides its
share by what all of them receive.
"""

from __future__ import annotations

from math import exp, inf
from typing import TYPE_CHECKING

from sapphireledge.core.decay import DecayedSum
from sapphireledge.core.shared_load import ServiceLoad
from sapphireledge.core.shedding._spread_rest import spread_rest
from sapphireledge.core.shedding.divide_admission import divide_admission
from sapphireledge.core.shedding.shed_request import ShedRequest

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from sapphireledge.core.shedding.shedding_limits import SheddingLimits

__all__ = ["LoadShedder"]

OTHER_WORKSPACES = ""
"""Name under which workspaces beyond `max_callers` are counted together."""


RETURN_SPREAD = 0.5
"""Largest deviation of Retry-After from the time in which the backlog drains, as a share of it."""


class LoadShedder:
    """Share of the requests for one service that this instance forwards."""

    def __init__(
        self,
        limits: SheddingLimits,
        rng: Random,
        load_elsewhere: Callable[[float], ServiceLoad | None] = lambda now: None,
    ) -> None:
        """Creates a shedder that forwards everything.

        Args:
            limits: Limits.
            rng: Source of the choice of requests and of the jitter of Retry-After.
            load_elsewhere: Returns what other instances of the data centre have seen of the
                service, None if that is not known.
        """
        self._limits = limits
        self._load_elsewhere = load_elsewhere
        self._rejections = DecayedSum(limits.signal_window)
        self._responses = DecayedSum(limits.signal_window)
        self._response_times = DecayedSum(limits.signal_window)
        self._rng = rng
        self.share = 1.0
        """Share of the requests that are forwarded, 0 to 1."""

        self._level = 1.0
        self._response_time = 0.0
        self._baseline = inf
        self._updated_at = -inf
        self._response_at = -inf
        self._rejected_at = -inf
        self._arrivals: dict[tuple[int, str], DecayedSum] = {}
        # Ranks that were decided on; their number is that of the configuration.
        self._ranks: set[int] = set()
        self._chances: dict[tuple[int, str], float] = {}
        self._divided_at = -inf

    def read_load_from(self, load_elsewhere: Callable[[float], ServiceLoad | None]) -> None:
        """Sets where the load of other instances is read.

        Args:
            load_elsewhere: As for the creation.
        """
        self._load_elsewhere = load_elsewhere

    def on_response(self, now: float, seconds: float, target: float) -> None:
        """Records a response of a server.

        Args:
            now: Current time in seconds.
            seconds: Time from the request to its response.
            target: Latency target of the route in seconds; without one, the response is ignored.
        """
        if target > 0.0:
            self._responses.add(now, 1.0)
            shared = min(seconds / target, self._limits.max_shared_response)
            self._response_times.add(now, shared)
            self._add_sample(now, seconds / target)

    def on_rejection(self, now: float) -> None:
        """Records that a server rejected a request because it is full.

        Args:
            now: Current time in seconds.
        """
        self._rejected_at = now
        self._rejections.add(now, 1.0)
        self._add_sample(now, max(self._response_time, self._limits.rejected_response))

    def decide(self, now: float, rank: int, workspace: str, target: float) -> ShedRequest | None:
        """Decides whether a new request is forwarded.

        Args:
            now: Current time in seconds.
            rank: Rank of the request, 0 is the most urgent.
            workspace: Workspace of the caller.
            target: Latency target of the route in seconds.

        Returns:
            None if the request is forwarded, otherwise its refusal.
        """
        chance = self.on_arrival(now, rank, workspace)
        if self.share >= 1.0 or self._rng.random() < chance:
            return None
        response_time = self._blend_response_time(now, self._load_elsewhere(now))
        shown = self._response_time if response_time is None else response_time
        return ShedRequest(self.share, shown, self.retry_after(now, target))

    def on_arrival(self, now: float, rank: int, workspace: str) -> float:
        """Counts a new request, and computes the probability with which it is forwarded.

        Args:
            now: Current time in seconds.
            rank: Rank of the request, 0 is the most urgent.
            workspace: Workspace of the caller.

        Returns:
            The probability.
        """
        caller = self._count_arrival(now, rank, workspace)
        self._update(now)
        return 1.0 if self.share >= 1.0 else self._chance(now, caller)

    def retry_after(self, now: float, target: float) -> float:
        """Computes when a refused caller should return.

        The backlog drains while only the admitted share is added to it. Returns are spread, so that
        the callers that are refused together do not come back together.

        Args:
            now: Current time in seconds.
            target: Latency target of the route in seconds.

        Returns:
            Seconds.
        """
        limits = self._limits
        response_time = self._blend_response_time(now, self._load_elsewhere(now))
        backlog = 0.0 if response_time is None else response_time * target / self.share
        middle = min(max(backlog, limits.shortest_retry_after), limits.longest_retry_after)
        return middle * self._rng.uniform(1.0 - RETURN_SPREAD, 1.0 + RETURN_SPREAD)

    def describe(self, now: float) -> ServiceLoad:
        """Describes to other instances what this one has seen of the service.

        Args:
            now: Current time in seconds.

        Returns:
            Arrivals, rejections and response times.
        """
        return ServiceLoad(
            arrivals={caller: arrived.value(now) for caller, arrived in self._arrivals.items()},
            rejections=self._rejections.value(now),
            responses=self._responses.value(now),
            response_time=self._response_times.value(now),
        )

    @property
    def is_active(self) -> bool:
        """Whether requests are refused, apart from moments in which all can be forwarded."""
        return self._level < 1.0

    def is_overloaded(self, now: float) -> bool:
        """Checks whether the service is overloaded, so that no work may be done twice for speed.

        Args:
            now: Current time in seconds.

        Returns:
            Whether requests are refused, or a full server rejected one recently.
        """
        return self.is_active or now - self._rejected_at <= self._limits.rejection_memory

    def _add_sample(self, now: float, response_time: float) -> None:
        """Adds a response time to the moving average, and controls the share by it."""
        self._update(now)
        limits = self._limits
        elapsed = now - self._response_at
        if elapsed > limits.response_memory:
            self._response_time = 0.0
        weight = 1.0 - exp(-elapsed / limits.smoothing_time)
        weight = min(max(weight, limits.min_sample_weight), limits.max_sample_weight)
        self._response_time += weight * (response_time - self._response_time)
        self._response_at = now
        if now - self._rejected_at > limits.rejection_memory:
            self._baseline = min(self._baseline, self._response_time)

    def _update(self, now: float) -> None:
        """Moves the share towards the one at which responses are on time."""
        limits = self._limits
        elapsed = min(now - self._updated_at, limits.response_memory)
        self._updated_at = now
        self._baseline *= exp(limits.baseline_drift * elapsed)
        elsewhere = self._load_elsewhere(now)
        excess = self._excess(now, elsewhere)
        was_rejected = now - self._rejected_at <= limits.rejection_memory
        if not was_rejected and elsewhere is not None:
            was_rejected = self._sees_full_servers(elsewhere)
        if self._level >= 1.0 and not was_rejected:
            self.share = 1.0
            return
        level = self._level * exp(-excess * limits.integral_gain * elapsed)
        self._level = min(1.0, max(limits.min_share, level))
        share = self._level * exp(-excess * limits.proportional_gain)
        self.share = min(1.0, max(limits.min_share, share))

    def _sees_full_servers(self, load: ServiceLoad) -> bool:
        """Whether full servers reject much of what other instances send."""
        limits = self._limits
        return (
            load.rejections >= limits.min_rejections
            and load.rejections >= limits.rejected_share * load.responses
        )

    def _excess(self, now: float, elsewhere: ServiceLoad | None) -> float:
        """Computes by how much responses are too slow, -1 to 1."""
        response_time = self._blend_response_time(now, elsewhere)
        if response_time is None:
            return -1.0
        limits = self._limits
        permitted = limits.target_share
        if self._baseline < inf:
            permitted = max(permitted, limits.baseline_factor * self._baseline)
        return max(-1.0, min(1.0, response_time / permitted - 1.0))

    def _blend_response_time(self, now: float, elsewhere: ServiceLoad | None) -> float | None:
        """Combines the response times here and at other instances; None if neither is known.

        Without an own baseline, times of others could not be told from those of a slow service.
        """
        limits = self._limits
        is_known = now - self._response_at <= limits.response_memory
        if elsewhere is None or elsewhere.responses < limits.min_responses or self._baseline == inf:
            return self._response_time if is_known else None
        # What others report is seconds old, so own responses count more if there are enough.
        own = self._responses.value(now) + self._rejections.value(now) if is_known else 0.0
        weight = limits.elsewhere_weight / (limits.elsewhere_weight + own)
        other = self._time_elsewhere(elsewhere)
        return self._response_time + weight * (other - self._response_time)

    def _time_elsewhere(self, load: ServiceLoad) -> float:
        """Returns the response time at other instances, with rejections as in `on_rejection`."""
        mean = min(load.mean_response_time, self._limits.max_shared_response)
        rejected = max(mean, self._limits.rejected_response)
        return (load.responses * mean + load.rejections * rejected) / (
            load.responses + load.rejections
        )

    def _count_arrival(self, now: float, rank: int, workspace: str) -> tuple[int, str]:
        """Counts an arrival; returns the key under which it is counted."""
        self._ranks.add(rank)
        caller = (rank, workspace)
        if caller not in self._arrivals and len(self._arrivals) >= self._limits.max_callers:
            caller = (rank, OTHER_WORKSPACES)
        arrivals = self._arrivals.get(caller)
        if arrivals is None:
            arrivals = self._arrivals[caller] = DecayedSum(self._limits.arrival_window)
        arrivals.add(now, 1.0)
        return caller

    def _chance(self, now: float, caller: tuple[int, str]) -> float:
        """Returns the probability with which a request of a caller is forwarded."""
        if now - self._divided_at > self._limits.division_interval or caller not in self._chances:
            rates = {key: arrivals.rate(now) for key, arrivals in self._arrivals.items()}
            elsewhere = self._load_elsewhere(now)
            if elsewhere is not None:
                for key, amount in spread_rest(elsewhere.arrivals).items():
                    if key[0] not in self._ranks:
                        continue
                    rates[key] = rates.get(key, 0.0) + amount / self._limits.arrival_window
            self._chances = divide_admission(rates, self.share, self._limits.rank_floor)
            self._divided_at = now
            oldest = 0.5 / self._limits.arrival_window**2
            for key in [key for key, sum_ in self._arrivals.items() if sum_.rate(now) < oldest]:
                if key != caller:
                    del self._arrivals[key]
        return self._chances[caller]
