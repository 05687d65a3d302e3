"""Structured logging of state changes and errors as JSON lines."""

from typing import TextIO

import structlog


def build_logger(stream: TextIO, instance: str) -> structlog.BoundLogger:
    """Configures structlog for the process; returns the router's logger.

    All loggers of the process write JSON lines to `stream`.

    Args:
        stream: where the lines are written.
        instance: the router's name, added to each line of the returned logger.
    """
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.dict_tracebacks,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(stream),
    )
    return structlog.get_logger(instance=instance)
