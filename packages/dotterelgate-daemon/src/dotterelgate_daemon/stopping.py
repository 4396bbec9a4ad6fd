"""Graceful stop of a daemon."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

from dotterelgate_core.state import PlannedStop
from dotterelgate_core.stopping.awaiting import Awaited, count_awaited
from dotterelgate_core.stopping.settling import StopReached

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.state import DaemonState
    from dotterelgate_daemon.callers import CallerServer
    from dotterelgate_daemon.gateway import Gateway
    from dotterelgate_daemon.timers import TimerService

__all__ = ["GracefulStop"]

logger = structlog.get_logger("stopping")

CHECK_SECONDS = 0.05
FLUSH_SECONDS = 0.2
# The platform kills the process at the limit. Before it, the last check, the flush and the end of
# the loop need time, also on a slow VM.
RESERVE_SECONDS = 0.5
RETIRE_SHARE = 0.5
# Share of the limit after which no request is taken that may outlast it.
LATE_SHARE = 0.5


class GracefulStop:
    """Stops a daemon in steps.

    Callers are served while the platform's balancer still sends them; then the
    listener closes; then requests in progress end, their responses leave the
    process, and every leased range is handed over; then the process ends. Requests that no longer
    fit are refused by the pipeline as soon as that is known; what is in progress at the limit gets
    a final answer.

    :param linger: seconds for which the balancer may still send callers
    :param limit: seconds until the process has ended, regardless of what is in progress
    :param announce_stopping: notifies the peers
    :param count_leases: counts leases that are not handed over yet
    :param retire: releases leases that cannot be handed over
    :param finish: ends the loop
    """

    def __init__(
        self,
        *,
        linger: float,
        limit: float,
        state: DaemonState,
        caller_server: CallerServer,
        gateway: Gateway,
        timers: TimerService,
        announce_stopping: Callable[[], None],
        finish: Callable[[], None],
        count_leases: Callable[[], int] = lambda: 0,
        retire: Callable[[], None] = lambda: None,
    ) -> None:
        self._linger = linger
        self._limit = limit
        self._state = state
        self._caller_server = caller_server
        self._gateway = gateway
        self._timers = timers
        self._announce_stopping = announce_stopping
        self._count_leases = count_leases
        self._retire = retire
        self._finish = finish
        self._started_at: float | None = None
        self._is_closed = False
        self._is_ending = False

    def begin(self) -> None:
        """Start the graceful stop; a second signal has no effect."""
        if self._started_at is not None:
            return
        now = time.monotonic()
        self._started_at = now
        self._state.stop = PlannedStop(
            late_at=now + min(self._linger, self._limit * LATE_SHARE),
            ends_at=now + self._limit - RESERVE_SECONDS,
        )
        self._state.peers.leaving = True
        self._caller_server.announce_stop()
        self._announce_stopping()
        logger.info("stopping: a graceful stop began", in_progress=len(self._gateway.pending))
        self._timers.subscribe(interval=CHECK_SECONDS, call=self._check)

    def _check(self) -> None:
        assert self._started_at is not None
        elapsed = time.monotonic() - self._started_at
        if elapsed >= self._linger and not self._is_closed:
            self._is_closed = True
            self._caller_server.close()
            logger.info("stopping: no new callers are accepted")
        if not self._is_closed or self._is_ending:
            return
        if elapsed >= self._limit * RETIRE_SHARE:
            # Ranges that cannot be handed over must accept no further requests.
            self._retire()
        remaining = self._list_remaining()
        if remaining and elapsed < self._limit - RESERVE_SECONDS:
            return
        if remaining:
            logger.warning("stopping: the limit is reached", left=remaining)
        self._gateway.tick()
        self._gateway.run(StopReached(now=time.monotonic()))
        self._caller_server.end_connections()
        # Answers to peers and callers may still be buffered in the process.
        self._timers.call_after(delay=FLUSH_SECONDS, call=self._end)
        self._is_ending = True

    def _end(self) -> None:
        logger.info("stopping: the process ends")
        self._finish()

    def _list_remaining(self) -> list[str]:
        remaining = [
            f"{count} requests that wait for {awaited.value}"
            for awaited, count in count_awaited(self._state).items()
            if awaited is not Awaited.GRANT
        ]
        if self._caller_server.count_active():
            self._caller_server.close()
        connections = self._caller_server.count_active()
        if connections:
            remaining.append(f"{connections} connections with requests or unsent responses")
        leases = self._count_leases()
        if leases:
            remaining.append(f"{leases} leases not handed over")
        return remaining
