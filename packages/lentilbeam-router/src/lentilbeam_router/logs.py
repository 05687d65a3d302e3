"""Structured logs: JSON lines on standard output, for changes of state."""

from typing import TextIO

import structlog


def build_logger(stream: TextIO, instance: str) -> structlog.BoundLogger:
    """Returns a logger that writes JSON lines to `stream`."""
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
