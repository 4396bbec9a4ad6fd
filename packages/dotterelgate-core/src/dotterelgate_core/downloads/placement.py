"""Keeps large answers in their availability zone while that serves their callers in time."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelgate_core.calls import CallState
    from dotterelgate_core.servers import ServerState

__all__ = ["keep_in_zone"]

# Share of its target for which a call with a large answer waits for a server of its own zone.
ZONE_WAIT_SHARE = 0.2
# A server that fails more of its requests than this is no reason to wait or to stay.
ACCEPTED_FAILURE_SHARE = 0.25


def keep_in_zone(
    candidates: list[ServerState],
    pool: list[ServerState],
    call_state: CallState,
    now: float,
    *,
    zone: str,
) -> list[ServerState]:
    """Select the candidates of the own zone for a call with a large answer.

    Traffic between zones costs, and links to other zones are shared by all requests.

    :param candidates: servers with a free slot
    :param pool: all servers of the service, whether a slot is free or not
    :param zone: availability zone of this daemon
    :returns: none while the call can wait for a server of its zone, all where none is worth it
    """
    if not call_state.routed.route.is_bulk or not zone:
        return candidates
    local = [each for each in candidates if _is_sound_neighbour(each, call_state, zone, now)]
    if local:
        return local
    has_neighbour = any(_is_sound_neighbour(each, call_state, zone, now) for each in pool)
    if has_neighbour and now < call_state.compute_wait_end(ZONE_WAIT_SHARE):
        return []
    return candidates


def _is_sound_neighbour(server: ServerState, call_state: CallState, zone: str, now: float) -> bool:
    if server.server.zone != zone or server.server.name in call_state.avoided:
        return False
    is_sound = server.view.estimate_failure_share(now) <= ACCEPTED_FAILURE_SHARE
    return is_sound and server.is_eligible(now, call_state.requester)
