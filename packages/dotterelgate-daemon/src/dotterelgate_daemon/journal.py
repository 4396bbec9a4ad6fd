"""Structured log lines, one for each decision."""

from __future__ import annotations

import logging
import sys
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.messages import Decision

__all__ = ["make_decision_writer", "set_up_logging"]


def set_up_logging(level: str) -> None:
    """Write JSON lines to standard error, from a level on."""
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )


def make_decision_writer(daemon: str) -> Callable[[Decision], None]:
    """Make the sink that writes each decision as one line."""
    logger = structlog.get_logger(daemon=daemon)

    def write(decision: Decision) -> None:
        logger.info(
            f"{decision.part}: {decision.sentence}",
            call=decision.call_id,
            service=decision.service,
            target=decision.target,
        )

    return write
