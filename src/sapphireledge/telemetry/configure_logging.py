"""Configuration of structlog to write JSON lines to standard error."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

import msgspec
import structlog

if TYPE_CHECKING:
    from typing import Any

    from sapphireledge.settings import Settings

__all__ = ["configure_logging"]


def configure_logging(cfg: Settings) -> None:
    """Configures structlog for this process.

    Args:
        cfg: Settings of the instance, whose name and data centre are added to each line.
    """
    level = logging.getLevelNamesMapping()[cfg.telemetry.log_level.upper()]
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(serializer=_to_json),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(level),
        logger_factory=structlog.PrintLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(instance=cfg.instance, data_centre=cfg.data_centre)


def _to_json(value: Any, **_: Any) -> str:
    """Serializes a log line; values that JSON does not support are converted with `str`."""
    return msgspec.json.encode(value, enc_hook=str).decode()
