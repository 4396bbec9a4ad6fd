"""Choice of the backend server that is expected to answer first."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core.calls import CALLER_NETWORK_SECONDS
from dotterelgate_core.loads import CONNECTION_REUSE_SECONDS
from dotterelgate_core.warm_up.coldness import is_limited_cold

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from dotterelgate_core.calls import CallState
    from dotterelgate_core.servers import ServerState

__all__ = ["compute_penalty_factor", "estimate_time_factor", "make_expected_time_choice"]

# Share of its slots up to which a backend server runs at full speed.
FULL_SPEED_SHARE = 0.8
# Slowdown of a backend server above that share.
CROWDED_FACTOR = 1.6
# Relative cost of a full load; each request adds its part, also below that share.
LOAD_COST = 0.15
# An answer from another availability zone costs network delay and traffic.
OTHER_ZONE_FACTOR = 1.5
# Slowdown of work right after the start of a backend server.
COLD_FACTOR = 2.0
# A failure costs about as much as this many usual answers.
FAILURE_COST = 6.0
# A call waits for a while rather than use a backend server slower by more than this.
ACCEPTED_FACTOR = 3.0
# Share of its target for which a call waits for a better backend server.
BETTER_SERVER_WAIT_SHARE = 0.15
# Share of its time limit after which a call accepts an answer that is expected after
# the target but before the deadline.
LATE_ANSWER_WAIT_SHARE = 0.2
# A new connection costs both sides a few milliseconds, and where many daemons have few calls
# each, a server's limit of connections as well.
UNCONNECTED_FACTOR = 1.25
# While most slots are free, a connected backend server that is somewhat slower answers in time.
CALM_UNCONNECTED_FACTOR = 1.6
CALM_SHARE = 0.5
# A backend server not chosen for this long gets no penalty for a new connection, so that
# servers that join are used.
UNUSED_SECONDS = 5.0
# Costs are varied at random by up to this share, so that daemons with the same view do
# not all choose the same backend server.
JITTER_SHARE = 0.05


def make_expected_time_choice(
    random: Random, zone: str
) -> Callable[[Sequence[ServerState], CallState, float], ServerState | None]:
    """Build the choice by the expected time, which prefers the own availability zone.

    :param random: source of the choice between nearly equal backend servers
    :param zone: availability zone of this daemon
    """

    def choose(states: Sequence[ServerState], call: CallState, now: float) -> ServerState | None:
        usual = compute_usual_slowdown(states)
        unconnected = choose_unconnected_factor(states)
        best: ServerState | None = None
        least = best_factor = float("inf")
        for state in states:
            factor = estimate_time_factor(state, now, usual=usual)
            cost = factor * compute_penalty_factor(state, now, zone=zone)
            if is_limited_cold(state, now):
                if not _is_good_enough(call, factor, now):
                    continue
                # Its limit keeps it from more; up to that it is used like the others, though
                # it has few connections.
                cost /= COLD_FACTOR
            elif now - state.chosen_at < UNUSED_SECONDS and not _is_connected(state, call, now):
                cost *= unconnected
            cost *= 1.0 + JITTER_SHARE * random.random()
            if cost < least:
                best, least, best_factor = state, cost, factor
        return best if _is_good_enough(call, best_factor, now) else None

    return choose


def choose_unconnected_factor(states: Sequence[ServerState]) -> float:
    """Choose the cost factor of a new connection by the share of slots in use."""
    slots = sum(state.server.slots for state in states)
    load = sum(state.count_load() for state in states)
    return CALM_UNCONNECTED_FACTOR if load < CALM_SHARE * slots else UNCONNECTED_FACTOR


def _is_connected(state: ServerState, call: CallState, now: float) -> bool:
    """Return whether the daemon that has the call likely has an idle connection there."""
    if call.requester is not None:
        return state.view.is_connected(call.requester, now)
    return not state.in_flight and now - state.used_at < CONNECTION_REUSE_SECONDS


def _is_good_enough(call: CallState, factor: float, now: float) -> bool:
    """Return whether to use the best backend server now rather than wait for another."""
    if factor <= ACCEPTED_FACTOR:
        return True
    if now < call.compute_wait_end(BETTER_SERVER_WAIT_SHARE):
        return False
    routed = call.routed
    finish = now + factor * call.work
    target = routed.route.target or routed.route.timeout
    if finish + CALLER_NETWORK_SECONDS <= call.arrived + target:
        return True
    time_limit = routed.deadline - call.arrived
    return (
        now >= call.arrived + LATE_ANSWER_WAIT_SHARE * time_limit
        and finish + CALLER_NETWORK_SECONDS <= routed.deadline
    )


def compute_usual_slowdown(states: Sequence[ServerState]) -> float:
    """Compute the mean of the slowdowns that the backend servers last reported."""
    reports = [state.view.report.slowdown for state in states if state.view.report is not None]
    return sum(reports) / len(reports) if reports else 1.0


def compute_penalty_factor(state: ServerState, now: float, *, zone: str) -> float:
    """Compute the cost factor of traffic between zones and of failures.

    :param zone: availability zone of this daemon
    """
    weight = 1.0 + FAILURE_COST * state.view.estimate_failure_share(now)
    return weight * OTHER_ZONE_FACTOR if zone and state.server.zone != zone else weight


def estimate_time_factor(state: ServerState, now: float, *, usual: float) -> float:
    """Estimate how many times longer than usual an answer takes.

    :param usual: mean slowdown over the pool
    """
    load = state.count_load()
    slots = state.server.slots
    factor = state.view.estimate_slowdown(now, usual) * state.view.estimate_pace(now)
    factor *= 1.0 + LOAD_COST * load / slots
    if load + 1 > FULL_SPEED_SHARE * slots:
        factor *= CROWDED_FACTOR
    if load >= slots:
        factor *= 1.0 + (load - slots + 1) / slots
    if now < state.cold_until:
        factor *= COLD_FACTOR
    return factor
