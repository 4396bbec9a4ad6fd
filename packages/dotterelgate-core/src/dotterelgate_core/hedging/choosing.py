"""Choice of the backend server of a second attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_core.homes.restricting import is_at_home
from dotterelgate_core.limiting import has_allowance, use_allowance

if TYPE_CHECKING:
    from collections.abc import Mapping

    from dotterelgate_core.calls import CallState
    from dotterelgate_core.policies import Policy
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState

__all__ = ["accepts_second", "choose_free_server"]


def accepts_second(server: ServerState, now: float, requester: str | None = None) -> bool:
    """Return whether a backend server is neither leaving, paused, cold nor warming up.

    :param requester: the daemon that would send the attempt, ``None`` for this one
    """
    is_warm = now >= server.cold_until and server.ramp is None
    return is_warm and server.is_eligible(now, requester)


def choose_free_server(
    state: DaemonState, policies: Mapping[str, Policy], call_state: CallState, now: float
) -> ServerState | Refusal:
    """Choose a backend server with a free slot and count the choice against its limit.

    :returns: the server, or why a second attempt is not worth its slot
    """
    service = call_state.routed.service
    if _has_waiting(state, service.name):
        return _refuse(f"requests wait for slots of {service.name}")
    pool = state.servers.by_service.get(service.name, [])
    warm = [each for each in pool if accepts_second(each, now, call_state.requester)]
    slots = sum(each.server.slots for each in pool)
    free = sum(max(0, each.count_free()) for each in warm)
    if free < state.limits.hedging_slots * slots:
        return _refuse(f"{free} of {slots} slots of {service.name} are free")
    tried = {*call_state.avoided, *call_state.running}
    candidates = [
        each
        for each in warm
        if each.server.name not in tried
        and each.count_free() > 0
        and is_at_home(state, call_state, each)
        and has_allowance(state, each, now)
    ]
    chosen = policies[service.policy].choose(candidates, call_state, now) if candidates else None
    if chosen is None:
        return _refuse(f"no other backend server of {service.name} is free and fast enough")
    chosen.chosen_at = now
    use_allowance(chosen, now)
    return chosen


def _has_waiting(state: DaemonState, service: str) -> bool:
    return any(each.queued for each in state.waiting.find(service).list_waiting())


def _refuse(reason: str) -> Refusal:
    return Refusal(codes.OVERLOADED, reason)
