"""This daemon's view of the backend servers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_core.backoff import compute_backoff
from dotterelgate_core.limits import NamedLimit
from dotterelgate_core.loads import LoadView
from dotterelgate_core.warm_up.limit import WarmUpLimit

if TYPE_CHECKING:
    from dotterelgate_core.configuration import BackendServer, Service

__all__ = ["ServerState", "ServerTable"]

FAILURES_BEFORE_PAUSE = 2
PAUSE_SECONDS = 1.0
MAX_PAUSE_SECONDS = 8.0
SMOOTHING_WEIGHT = 0.3
# Servers that left and whose entry may come back; a copy of the store is some seconds old.
MAX_LEFT = 1024


@dataclass(kw_only=True, slots=True)
class ServerState:
    """One backend server.

    :param service: service whose requests it runs
    :param in_flight: requests that this daemon has at it
    :param reported: requests that it reported, its queue included
    :param service_time: smoothed seconds per request
    :param is_listed_leaving: whether the platform lists it as leaving
    :param reports_leaving: whether it reported so itself, to this daemon or another
    :param leaving_report_wall: wall-clock second of its newest such report
    :param paused_until: monotonic second until which it gets no requests
    :param failures: failures in a row
    :param ramp: concurrent requests allowed while it warms up, ``None`` when warm
    :param used_at: monotonic second of the last answer or dispatch
    :param view: its load according to its reports and to other daemons
    :param cold_until: monotonic second until which its entry or its answers state that it is slow
    :param chosen_at: monotonic second at which this daemon chose it last, for any daemon
    :param limit: the requests a second that it takes
    :param pauses: monotonic second until which it wants no requests of a daemon, by name;
        ``None`` for this daemon
    :param is_evacuated: whether the operator evacuated its zone
    :param returned_at: monotonic second at which its zone was taken back into use
    :param warm_up: its limit while it is cold
    """

    server: BackendServer
    service: str = ""
    in_flight: int = 0
    reported: int = 0
    service_time: float = 0.0
    is_listed_leaving: bool = False
    reports_leaving: bool = False
    leaving_report_wall: float = 0.0
    paused_until: float = 0.0
    failures: int = 0
    ramp: int | None = None
    ramp_successes: int = 0
    used_at: float = 0.0
    view: LoadView = field(default_factory=LoadView)
    cold_until: float = 0.0
    chosen_at: float = float("-inf")
    limit: NamedLimit = field(default_factory=NamedLimit)
    pauses: dict[str | None, float] = field(default_factory=dict)
    is_evacuated: bool = False
    returned_at: float = float("-inf")
    warm_up: WarmUpLimit = field(default_factory=WarmUpLimit)

    def is_eligible(self, now: float, requester: str | None = None) -> bool:
        """Return whether it may get new requests.

        :param requester: the daemon that would send them, ``None`` for this one
        """
        if self.is_evacuated or self.paused_until > now or self.list_leaving_sources():
            return False
        return not self.wants_pause(now, requester)

    def wants_pause(self, now: float, requester: str | None = None) -> bool:
        """Return whether it wants no requests of a daemon for now."""
        return self.pauses.get(requester, 0.0) > now

    def list_leaving_sources(self) -> list[str]:
        """List the sources that report it as leaving."""
        reports = (
            ("operator", self.server.draining),
            ("platform", self.is_listed_leaving),
            ("itself", self.reports_leaving),
        )
        return [source for source, is_leaving in reports if is_leaving]

    def apply_leaving_report(self, *, is_leaving: bool, wall: float) -> bool:
        """Apply a report that it is leaving, or works again, unless a newer one was applied.

        :returns: whether it changed ``reports_leaving``
        """
        if wall < self.leaving_report_wall:
            return False
        self.leaving_report_wall = wall
        changed = self.reports_leaving != is_leaving
        self.reports_leaving = is_leaving
        if changed and not is_leaving:
            self.ramp = 1
        return changed

    def count_free(self) -> int:
        """Count the requests that it can run without queueing."""
        limit = self.server.slots if self.ramp is None else min(self.ramp, self.server.slots)
        return limit - self.count_load()

    def count_load(self) -> int:
        """Count the requests that this daemon and others are known to have at it."""
        return self.in_flight + self.view.count_others()

    def record_success(self, now: float, seconds: float) -> None:
        """Apply a complete answer.

        :param seconds: time that it took, with stragglers capped at a multiple of the usual time
        """
        self.failures = 0
        self.paused_until = 0.0
        self.used_at = now
        weight = SMOOTHING_WEIGHT if self.service_time else 1.0
        self.service_time += weight * (seconds - self.service_time)
        self._warm_up()

    def record_failure(self, now: float) -> None:
        """Apply a failed connection or an incomplete answer."""
        self.failures += 1
        self.used_at = now
        if self.failures < FAILURES_BEFORE_PAUSE:
            return
        self.paused_until = now + compute_backoff(
            self.failures - FAILURES_BEFORE_PAUSE + 1,
            first=PAUSE_SECONDS,
            longest=MAX_PAUSE_SECONDS,
        )
        self.ramp = 1
        self.ramp_successes = 0

    def _warm_up(self) -> None:
        if self.ramp is None:
            return
        self.ramp_successes += 1
        if self.ramp_successes < self.ramp:
            return
        self.ramp_successes = 0
        self.ramp *= 2
        if self.ramp >= self.server.slots:
            self.ramp = None


@dataclass(kw_only=True, slots=True)
class ServerTable:
    """All backend servers in use, by name.

    :param changed: names of those whose in-flight count here changed, to be sent to peers
    :param sampled: names of those with a report from a probe, to be sent to peers
    :param left: by name, the start of the run that was removed after it had said that it leaves,
        and the wall-clock second of its newest report
    """

    states: dict[str, ServerState] = field(default_factory=dict)
    by_service: dict[str, list[ServerState]] = field(default_factory=dict)
    changed: set[str] = field(default_factory=set)
    sampled: set[str] = field(default_factory=set)
    left: dict[str, tuple[int | None, float]] = field(default_factory=dict)

    def follow_configuration(self, services: tuple[Service, ...], *, warm: bool) -> None:
        """Add and remove backend servers to match the configuration.

        :param warm: whether new backend servers skip the warm-up
        """
        before = self.states
        self.states = {}
        self.by_service = {}
        for service in services:
            pool = [self._carry_over(before, server, warm=warm) for server in service.servers]
            for each in pool:
                each.service = service.name
            self.by_service[service.name] = pool
            self.states.update({state.server.name: state for state in pool})

    def add_or_update(self, service: str, server: BackendServer) -> ServerState:
        """Add a backend server that registered itself, or update it.

        A new run under the same name starts with fresh state, since nothing learned
        of the earlier run applies to it.
        """
        before = self.states.get(server.name)
        if before is not None and not _is_same_run(before.server, server):
            self.remove(server.name)
            before = None
        if before is not None and before.service == service:
            before.server = server
            return before
        self.remove(server.name)
        state = self.states[server.name] = ServerState(server=server, service=service)
        self.by_service.setdefault(service, []).append(state)
        born, wall = self.left.pop(server.name, (None, 0.0))
        if born is not None and born == server.born:
            # An entry that is older than its removal may come back with a copy of the store.
            state.apply_leaving_report(is_leaving=True, wall=wall)
        return state

    def remove(self, name: str) -> None:
        """Remove a backend server."""
        state = self.states.pop(name, None)
        if state is None:
            return
        for pool in self.by_service.values():
            if state in pool:
                pool.remove(state)
        if state.reports_leaving:
            self._remember_left(state)

    def _remember_left(self, state: ServerState) -> None:
        self.left[state.server.name] = (state.server.born, state.leaving_report_wall)
        if len(self.left) > MAX_LEFT:
            del self.left[next(iter(self.left))]

    def _carry_over(
        self, before: dict[str, ServerState], server: BackendServer, *, warm: bool
    ) -> ServerState:
        state = before.get(server.name)
        if state is None or state.server.address != server.address:
            return ServerState(server=server, ramp=None if warm else 1)
        if state.server.draining and not server.draining:
            state.ramp = 1
        state.server = server
        return state


def _is_same_run(before: BackendServer, after: BackendServer) -> bool:
    return before.address == after.address and before.born == after.born
