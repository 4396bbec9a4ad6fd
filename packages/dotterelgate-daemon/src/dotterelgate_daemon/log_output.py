"""Structured log lines, one for each decision."""

from __future__ import annotations

import logging
import os
import sys
from collections import deque
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.messages import Decision

__all__ = ["LineBuffer", "make_decision_writer", "set_up_logging"]

MAX_BUFFERED_LINES = 2000
MAX_WRITES_PER_FLUSH = 200


class LineBuffer:
    """Buffer of lines for standard output, whose writes never block the loop.

    When the buffer is full, newer lines are dropped and counted; the oldest ones
    are kept, since they show the cause.

    :param descriptor: file descriptor that the lines are written to
    """

    def __init__(self, *, descriptor: int) -> None:
        self.dropped = 0
        self.count_dropped: Callable[[int], None] = lambda count: None
        self._descriptor = descriptor
        self._lines: deque[bytes] = deque()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Buffer a line or a part of one."""
        if len(self._lines) >= MAX_BUFFERED_LINES:
            self.dropped += 1
            self.count_dropped(1)
            return
        self._lines.append(text.encode("utf-8", "replace"))

    def flush(self) -> None:
        """Do nothing; ``write_out`` is called by a timer."""

    def write_out(self) -> None:
        """Write buffered lines until the descriptor would block."""
        for _ in range(MAX_WRITES_PER_FLUSH):
            if not self._lines:
                return
            batch = b"".join(self._lines)
            try:
                written = os.write(self._descriptor, batch)
            except BlockingIOError:
                return
            except OSError:
                # The descriptor cannot be written any more.
                self._lines.clear()
                return
            self._lines.clear()
            if written < len(batch):
                self._lines.append(batch[written:])
                return


def set_up_logging(level: str) -> LineBuffer:
    """Log JSON lines of a level and above to standard output."""
    buffer = LineBuffer(descriptor=sys.stdout.fileno())
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.JSONRenderer(),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(buffer),  # type: ignore[arg-type]
        cache_logger_on_first_use=True,
    )
    return buffer


def make_decision_writer(daemon: str) -> Callable[[Decision, str], None]:
    """Build the sink that logs each decision as one line."""
    logger = structlog.get_logger(daemon=daemon)

    def write(decision: Decision, request: str = "") -> None:
        logger.info(
            f"{decision.part}: {decision.sentence}",
            call=decision.call_id,
            request=request,
            service=decision.service,
            target=decision.target,
            **decision.facts,
        )

    return write
