"""A daemon's part of the limits of cold servers."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_core.owners import find_ranked_first, is_granted
from dotterelgate_core.sharing import select_alive
from dotterelgate_core.warm_up.coldness import is_limited_cold

if TYPE_CHECKING:
    from dotterelgate_core.configuration import Service
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState

__all__ = ["ShareState", "compute_share", "update_shares"]

# Part of a limit that the daemons of the server's own zone have; the other zones share the rest.
OWN_ZONE_PART = 0.7
# A daemon that has just started may not have heard of its peers yet, where it cannot read their
# entries in the store.
SETTLING_SECONDS = 3.0
# Heartbeats name servers that became cold for this long, since some may be lost. All cold servers
# of a zone in each heartbeat would take half of a small link.
ANNOUNCEMENT_SECONDS = 2.0
# An owner that was cut off notices it up to this much later than its successor.
TAKEOVER_SECONDS = 1.0
# A peer that is silent, or has an entry in the store and was never heard, counts as cut off and
# not as ended for this long.
MEMORY_SECONDS = 600.0


@dataclass(kw_only=True, slots=True)
class ShareState:
    """What this daemon's parts depend on.

    :param zones: availability zones of the region by the settings; empty for unknown
    :param known_zones: the same, without settings those of all known daemons and servers
    :param started_at: monotonic second of the first tick
    :param entries: daemons with an entry in the store, with the monotonic second of the first
        listing that had it
    :param known: number of daemons of the zone that may be running, this one included
    :param first_since: monotonic second since which this daemon ranks first, by service
    :param votes: owner that this daemon knows of each service with cold servers, told to peers
    :param announced: servers of the services that this daemon owns that became cold, told to peers
    :param support: share of the zone's known daemons that take this one for the owner, by service
    """

    zones: frozenset[str] = frozenset()
    known_zones: frozenset[str] = frozenset()
    started_at: float = float("inf")
    entries: dict[str, float] = field(default_factory=dict)
    known: int = 1
    first_since: dict[str, float] = field(default_factory=dict)
    votes: dict[str, str] = field(default_factory=dict)
    announced: list[str] = field(default_factory=list)
    support: dict[str, float] = field(default_factory=dict)


def update_shares(state: DaemonState, now: float) -> None:
    """Update what the parts depend on; called on ticks."""
    shares = state.shares
    shares.started_at = min(shares.started_at, now)
    current = state.configuration.current
    limited = [each for each in current.services if each.warm_up_rate] if current else []
    shares.votes = {}
    shares.support = {}
    shares.announced = []
    if not limited:
        return
    shares.known_zones = shares.zones or _list_zones(state)
    alive = select_alive(state, now, state.zone)
    shares.known = len({*alive, *_list_silent(state, now), state.name})
    for service in limited:
        _update_service(state, service, alive, now)


def _update_service(state: DaemonState, service: Service, alive: list[str], now: float) -> None:
    shares = state.shares
    name = service.name
    first = find_ranked_first(state, name, now)
    if first == state.name:
        shares.first_since.setdefault(name, now)
    else:
        shares.first_since.pop(name, None)
    pool = state.servers.by_service.get(name, [])
    cold = [each for each in pool if is_limited_cold(each, now)]
    if not cold:
        return
    shares.votes[name] = first
    if first == state.name:
        shares.announced += [
            each.server.name
            for each in cold
            if now - each.warm_up.lengthened_at < ANNOUNCEMENT_SECONDS
        ]
        peers = (state.peers.listed[each] for each in alive if each != state.name)
        supporters = 1 + sum(peer.votes.get(name) == state.name for peer in peers)
        shares.support[name] = supporters / shares.known


def _list_silent(state: DaemonState, now: float) -> set[str]:
    """List the daemons that may be running in the zone without being heard."""
    listed = state.peers.listed
    silent = {
        peer.name
        for peer in listed.values()
        if peer.zone == state.zone and not peer.leaving and now - peer.seen_at <= MEMORY_SECONDS
    }
    # The zone of one that was never heard is not known.
    entries = state.shares.entries.items()
    unheard = {name for name, at in entries if name not in listed and now - at <= MEMORY_SECONDS}
    return silent | unheard


def compute_share(state: DaemonState, server: ServerState, now: float) -> float:
    """Compute this daemon's part of a cold server's limit, 0 to 1.

    The zones' parts are fixed. Each daemon of a zone takes one for the owner, and an owner has
    the part of those that take it for the owner, so owners with different views have no more
    together than the whole; a daemon that hears nobody has an equal part. Others have none.
    """
    shares = state.shares
    if not shares.entries:
        is_settled = now - shares.started_at >= SETTLING_SECONDS
        if not state.peers.listed or not is_settled:
            return 0.0
    part = _find_zone_part(state, server.server.zone)
    if not is_granted(state, server.service):
        return part / shares.known
    since = shares.first_since.get(server.service)
    if since is None or now - since < TAKEOVER_SECONDS:
        return 0.0
    return part * shares.support.get(server.service, 0.0)


def _find_zone_part(state: DaemonState, server_zone: str) -> float:
    zones = {*state.shares.known_zones, state.zone, server_zone}
    if len(zones) == 1:
        return 1.0
    if server_zone == state.zone:
        return OWN_ZONE_PART
    return (1.0 - OWN_ZONE_PART) / (len(zones) - 1)


def _list_zones(state: DaemonState) -> frozenset[str]:
    servers = (each.server.zone for each in state.servers.states.values())
    peers = (peer.zone for peer in state.peers.listed.values())
    return frozenset((*servers, *peers))
