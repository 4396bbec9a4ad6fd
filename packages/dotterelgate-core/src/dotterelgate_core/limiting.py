"""Decisions that keep backend servers within the limits that they name or have while cold."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core.evacuations.returning import count_step_slots, is_returning
from dotterelgate_core.owners import is_granted, is_ranked_first
from dotterelgate_core.warm_up.coldness import is_limited_cold
from dotterelgate_core.warm_up.shares import compute_share

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState

__all__ = [
    "compute_allowance_wait",
    "count_usable_slots",
    "has_allowance",
    "use_allowance",
]


def has_allowance(state: DaemonState, server: ServerState, now: float) -> bool:
    """Return whether the limit of a backend server lets this daemon choose it."""
    return _has_named_allowance(state, server, now) and _has_warm_up_allowance(state, server, now)


def use_allowance(server: ServerState, now: float) -> None:
    """Count one request against the limits of a backend server."""
    server.limit.use()
    if is_limited_cold(server, now):
        server.warm_up.allowance -= 1.0


def _has_named_allowance(state: DaemonState, server: ServerState, now: float) -> bool:
    if not server.limit.is_named:
        return True
    share, choosers = _find_share(state, server.service, now)
    return server.limit.refill(share, now, is_kept=choosers == 1) >= 1.0


def _has_warm_up_allowance(state: DaemonState, server: ServerState, now: float) -> bool:
    if not is_limited_cold(server, now):
        return True
    return server.warm_up.refill(compute_share(state, server, now), now) >= 1.0


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
        if is_limited_cold(server, now):
            rate = server.warm_up.rate * compute_share(state, server, now)
            usable = min(usable, rate * seconds_each)
        slots += usable
    return slots


def compute_allowance_wait(state: DaemonState, pool: Sequence[ServerState], now: float) -> float:
    """Compute the seconds until the limits let this daemon choose one of the servers."""
    return min(_wait_for_allowance(state, each, now) for each in pool)


def _wait_for_allowance(state: DaemonState, server: ServerState, now: float) -> float:
    wait = 0.0
    if not _has_named_allowance(state, server, now):
        share, _ = _find_share(state, server.service, now)
        wait = _compute_wait(server.limit.allowance, server.limit.rate * share)
    if not _has_warm_up_allowance(state, server, now):
        rate = server.warm_up.rate * compute_share(state, server, now)
        wait = max(wait, _compute_wait(server.warm_up.allowance, rate))
    return wait


def _compute_wait(allowance: float, rate: float) -> float:
    return (1.0 - allowance) / rate if rate else float("inf")


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
