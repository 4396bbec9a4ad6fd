"""Requests that wait for a slot, by service."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_core.queueing.fair_queues import FairQueue

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelgate_core.calls import CallState, Rank

__all__ = ["ServiceQueue", "WaitingTable"]

SLOT_TIME_WEIGHT = 0.05
TYPICAL_TIME_WEIGHT = 0.02
STRAGGLER_FACTOR = 3.0


@dataclass(kw_only=True, slots=True)
class ServiceQueue:
    """Waiting requests of one service, with long work in separate subqueues.

    :param short: subqueues by rank: the organisation's priority, then the route's
    :param long: the same for routes declared long
    :param long_in_flight: long requests dispatched and not yet answered
    :param short_time: smoothed seconds of slot time per short request
    :param long_time: smoothed seconds of slot time per long request
    :param typical_time: the same per request with stragglers capped
    """

    short: dict[Rank, FairQueue] = field(default_factory=dict)
    long: dict[Rank, FairQueue] = field(default_factory=dict)
    long_in_flight: int = 0
    short_time: float = 0.0
    long_time: float = 0.0
    typical_time: float = 0.0

    def add(self, state: CallState) -> None:
        """Append a call to its subqueue."""
        self._find_subqueue(state).add(state)
        state.queued = True

    def add_first(self, state: CallState) -> None:
        """Put a retried call before the others of its organisation in its subqueue."""
        self._find_subqueue(state).add_first(state)
        state.queued = True

    def note_arrival(self, state: CallState) -> None:
        """Count a call that arrived, whether or not it will be admitted."""
        self._find_subqueue(state).arrivals.note(state.organisation_name)

    def count_ahead(self, state: CallState) -> int:
        """Count the waiting requests that would get a slot earlier than a new one."""
        rank = state.rank
        subqueues = self._select_kind(long=state.routed.route.long)
        ahead = sum(len(subqueue) for each, subqueue in subqueues.items() if each < rank)
        own = subqueues.get(rank)
        return ahead + (own.count_ahead(state.organisation_name) if own is not None else 0)

    def update_slot_time(self, seconds: float, *, long: bool) -> None:
        """Update the smoothed slot time with that of one request."""
        before = self.long_time if long else self.short_time
        weight = SLOT_TIME_WEIGHT if before else 1.0
        after = before + weight * (seconds - before)
        if long:
            self.long_time = after
        else:
            self.short_time = after

    def cap_straggler(self, seconds: float) -> float:
        """Cap a time at a multiple of the typical one, and update the typical one.

        A single straggler does not indicate the speed of its backend server.
        """
        if not self.typical_time:
            self.typical_time = seconds
        capped = min(seconds, STRAGGLER_FACTOR * self.typical_time)
        self.typical_time += TYPICAL_TIME_WEIGHT * (capped - self.typical_time)
        return capped

    def get_slot_time(self, *, long: bool) -> float:
        """Return the smoothed seconds for which a request uses a slot."""
        return self.long_time if long else self.short_time

    def estimate_wait(self, state: CallState, *, slots: float) -> float:
        """Estimate the seconds until a request that arrives now gets a slot."""
        ahead = self.count_ahead(state)
        seconds = ahead * self.get_slot_time(long=state.routed.route.long)
        if not seconds:
            return 0.0
        return seconds / slots if slots else float("inf")

    def list_subqueues(self, *, long_allowed: bool) -> list[FairQueue]:
        """List the subqueues to serve, the most urgent first."""
        subqueues = []
        for rank in sorted({*self.short, *self.long}):
            if rank in self.short:
                subqueues.append(self.short[rank])
            if long_allowed and rank in self.long:
                subqueues.append(self.long[rank])
        return subqueues

    def list_waiting(self) -> list[CallState]:
        """List all waiting calls; some may have ended already."""
        return [each for subqueue in self._list_all() for each in subqueue]

    def drop_ended(self, states: Mapping[int, CallState]) -> None:
        """Drop ended calls that no waiting call of their organisation stands before."""
        for subqueue in self._list_all():
            if subqueue.backlog:
                subqueue.drop_ended(states)

    def count_waiting(self) -> int:
        """Count all waiting requests."""
        return sum(map(len, self._list_all()))

    def count_flows(self) -> int:
        """Count the organisations of waiting requests, once for each rank."""
        return sum(len(subqueue.backlog) for subqueue in self._list_all())

    def _find_subqueue(self, state: CallState) -> FairQueue:
        subqueues = self._select_kind(long=state.routed.route.long)
        subqueue = subqueues.get(state.rank)
        if subqueue is None:
            subqueue = subqueues[state.rank] = FairQueue()
        return subqueue

    def _select_kind(self, *, long: bool) -> dict[Rank, FairQueue]:
        return self.long if long else self.short

    def _list_all(self) -> list[FairQueue]:
        return [*self.short.values(), *self.long.values()]


@dataclass(kw_only=True, slots=True)
class WaitingTable:
    """The queues of all services, by name."""

    queues: dict[str, ServiceQueue] = field(default_factory=dict)

    def is_waited_for(self, service: str) -> bool:
        """Return whether requests wait for a slot of a service."""
        queue = self.queues.get(service)
        return queue is not None and queue.count_waiting() > 0

    def find(self, service: str) -> ServiceQueue:
        """Return the queue of a service, creating it on first use."""
        queue = self.queues.get(service)
        if queue is None:
            queue = self.queues[service] = ServiceQueue()
        return queue
