"""Decisions that keep backend servers within the limits that they name."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core.evacuations.returning import count_step_slots, is_returning
from dotterelgate_core.owners import is_granted, is_ranked_first

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState

__all__ = [
    "compute_allowance_wait",
    "count_usable_slots",
    "has_allowance",
]


def has_allowance(state: DaemonState, server: ServerState, now: float) -> bool:
    """Return whether the limit of a backend server lets this daemon choose it."""
    if not server.limit.is_named:
        return True
    share, choosers = _find_share(state, server.service, now)
    return server.limit.refill(share, now, is_kept=choosers == 1) >= 1.0


def count_usable_slots(
    state: DaemonState, pool: Sequence[ServerState], seconds_each: float, now: float
) -> float:
    """Count the slots that the limits let this daemon keep busy.

    :param seconds_each: seconds for which a request uses a slot
    """
    slots = 0.0
    in_steps = not all(is_returning(each, now) for each in pool)
    for server in pool:
        usable: float = count_step_slots(server, now) if in_steps else server.server.slots
        if server.limit.is_named:
            share, _ = _find_share(state, server.service, now)
            usable = min(usable, server.limit.rate * share * seconds_each)
        slots += usable
    return slots


def compute_allowance_wait(state: DaemonState, pool: Sequence[ServerState], now: float) -> float:
    """Compute the seconds until the limits let this daemon choose one of the servers."""
    return min(_wait_for_allowance(state, each, now) for each in pool)


def _wait_for_allowance(state: DaemonState, server: ServerState, now: float) -> float:
    if has_allowance(state, server, now):
        return 0.0
    share, _ = _find_share(state, server.service, now)
    rate = server.limit.rate * share
    return (1.0 - server.limit.allowance) / rate if rate else float("inf")


def _find_share(state: DaemonState, service: str, now: float) -> tuple[float, int]:
    """Find this daemon's part of the limits of a service's backend servers.

    Each zone has the same part, so that the sum holds without messages between zones. Within
    the zone it is the owner's where slots are granted; a daemon that chooses by its own view
    has an equal part.

    :returns: the part, and how many daemons of the zone have one
    """
    is_owner = is_granted(state, service) and is_ranked_first(state, service, now)
    choosers = 1 if is_owner else state.zone_daemons
    return 1.0 / (state.live_zones * choosers), choosers
