"""Requests that wait for a slot, by service."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_core.configuration import Priority

if TYPE_CHECKING:
    from dotterelgate_core.calls import CallState

__all__ = ["ServiceQueue", "WaitingTable"]

SMOOTHING = 0.05
TYPICAL_SMOOTHING = 0.02
STRAGGLER_FACTOR = 3.0


def _make_lines() -> dict[Priority, deque[int]]:
    return {priority: deque() for priority in Priority}


@dataclass(kw_only=True, slots=True)
class ServiceQueue:
    """Waiting requests of one service; known long work waits apart.

    :param short: call ids by priority, oldest first
    :param long: the same for work known to run long
    :param long_in_flight: long requests dispatched and not answered
    :param short_time: smoothed seconds of slot time per short request
    :param long_time: smoothed seconds of slot time per long request
    :param typical_time: the same per request with stragglers cut
    """

    short: dict[Priority, deque[int]] = field(default_factory=_make_lines)
    long: dict[Priority, deque[int]] = field(default_factory=_make_lines)
    long_in_flight: int = 0
    short_time: float = 0.0
    long_time: float = 0.0
    typical_time: float = 0.0

    def add(self, state: CallState) -> None:
        """Put a call at the end of its line."""
        lines = self.long if state.routed.route.long else self.short
        lines[state.routed.route.priority].append(state.call.id)
        state.queued = True

    def add_first(self, state: CallState) -> None:
        """Put a call that is retried at the head of its line."""
        lines = self.long if state.routed.route.long else self.short
        lines[state.routed.route.priority].appendleft(state.call.id)
        state.queued = True

    def count_ahead(self, priority: Priority, *, long: bool) -> int:
        """Count the waiting requests that would get a slot earlier."""
        lines = self.long if long else self.short
        return sum(len(line) for each, line in lines.items() if each <= priority)

    def note_time(self, seconds: float, *, long: bool) -> None:
        """Learn how long a request held its slot."""
        before = self.long_time if long else self.short_time
        weight = SMOOTHING if before else 1.0
        after = before + weight * (seconds - before)
        if long:
            self.long_time = after
        else:
            self.short_time = after

    def cut_straggler(self, seconds: float) -> float:
        """Cut a time to a multiple of the typical one, and learn the typical one.

        One straggler says nothing of the speed of the backend server that ran it.
        """
        if not self.typical_time:
            self.typical_time = seconds
        cut = min(seconds, STRAGGLER_FACTOR * self.typical_time)
        self.typical_time += TYPICAL_SMOOTHING * (cut - self.typical_time)
        return cut

    def estimate_wait(self, priority: Priority, *, long: bool, slots: int) -> float:
        """Estimate the seconds until a request that comes now gets a slot."""
        ahead = self.count_ahead(priority, long=long)
        each = self.long_time if long else self.short_time
        return ahead * each / max(slots, 1)

    def list_lines(self, *, long_allowed: bool) -> list[deque[int]]:
        """List the lines to serve, the most urgent first."""
        lines = []
        for priority in Priority:
            lines.append(self.short[priority])
            if long_allowed:
                lines.append(self.long[priority])
        return lines

    def list_waiting(self) -> list[int]:
        """List the ids of all waiting calls; some may have ended already."""
        return [
            each for lines in (self.short, self.long) for line in lines.values() for each in line
        ]

    def count_waiting(self) -> int:
        """Count all waiting requests."""
        return sum(len(line) for lines in (self.short, self.long) for line in lines.values())


@dataclass(kw_only=True, slots=True)
class WaitingTable:
    """The queues of all services, by name."""

    queues: dict[str, ServiceQueue] = field(default_factory=dict)

    def is_waited_for(self, service: str) -> bool:
        """Tell whether requests wait for a slot of a service."""
        queue = self.queues.get(service)
        return queue is not None and queue.count_waiting() > 0

    def find(self, service: str) -> ServiceQueue:
        """Find the queue of a service, making it on first use."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = ServiceQueue()
        return queue
