"""Graceful stop: leave nothing in progress behind."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_daemon.assembly import Parts

__all__ = ["GracefulStop"]

logger = structlog.get_logger("stopping")

CHECK_SECONDS = 0.05
FLUSH_SECONDS = 0.2
RETIRE_SHARE = 0.5


class GracefulStop:
    """Carries a daemon from the first signal to its end.

    Callers are served while the platform's balancer still sends them; then the
    listener closes; then what is in progress ends and every leased range is
    handed over; then the process ends.

    :param finish: ends the loop
    """

    def __init__(self, *, parts: Parts, finish: Callable[[], None]) -> None:
        self._parts = parts
        self._finish = finish
        self._began_at: float | None = None
        self._is_closed = False
        self._is_ending = False

    def begin(self) -> None:
        """Begin to stop; a second signal changes nothing."""
        if self._began_at is not None:
            return
        self._began_at = time.monotonic()
        self._parts.state.peers.leaving = True
        self._parts.gate.is_stopping = True
        self._parts.follower.tell_stopping()
        logger.info("stopping: a graceful stop began")
        self._parts.timers.subscribe(interval=CHECK_SECONDS, call=self._check)

    def _check(self) -> None:
        assert self._began_at is not None
        waited = time.monotonic() - self._began_at
        settings = self._parts.settings
        if waited >= settings.stop_linger and not self._is_closed:
            self._is_closed = True
            self._parts.gate.close()
            logger.info("stopping: no new callers are accepted")
        if not self._is_closed or self._is_ending:
            return
        if waited >= settings.stop_limit * RETIRE_SHARE:
            # Ranges that cannot be handed over must take no further requests.
            self._parts.state.leases.is_retired = True
        left = self._list_left()
        if left and waited < settings.stop_limit:
            return
        if left:
            logger.warning("stopping: the limit is reached", left=left)
        # Answers on their way to peers and callers still have to leave the process.
        self._parts.timers.call_after(delay=FLUSH_SECONDS, call=self._finish)
        self._is_ending = True

    def _list_left(self) -> list[str]:
        left = []
        if self._parts.gateway.pending:
            left.append(f"{len(self._parts.gateway.pending)} requests in progress")
        if self._parts.gate.connections:
            self._parts.gate.close()
        if self._parts.gate.connections:
            left.append(f"{len(self._parts.gate.connections)} connections with requests")
        held = self._count_held()
        if held:
            left.append(f"{held} leases not handed over")
        return left

    def _count_held(self) -> int:
        if not self._parts.state.peers.listed:
            return 0
        leases = self._parts.state.leases
        if leases.is_retired:
            return 0
        held = sum(lease.tenure is not None for lease in leases.leases.values())
        handovers = self._parts.state.handovers
        return held + (len(handovers.outgoing) if handovers is not None else 0)
