"""Which backend servers a call with home regions may go to."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelgate_core.calls import CallState
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState

__all__ = ["is_at_home", "is_restricted"]


def is_restricted(call_state: CallState) -> bool:
    """Return whether the call's route or organisation names home regions."""
    organisation = call_state.organisation
    return bool(call_state.routed.route.homes or (organisation and organisation.homes))


def is_at_home(state: DaemonState, call_state: CallState, server: ServerState) -> bool:
    """Return whether a backend server is in the home regions of a call's route and organisation.

    A zone whose region the settings do not name is in none.
    """
    if not is_restricted(call_state):
        return True
    region = state.regions.get(server.server.zone)
    organisation = call_state.organisation
    restrictions = (call_state.routed.route.homes, organisation.homes if organisation else None)
    return all(region in homes for homes in restrictions if homes)
