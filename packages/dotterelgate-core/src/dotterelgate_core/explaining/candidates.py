"""The backend servers that a call may go to, and why others are passed over."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelgate_core.evacuations.returning import select_in_step
from dotterelgate_core.expected_time import (
    compute_penalty_factor,
    compute_usual_slowdown,
    estimate_time_factor,
)
from dotterelgate_core.homes.restricting import is_at_home
from dotterelgate_core.limiting import has_allowance
from dotterelgate_core.warm_up.coldness import is_limited_cold

if TYPE_CHECKING:
    from dotterelgate_core.calls import CallState
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState

__all__ = ["Candidate", "list_candidates"]


@dataclass(frozen=True, kw_only=True, slots=True)
class Candidate:
    """One backend server of a service.

    :param load: requests that are known to be at it
    :param expected_seconds: seconds until it is expected to answer
    :param cost: expected seconds with the cost of other zones and of failures
    :param obstacles: why it is passed over now; empty for one that may be chosen
    """

    name: str
    zone: str
    load: int
    slots: int
    expected_seconds: float
    cost: float
    obstacles: tuple[str, ...]


def list_candidates(state: DaemonState, call_state: CallState, now: float) -> list[Candidate]:
    """List the backend servers of a call's service, the one with the least cost first."""
    routed = call_state.routed
    pool = state.servers.by_service.get(routed.service.name, [])
    work = call_state.work or state.times.estimate(routed.service, routed.route)
    usual = compute_usual_slowdown(pool)
    eligible = [each for each in pool if each.is_eligible(now)]
    in_step = [each.server.name for each in select_in_step(eligible, now)]
    candidates = []
    for server in pool:
        seconds = work * estimate_time_factor(server, now, usual=usual)
        candidates.append(
            Candidate(
                name=server.server.name,
                zone=server.server.zone,
                load=server.count_load(),
                slots=server.server.slots,
                expected_seconds=seconds,
                cost=seconds * compute_penalty_factor(server, now, zone=state.zone),
                obstacles=(
                    *_list_restrictions(state, call_state, server),
                    *_list_obstacles(state, server, now, in_step),
                ),
            )
        )
    return sorted(candidates, key=lambda each: (bool(each.obstacles), each.cost))


def _list_restrictions(
    state: DaemonState, call_state: CallState, server: ServerState
) -> tuple[str, ...]:
    if is_at_home(state, call_state, server):
        return ()
    region = state.regions.get(server.server.zone, "unknown")
    return (f"its region {region} is no home of the route and the organisation",)


def _list_obstacles(
    state: DaemonState, server: ServerState, now: float, in_step: list[str]
) -> tuple[str, ...]:
    obstacles = ["its zone is evacuated"] if server.is_evacuated else []
    obstacles += [f"it is leaving ({source})" for source in server.list_leaving_sources()]
    if server.paused_until > now:
        obstacles.append(f"it failed, and is paused for {server.paused_until - now:.1f} s")
    if server.wants_pause(now):
        obstacles.append("it wants no requests of this daemon")
    if not has_allowance(state, server, now):
        is_cold = is_limited_cold(server, now)
        limit = server.warm_up.rate if is_cold else server.limit.rate
        kind = "while it is cold" if is_cold else "as it states"
        obstacles.append(f"its limit of {limit:g} requests a second {kind} leaves no room here")
    if server.is_eligible(now) and server.server.name not in in_step:
        obstacles.append("it returns to use in steps, and has enough for this one")
    if server.count_free() <= 0:
        obstacles.append("no slot is free")
    return tuple(obstacles)
