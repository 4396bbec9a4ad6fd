"""The root component of a daemon."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import structlog
from circuits import Component, handler

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_daemon.journal import LineBuffer

__all__ = ["Daemon"]

logger = structlog.get_logger("running")


class Daemon(Component):
    """Root component; runs until it is told to stop.

    :param lines: log lines that wait to be written
    """

    channel = "daemon"

    def __init__(self, *, lines: LineBuffer | None = None) -> None:
        super().__init__()
        self.begin_stop: Callable[[], None] = self.stop
        self.reload: Callable[[], None] = lambda: None
        self._lines = lines

    def run_to_end(self) -> None:
        """Run the loop, then write out the last lines."""
        self.run()
        if self._lines is not None:
            self._lines.write_out()

    @handler("signal", channel="*")
    def _on_signal(self, event, signo: int, _frame: object) -> None:  # type: ignore[no-untyped-def]
        if signo in (signal.SIGTERM, signal.SIGINT):
            event.stop()
            self.begin_stop()
        elif signo == signal.SIGHUP:
            event.stop()
            self.reload()
