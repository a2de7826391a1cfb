"""Caller that sends one request until it has an answer or gives up."""

from __future__ import annotations

from typing import TYPE_CHECKING

from sapphireledge_experiment.model.ending import Ending
from sapphireledge_experiment.model.latencies import one_way_delay
from sapphireledge_experiment.model.plain_driver import PlainDriver
from sapphireledge_experiment.model.stream_driver import StreamDriver

if TYPE_CHECKING:
    from sapphireledge_experiment.model.call_driver import CallDriver
    from sapphireledge_experiment.model.instance_chooser import InstanceChooser
    from sapphireledge_experiment.model.modelled_request import ModelledRequest
    from sapphireledge_experiment.model.simulated_instance import SimulatedInstance

__all__ = ["SimulatedCaller"]

RETURN_DELAYS = (0.1, 0.4)
"""Bounds in seconds of the delay before a caller calls again after its connection broke."""


class SimulatedCaller:
    """Caller of one request: calls another instance after a cut, and returns after a refusal."""

    def __init__(self, world: InstanceChooser, request: ModelledRequest) -> None:
        """Makes the first call.

        Args:
            world: Everything else.
            request: The request.
        """
        self._world = world
        self._clock = world.clock
        self._request = request
        self._driver: CallDriver | None = None
        self._delay = 0.0
        request.last_event_at = request.arrived
        self._clock.at(request.deadline, self._on_deadline)
        self._schedule_leaving()
        self._call()

    def on_event(self, driver: CallDriver, at: float) -> None:
        """Receives an event, or the response of a plain server.

        Args:
            driver: Call that delivers it.
            at: Time in seconds at which the instance sends it.
        """
        request = self._request
        if request.ending is not None:
            return
        self._driver = driver
        request.delivered += 1
        request.last_event_at = at + self._delay
        if request.first_event_at is None:
            request.first_event_at = request.last_event_at

    def on_complete(self) -> None:
        """Receives the end of the answer."""
        request = self._request
        if request.ending is not None:
            return
        assert request.first_event_at is not None
        on_time = request.first_event_at - request.arrived <= request.kind.target
        self._finish(Ending.ON_TIME if on_time else Ending.LATE)

    def on_refused(self, retry_after: float) -> None:
        """Receives a refusal as not run.

        Args:
            retry_after: Seconds after which to return.
        """
        self._call_again(retry_after, Ending.FAILED if self._request.runs else Ending.REFUSED)

    def on_cut(self, driver: CallDriver) -> None:
        """Notices that the connection broke or the outcome is unknown."""
        delay = self._world.caller_rng.uniform(*RETURN_DELAYS)
        self._call_again(delay, Ending.FAILED)

    def _call_again(self, delay: float, ending: Ending) -> None:
        """Schedules another call if there is time, and ends the request otherwise."""
        request = self._request
        if request.ending is not None:
            return
        self._driver = None
        latest = min(request.leaves_at, request.deadline)
        if request.calls >= request.kind.calls or self._clock.now + delay >= latest:
            self._finish(ending)
        else:
            self._clock.after(delay, self._call)

    def _call(self) -> None:
        """Calls an instance of the caller's data centre, or another one."""
        request = self._request
        if request.ending is not None:
            return
        request.calls += 1
        instance = self._world.choose_instance(request.data_centre)
        if instance is None:
            self._call_again(1.0, Ending.FAILED)
            return
        fleet = self._world.experiment.fleet
        self._delay = one_way_delay(fleet, request.data_centre, instance.data_centre)
        self._clock.after(self._delay, lambda: self._begin(instance))

    def _begin(self, instance: SimulatedInstance) -> None:
        """Lets the instance begin to serve the call."""
        request = self._request
        if request.ending is not None:
            return
        if instance.is_dead:
            self._call_again(self._world.caller_rng.uniform(*RETURN_DELAYS), Ending.FAILED)
            return
        kind = StreamDriver if request.kind.is_stream else PlainDriver
        driver = kind(instance, request, self)
        if request.ending is None and driver in instance.drivers:
            self._driver = driver

    def _on_deadline(self) -> None:
        """Stops waiting for the end of the answer."""
        if self._request.ending is None:
            self._leave("time limit")

    def _schedule_leaving(self) -> None:
        """Leaves once no event has arrived for the caller's patience."""
        request = self._request
        if request.ending is not None:
            return
        if self._clock.now >= request.leaves_at:
            self._leave("caller left")
        else:
            self._clock.at(request.leaves_at, self._schedule_leaving)

    def _leave(self, cause: str) -> None:
        """Ends the request without an answer."""
        was_refused = self._driver is None and not self._request.runs
        self._finish(Ending.REFUSED if was_refused else Ending.FAILED)
        if self._driver is not None:
            self._driver.cancel(cause)

    def _finish(self, ending: Ending) -> None:
        """Records the end of the request."""
        self._request.ending = ending
        self._request.ended_at = self._clock.now
