"""Routing policies: how requests are queued and backend servers chosen."""

from __future__ import annotations

from dataclasses import dataclass
from math import exp
from typing import TYPE_CHECKING

from dotterelgate_core.expected_time import make_expected_time_choice

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from random import Random

    from dotterelgate_core.calls import CallState
    from dotterelgate_core.servers import ServerState

    Choose = Callable[[Sequence[ServerState], CallState, float], ServerState | None]

__all__ = ["GRANTED_POLICIES", "POLICY_NAMES", "Policy", "make_policies"]

SPEED_WEIGHT = 4
# The service time of a backend server that isn't used counts less with time, and in the end
# its cost is a little less than that of the fastest, so that one request tries it again.
UNUSED_MEMORY_SECONDS = 2.0
UNUSED_FACTOR = 0.9


@dataclass(frozen=True, kw_only=True, slots=True)
class Policy:
    """How requests of a service are queued and assigned to backend servers.

    :param name: value of ``policy`` in the configuration
    :param owned: whether all requests of the service are forwarded to one daemon
    :param late: whether a request waits in the daemon until a slot is free
    :param shared: whether daemons of a zone exchange loads, so that waits are known and bounded
    :param granted: whether one daemon of each zone grants the slots to the others
    :param choose: chooses among eligible backend servers, at least one, for a call
        at a monotonic second; ``None`` when the call should wait for a better one
    """

    name: str
    owned: bool
    late: bool
    choose: Choose
    shared: bool = False
    granted: bool = False


def make_policies(random: Random, zone: str = "") -> dict[str, Policy]:
    """Build every selectable policy.

    :param random: source of the random choices
    :param zone: availability zone of this daemon
    """
    choose_expected_time = make_expected_time_choice(random, zone)
    policies = (
        Policy(
            name="granted_queue",
            owned=False,
            late=True,
            choose=choose_expected_time,
            shared=True,
            granted=True,
        ),
        Policy(
            name="shared_queue", owned=False, late=True, choose=choose_expected_time, shared=True
        ),
        Policy(name="owner_queue", owned=True, late=True, choose=choose_fastest),
        Policy(name="local_queue", owned=False, late=True, choose=choose_fastest),
        Policy(
            name="least_in_flight", owned=False, late=False, choose=make_least_in_flight(random)
        ),
        Policy(name="least_reported", owned=False, late=False, choose=make_least_reported(random)),
        Policy(name="two_choices", owned=False, late=False, choose=make_two_choices(random)),
        Policy(name="round_robin", owned=False, late=False, choose=make_round_robin()),
        Policy(name="random", owned=False, late=False, choose=make_random(random)),
    )
    return {policy.name: policy for policy in policies}


def choose_fastest(
    states: Sequence[ServerState], _call: CallState | None, now: float
) -> ServerState:
    """Choose by the recent service time, weighted a little by requests in flight."""
    least = min((state.service_time for state in states if state.service_time), default=0.0)
    return min(states, key=lambda state: _estimate_cost(state, least * UNUSED_FACTOR, now))


def _estimate_cost(state: ServerState, unused_time: float, now: float) -> float:
    if not state.service_time:
        return 0.0
    freshness = exp(-max(0.0, now - state.used_at) / UNUSED_MEMORY_SECONDS)
    service_time = unused_time + (state.service_time - unused_time) * freshness
    return (state.in_flight + SPEED_WEIGHT) * service_time


def make_random(random: Random) -> Choose:
    """Build the choice of a backend server at random."""

    def choose(states: Sequence[ServerState], *_: object) -> ServerState:
        return random.choice(states)

    return choose


def make_least_in_flight(random: Random) -> Choose:
    """Build the choice of the fewest own requests in flight, ties at random."""

    def choose(states: Sequence[ServerState], *_: object) -> ServerState:
        least = min(state.in_flight for state in states)
        return random.choice([state for state in states if state.in_flight == least])

    return choose


def make_least_reported(random: Random) -> Choose:
    """Build the choice of the fewest requests by the servers' latest reports."""

    def count(state: ServerState) -> int:
        return max(state.in_flight, state.reported)

    def choose(states: Sequence[ServerState], *_: object) -> ServerState:
        least = min(count(state) for state in states)
        return random.choice([state for state in states if count(state) == least])

    return choose


def make_two_choices(random: Random) -> Choose:
    """Build the choice, of two random servers, of the one with fewer own requests in flight."""

    def choose(states: Sequence[ServerState], *_: object) -> ServerState:
        first = random.choice(states)
        second = random.choice(states)
        return min(first, second, key=lambda state: state.in_flight)

    return choose


def make_round_robin() -> Choose:
    """Build the choice of each server in turn."""
    turn = 0

    def choose(states: Sequence[ServerState], *_: object) -> ServerState:
        nonlocal turn
        turn += 1
        return states[turn % len(states)]

    return choose


# Policies under which only the owners of a service's queue need load updates.
GRANTED_POLICIES = frozenset(("granted_queue",))

POLICY_NAMES = (
    "owner_queue",
    "granted_queue",
    "shared_queue",
    "local_queue",
    "least_in_flight",
    "least_reported",
    "two_choices",
    "round_robin",
    "random",
)
