"""Ranking of the daemons that read the registry, and the peers that get what they read."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core.owners import list_owners
from dotterelgate_core.peers import rank_by_rendezvous
from dotterelgate_core.sharing import select_alive, select_zone_peers

if TYPE_CHECKING:
    from dotterelgate_core.state import DaemonState
    from dotterelgate_core.store_reading import ReadingState

__all__ = [
    "LAST_WAITING_RANK",
    "READER_SUBJECT",
    "find_leading_zone",
    "find_rank",
    "is_update_overdue",
    "select_behind",
    "select_read_receivers",
    "select_relay_receivers",
]

READER_SUBJECT = "registry"
# The next daemon in rank reads after this long without an update of the reader; each
# further one waits longer.
UPDATE_TIMEOUT_SECONDS = 0.8
RANK_DELAY_SECONDS = 0.2
# In a large zone many daemons that rank first may be lost at once. While the store answers, all
# that rank behind this one read at its time, within the platform's bound on draining, 2 s.
LAST_WAITING_RANK = 5
# Interval at which the rank among the readers is recomputed.
RANKING_INTERVAL_SECONDS = 0.2


def find_rank(state: DaemonState, reading: ReadingState, now: float) -> int:
    """Return how many daemons of the zone rank before this one as readers."""
    if now - reading.ranked_at >= RANKING_INTERVAL_SECONDS:
        ranking = rank_by_rendezvous(READER_SUBJECT, select_alive(state, now, state.zone))
        reading.rank = ranking.index(state.name) if state.name in ranking else len(ranking)
        reading.ranked_at = now
    return reading.rank


def is_update_overdue(last_at: float, rank: int, now: float) -> bool:
    """Return whether the daemons that rank before this one would have sent an update by now."""
    return now - last_at >= UPDATE_TIMEOUT_SECONDS + RANK_DELAY_SECONDS * rank


def select_read_receivers(state: DaemonState, reading: ReadingState, now: float) -> list[str]:
    """List the peers that get what this daemon read.

    In the leading zone these include the readers of the other zones and their successors, so that
    one zone reads for all; so they do elsewhere while no other zone is heard, since the store may
    refuse all daemons of the leading one. Daemons far behind in rank read at the same time, and
    for themselves alone: in a large zone, what each sent to all would keep them from reading. One
    of them sends updates once none came for as long as those before it would have waited.
    """
    rank = find_rank(state, reading, now)
    updated_at = max(reading.started_at, reading.update_received_at)
    if rank > LAST_WAITING_RANK and not is_update_overdue(updated_at, rank, now):
        return []
    receivers = select_zone_peers(state, now)
    is_led = not is_update_overdue(reading.remote_update_at, 1, now)
    if is_led and find_leading_zone(state, now) != state.zone:
        return receivers
    for zone in _list_remote_zones(state):
        receivers += list_owners(state, READER_SUBJECT, now, zone)
    return receivers


def select_relay_receivers(state: DaemonState, reading: ReadingState, now: float) -> list[str]:
    """List the peers to which this daemon relays an update that another zone sent."""
    return select_zone_peers(state, now) if find_rank(state, reading, now) == 0 else []


def select_behind(state: DaemonState, names: list[str]) -> list[str]:
    """List the peers that need the configuration in force, and note that they are sent it.

    One that does not get it requests it once an update or heartbeat names a newer revision.
    """
    revision = state.configuration.revision
    behind = [name for name in names if state.peers.listed[name].revision < revision]
    for name in behind:
        state.peers.listed[name].revision = revision
    return behind


def find_leading_zone(state: DaemonState, now: float) -> str:
    """Return the availability zone whose reader reads for all."""
    alive = [zone for zone in _list_remote_zones(state) if select_alive(state, now, zone)]
    return rank_by_rendezvous(READER_SUBJECT, [*alive, state.zone])[0]


def _list_remote_zones(state: DaemonState) -> list[str]:
    return sorted({peer.zone for peer in state.peers.listed.values()} - {state.zone})
