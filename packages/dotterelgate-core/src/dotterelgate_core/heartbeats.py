"""Choice of the peers that get a heartbeat, and how often."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelgate_core.owners import list_owners
from dotterelgate_core.readers import READER_SUBJECT
from dotterelgate_core.sharing import find_remote_interval_factor, find_zone_interval_factor

if TYPE_CHECKING:
    from dotterelgate_core.peers import Peer
    from dotterelgate_core.state import DaemonState

__all__ = ["HEARTBEAT_SECONDS", "PlannedHeartbeat", "plan_heartbeats"]

HEARTBEAT_SECONDS = 0.24
# Other zones get every eighth heartbeat, because traffic between zones is costly.
REMOTE_INTERVAL = 8


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannedHeartbeat:
    """A heartbeat to send.

    :param interval: seconds until the peer gets the next one
    """

    peer: Peer
    interval: float


def plan_heartbeats(
    state: DaemonState, now: float, number: int, *, to_all: bool = False, to_zone: bool = False
) -> list[PlannedHeartbeat]:
    """List the peers that get a daemon's heartbeat of a number.

    Within a zone, the daemons that others depend on exchange each heartbeat with all: the
    owners of queues, their successors, and the readers of the store.

    :param to_all: whether to send to every peer, as when this daemon stops
    :param to_zone: whether to send to every peer of the zone, as when this daemon has just
        learned enough to decide: until its peers know, each takes itself for the owner
    """
    remote_interval = REMOTE_INTERVAL * find_remote_interval_factor(state)
    zone_interval = find_zone_interval_factor(state)
    coordinators = _list_coordinators(state, now) if zone_interval > 1 else set()
    planned = []
    for peer in state.peers.listed.values():
        is_in_zone = peer.zone == state.zone
        interval = zone_interval if is_in_zone else remote_interval
        if is_in_zone and not coordinators.isdisjoint((state.name, peer.name)):
            interval = 1
        if to_all or (to_zone and is_in_zone) or number % interval == 0:
            planned.append(PlannedHeartbeat(peer=peer, interval=interval * HEARTBEAT_SECONDS))
    return planned


def _list_coordinators(state: DaemonState, now: float) -> set[str]:
    subjects = (READER_SUBJECT, *state.servers.by_service)
    return {name for each in subjects for name in list_owners(state, each, now, state.zone)}
