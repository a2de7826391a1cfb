"""Operators' interface of an entry instance on the platform's machines."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import structlog

from sapphireledge.gateway import GatewayEvent
from sapphireledge.limits import CallerLedger

if TYPE_CHECKING:
    from sapphireledge.gateway import Gateway
    from sapphireledge.operator import GatewayOperatorServer
    from sapphireledge.platform.operator_settings import OperatorSettings

__all__ = ["OperatorListener", "import_operator_packages"]


def import_operator_packages() -> str:
    """Imports the packages of the interface, which takes too long for a running event loop.

    Few processes need them, and they take memory.

    Returns:
        Empty, or why they cannot be imported.
    """
    try:
        import sapphireledge.operator  # noqa: F401
    except Exception as exc:
        return repr(exc)
    return ""


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
        """Serves operators until the task is cancelled; what ends it before is logged."""
        try:
            await self._serve()
        except Exception as exc:
            self._log.error(GatewayEvent.OPERATORS_UNAVAILABLE, reason=repr(exc))

    async def _serve(self) -> None:
        """Serves operators until the task is cancelled."""
        server = self._create_server()
        failure = await server.start()
        if failure is not None:
            self._log.error(GatewayEvent.OPERATORS_UNAVAILABLE, reason=failure.reason)
            return
        self._log.info(GatewayEvent.OPERATORS_SERVED, port=self._cfg.port)
        try:
            await asyncio.Event().wait()
        finally:
            await server.stop()

    def _create_server(self) -> GatewayOperatorServer:
        """Creates the server; the packages that it needs have been imported."""
        from sapphireledge.operator import GatewayOperatorServer

        cfg, gateway = self._cfg, self._gateway
        limits = gateway.cfg.callers.metrics
        ledger = CallerLedger(limits, gateway.telemetry.record_operator_limit)
        return GatewayOperatorServer(cfg.host, cfg.port, cfg.secret, gateway, ledger)
