"""Operators' interface of an entry instance on the platform's machines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from sapphireledge.gateway import GatewayEvent
from sapphireledge.limits import CallerLedger

if TYPE_CHECKING:
    from sapphireledge.gateway import Gateway
    from sapphireledge.platform.operator_settings import OperatorSettings

__all__ = ["OperatorListener"]


class OperatorListener:
    """Serves the operators' interface; callers are served with or without it."""

    def __init__(self, cfg: OperatorSettings, gateway: Gateway) -> None:
        """Creates the listener without binding its address.

        Args:
            cfg: Address and secret.
            gateway: Gateway that operators ask about.
        """
        self._cfg = cfg
        self._gateway = gateway
        self._log = structlog.get_logger()

    async def run(self) -> None:
        """Serves operators until the task is cancelled."""
        try:
            # Few processes need the packages of the interface, which take memory.
            from sapphireledge.operator import GatewayOperatorServer
        except ImportError as exc:
            self._log.error(GatewayEvent.OPERATORS_UNAVAILABLE, reason=str(exc))
            return
        cfg, budgets = self._cfg, self._gateway.cfg.callers
        ledger = CallerLedger(budgets.metrics, self._gateway.telemetry.record_caller_limit)
        server = GatewayOperatorServer(cfg.host, cfg.port, cfg.secret, self._gateway, ledger)
        failure = await server.start()
        if failure is not None:
            self._log.error(GatewayEvent.OPERATORS_UNAVAILABLE, reason=failure.reason)
            return
        self._log.info(GatewayEvent.OPERATORS_SERVED, port=cfg.port)
        try:
            await asyncio.Event().wait()
        finally:
            await server.stop()
