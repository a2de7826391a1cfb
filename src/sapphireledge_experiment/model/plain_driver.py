"""Work of an instance on one call to a plain server."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from sapphireledge.gateway.plain_choice import HEDGE_SHARE, MIN_ATTEMPT_TIME
from sapphireledge_experiment.model.latencies import one_way_delay
from sapphireledge_experiment.model.simulated_instance import PLAIN_SERVERS

if TYPE_CHECKING:
    from sapphireledge.gateway.backend_server import BackendServer
    from sapphireledge_experiment.model.answer_receiver import AnswerReceiver
    from sapphireledge_experiment.model.modelled_request import ModelledRequest
    from sapphireledge_experiment.model.simulated_instance import SimulatedInstance

__all__ = ["PlainDriver"]


class PlainDriver:
    """Makes attempts until one is answered, with a second one while the first is slow.

    The order of the steps is that of `PlainForwarder` for requests that may be repeated.
    """

    def __init__(
        self, instance: SimulatedInstance, request: ModelledRequest, caller: AnswerReceiver
    ) -> None:
        """Begins the call.

        Args:
            instance: The instance.
            request: The request.
            caller: Receiver of the response.
        """
        self._instance = instance
        self._world = instance.world
        self._clock = instance.world.clock
        self._request = request
        self._caller = caller
        self._tried: set[str] = set()
        self._in_flight: set[str] = set()
        self._has_run = False
        self._is_over = False
        instance.drivers[self] = None
        self._attempt()

    def on_instance_died(self) -> None:
        """Ends the work because the instance died."""
        self._is_over = True
        self._caller.on_cut(self)

    def cancel(self, cause: str) -> None:
        """Ends the work because the caller left."""
        self._end()

    def _attempt(self) -> None:
        """Starts an attempt at the best server that takes a request now, or a reserved one."""
        if self._is_over:
            return
        registry, now = self._instance.registry, self._clock.now
        kind = self._request.kind
        is_allowed = (
            len(self._tried) < kind.max_attempts
            and self._request.deadline - now >= MIN_ATTEMPT_TIME
        )
        if not is_allowed:
            self._give_up()
            return
        server = registry.choose(now, PLAIN_SERVERS, self._request.key, self._tried)
        if server is not None:
            if self._spend():
                registry.try_take(now, server.server_id)
                self._send(server)
            else:
                self._give_up()
            return
        latest = self._request.arrived + kind.target * HEDGE_SHARE
        reserved = None
        if not self._in_flight:
            reserved = registry.reserve(now, latest, PLAIN_SERVERS, self._tried)
        if reserved is None or not self._spend():
            self._give_up()
            return
        server, send_at = reserved
        self._clock.at(send_at, lambda: self._send_reserved(server))

    def _spend(self) -> bool:
        """Credits the retry allowance for a first attempt, or spends a retry."""
        allowance = self._instance.allowance(PLAIN_SERVERS)
        if not self._tried:
            allowance.on_request()
            return True
        if allowance.try_spend(self._clock.now):
            self._world.retries += 1
            return True
        return False

    def _send(self, server: BackendServer) -> None:
        """Sends the request to a server and schedules a second attempt."""
        self._tried.add(server.server_id)
        self._in_flight.add(server.server_id)
        state = self._instance.registry.state(server.server_id)
        if state is not None:
            state.in_flight += 1
        delay = one_way_delay(
            self._world.experiment.fleet, self._instance.data_centre, int(server.data_centre)
        )
        self._clock.after(delay, lambda: self._arrive(server, delay))
        hedge_at = self._request.kind.target * HEDGE_SHARE
        attempts = len(self._tried)
        self._clock.after(hedge_at, lambda: self._hedge(attempts))

    def _send_reserved(self, server: BackendServer) -> None:
        """Sends the request at the reserved time, unless the call has ended."""
        if not self._is_over:
            self._send(server)

    def _hedge(self, attempts: int) -> None:
        """Starts another attempt if the latest one is still unanswered."""
        if len(self._tried) == attempts and self._in_flight:
            self._attempt()

    def _arrive(self, server: BackendServer, delay: float) -> None:
        """Delivers the request to the server."""
        target = self._world.plain_servers.get(server.server_id)

        def finish(is_answered: bool) -> None:
            self._clock.after(delay, lambda: self._on_end(server, is_answered, False))

        if target is None or target.is_dead:
            finish(False)
            return
        self._world.count_arrival(target)
        if not target.accept(finish):
            self._clock.after(delay, lambda: self._on_end(server, False, True))
            return
        self._has_run = True
        self._request.runs += 1

    def _on_end(self, server: BackendServer, is_answered: bool, is_rejected: bool) -> None:
        """Handles a response, a rejection or a reset."""
        name, registry = server.server_id, self._instance.registry
        self._in_flight.discard(name)
        state = registry.state(name)
        if state is not None:
            state.in_flight = max(0, state.in_flight - 1)
        target = self._world.plain_servers.get(name)
        if (is_answered or is_rejected) and target is not None:
            self._instance.apply_signals(name, target.signals)
        if is_answered and state is not None:
            state.on_success()
        elif is_rejected and state is not None:
            state.on_failure(self._clock.now, suspend=False)
        elif not is_answered:
            registry.on_unreachable(self._clock.now, server)
        if self._is_over:
            return
        if is_answered:
            self._end()
            self._caller.on_event(self, self._clock.now)
            self._caller.on_complete()
        elif not self._in_flight:
            self._attempt()

    def _give_up(self) -> None:
        """Ends the call if no attempt is in flight."""
        if self._in_flight or self._is_over:
            return
        self._end()
        if self._has_run:
            self._caller.on_cut(self)
            return
        now = self._clock.now
        delay = self._instance.registry.next_admission(now, PLAIN_SERVERS) - now
        self._caller.on_refused(0.5 if math.isinf(delay) else max(0.5, delay))

    def _end(self) -> None:
        """Forgets the call."""
        self._is_over = True
        self._instance.drivers.pop(self, None)
