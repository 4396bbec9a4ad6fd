"""Choice of the peers that get what a reader of the registry read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core.owners import list_owners
from dotterelgate_core.peers import rank_by_rendezvous
from dotterelgate_core.sharing import select_alive, select_zone_peers
from dotterelgate_core.store_reading import (
    LAST_WAITING_RANK,
    READER_SUBJECT,
    is_update_overdue,
)

if TYPE_CHECKING:
    from dotterelgate_core.state import DaemonState

__all__ = ["find_leading_zone", "select_read_receivers", "select_relay_receivers"]


def select_read_receivers(state: DaemonState, now: float, *, updated_at: float) -> list[str]:
    """List the peers that get what this daemon read.

    In the leading zone these include the readers of the other zones and their successors, so
    that one zone reads for all. Daemons far behind in rank read at the same time, and for
    themselves alone: in a large zone, what each sent to all would keep them from reading. One
    of them sends updates once none came for as long as those before it would have waited.

    :param updated_at: monotonic second of the last update that this daemon received
    """
    ranking = rank_by_rendezvous(READER_SUBJECT, select_alive(state, now, state.zone))
    if state.name not in ranking:
        return []
    rank = ranking.index(state.name)
    if rank > LAST_WAITING_RANK and not is_update_overdue(updated_at, rank, now):
        return []
    receivers = select_zone_peers(state, now)
    if find_leading_zone(state, now) != state.zone:
        return receivers
    for zone in _list_remote_zones(state):
        receivers += list_owners(state, READER_SUBJECT, now, zone)
    return receivers


def select_relay_receivers(state: DaemonState, now: float) -> list[str]:
    """List the peers to which this daemon relays an update that another zone sent."""
    readers = rank_by_rendezvous(READER_SUBJECT, select_alive(state, now, state.zone))
    return select_zone_peers(state, now) if readers[:1] == [state.name] else []


def find_leading_zone(state: DaemonState, now: float) -> str:
    """Return the availability zone whose reader reads for all."""
    alive = [zone for zone in _list_remote_zones(state) if select_alive(state, now, zone)]
    return rank_by_rendezvous(READER_SUBJECT, [*alive, state.zone])[0]


def _list_remote_zones(state: DaemonState) -> list[str]:
    return sorted({peer.zone for peer in state.peers.listed.values()} - {state.zone})
