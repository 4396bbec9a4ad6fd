"""The root component of a daemon."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

from dotterelgate_daemon.framework import Component, handler

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_daemon.log_output import LineBuffer
    from dotterelgate_daemon.timers import TimerService

__all__ = ["Daemon"]


class Daemon(Component):
    """Root component; runs until it is stopped.

    :param lines: buffer of log lines
    :param reload: called on SIGHUP, on the loop
    """

    channel = "daemon"

    def __init__(
        self,
        *,
        timers: TimerService,
        lines: LineBuffer | None = None,
        reload: Callable[[], None] = lambda: None,
    ) -> None:
        super().__init__()
        self.begin_stop: Callable[[], None] = self.stop
        self._lines = lines
        # Without a handler the signal would end the process.
        signal.signal(signal.SIGHUP, lambda signo, frame: timers.call_after(delay=0.0, call=reload))

    def run_to_end(self) -> None:
        """Run the loop, then write the remaining log lines."""
        self.run()
        if self._lines is not None:
            self._lines.write_out()

    @handler("signal", channel="*")
    def _on_signal(self, event, signo: int, _frame: object) -> None:  # type: ignore[no-untyped-def]
        if signo in (signal.SIGTERM, signal.SIGINT):
            event.stop()
            self.begin_stop()
