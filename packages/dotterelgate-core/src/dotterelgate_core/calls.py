"""Calls in progress in this daemon."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelgate_core.configuration import Organisation, Priority
    from dotterelgate_core.messages import Call, CallRouted

    # Priority of the organisation, then that of the route; lower goes first.
    Rank = tuple[int, Priority]

__all__ = ["CALLER_NETWORK_SECONDS", "Attempt", "CallState", "CallTable"]

# Network round trip between caller and daemon, which the target includes.
CALLER_NETWORK_SECONDS = 0.016
# Typical slowdown of a call that shares its backend server with other requests.
EXPECTED_SLOWDOWN = 1.5


@dataclass(frozen=True, kw_only=True, slots=True)
class Attempt:
    """A dispatch to a backend server that has not ended.

    :param sent_at: monotonic second of the dispatch
    :param expected_slowdown: slowdown expected then
    :param is_second: whether it was started beside an attempt that is slow
    """

    server: str
    sent_at: float
    expected_slowdown: float
    is_second: bool = False


@dataclass(kw_only=True, slots=True)
class CallState:
    """One call in progress.

    :param routed: the call with its route and time limit
    :param running: its attempts that have not ended, by backend server
    :param granted_at: monotonic second at which it was granted a slot for another daemon
    :param peer: peer that it was forwarded to
    :param attempts: dispatches so far
    :param avoided: backend servers that failed it
    :param digest: digest of the key that this daemon holds for it
    :param fence: wall-clock second after which it must not start
    :param must_stay_local: whether it must not be forwarded to an owner
    :param caller_disconnected: whether nobody waits for the answer
    :param queued: whether it waits for a slot
    :param joined: whether it waits for the answer to another call with its key
    :param arrived: monotonic second at which it was routed first
    :param unsent_attempts: dispatches of which nothing was sent
    :param admitted: whether it was admitted to a queue
    :param work: expected seconds on a backend server without slowdown
    :param may_have_run: whether an attempt ran, or may have
    :param failed_owners: number of owners passed over after a slot request
    :param requester: daemon of the zone that has the call and requests a slot
    :param organisation: the caller's organisation, if its credential is known here
    :param organisation_name: its name, also for a call of another daemon, empty for none
    :param organisation_priority: its priority within the range of ``Priority``
    :param has_token: whether it counts against the quota already
    :param has_second: whether a second attempt was requested, started or denied
    :param relay_started: whether part of an attempt's answer went to the caller already
    """

    routed: CallRouted
    running: dict[str, Attempt] = field(default_factory=dict)
    granted_at: float = 0.0
    peer: str | None = None
    attempts: int = 0
    avoided: set[str] = field(default_factory=set)
    digest: int | None = None
    fence: float | None = None
    must_stay_local: bool = False
    caller_disconnected: bool = False
    queued: bool = False
    joined: bool = False
    arrived: float = 0.0
    unsent_attempts: int = 0
    admitted: bool = False
    work: float = 0.0
    may_have_run: bool = False
    requester: str | None = None
    failed_owners: int = 0
    organisation: Organisation | None = None
    organisation_name: str = ""
    organisation_priority: int = 0
    has_token: bool = False
    has_second: bool = False
    relay_started: bool = False

    @property
    def server(self) -> str | None:
        """The backend server of its oldest attempt that has not ended."""
        return next(iter(self.running), None)

    def compute_wait_end(self, share: float) -> float:
        """Compute until when it may wait for a better backend server.

        :param share: share of the target that it may wait
        :returns: a monotonic second
        """
        target = self.routed.route.target or self.routed.route.timeout
        return self.arrived + share * min(target, self.routed.deadline - self.arrived)

    def can_reach_target(self, now: float) -> bool:
        """Return whether a dispatch now is expected to be answered within the target."""
        target = self.routed.route.target or self.routed.route.timeout
        return now + EXPECTED_SLOWDOWN * self.work + CALLER_NETWORK_SECONDS <= self.arrived + target

    def allows_attempt(self, default: int) -> bool:
        """Return whether another dispatch is within the limit of its route.

        :param default: limit of routes that set none
        """
        return self.attempts < (self.routed.route.attempts or default)

    def describe_organisation(self) -> dict[str, object]:
        """Name the caller's organisation, if any, as facts of a log line."""
        return {"organisation": self.organisation_name} if self.organisation_name else {}

    @property
    def rank(self) -> Rank:
        """Its place in the order of waiting requests; lower goes first."""
        return self.organisation_priority, self.routed.route.priority

    @property
    def call(self) -> Call:
        """The call itself."""
        return self.routed.call


@dataclass(kw_only=True, slots=True)
class CallTable:
    """All calls in progress, and their time limits in order."""

    states: dict[int, CallState] = field(default_factory=dict)
    deadlines: list[tuple[float, int]] = field(default_factory=list)

    def add(self, routed: CallRouted) -> CallState:
        """Add a newly routed call."""
        state = CallState(routed=routed, arrived=routed.now)
        self.add_state(state)
        return state

    def add_state(self, state: CallState) -> None:
        """Add the state of a call."""
        self.states[state.call.id] = state
        heapq.heappush(self.deadlines, (state.routed.deadline, state.call.id))

    def has_queued(self) -> bool:
        """Return whether a call waits for a backend server or for an owner's answer."""
        return any(each.queued for each in self.states.values())

    def pop_due(self, now: float) -> list[CallState]:
        """Return the calls whose time limit passed, each once; they stay in ``states``."""
        due = []
        while self.deadlines and self.deadlines[0][0] <= now:
            _, call_id = heapq.heappop(self.deadlines)
            state = self.states.get(call_id)
            if state is not None:
                due.append(state)
        return due
