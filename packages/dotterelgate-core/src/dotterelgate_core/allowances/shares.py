"""Parts of the quotas: each zone lends its own, whether or not it reaches the others."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_core.messages import Decision
from dotterelgate_core.sharing import (
    REMOTE_SILENCE_SECONDS,
    find_remote_interval_factor,
    find_zone_interval_factor,
)

if TYPE_CHECKING:
    from dotterelgate_core.peers import Peer
    from dotterelgate_core.state import DaemonState

__all__ = ["PAUSE_SECONDS", "ShareView", "update_shares"]

UPDATE_INTERVAL_SECONDS = 0.2
# A daemon that was not run for this long may have been replaced as lender meanwhile.
PAUSE_SECONDS = 1.0
# A peer of the zone is passed over as lender after three lost heartbeats.
SILENCE_SECONDS = 0.77
SILENCE_INTERVALS = 3.2
# Until the store's entries of the daemons were read, peers that were not heard are not known.
DIRECTORY_WAIT_SECONDS = 60.0
# Daemons that are silent for longer are gone if more than half of their zone is heard. A part of
# a zone that hears less than half of it gives up most of its share before.
GONE_SECONDS = 60.0
MINORITY_SECONDS = 45.0
MINORITY_FACTOR = 0.1
LOGGED_CHANGE = 0.02
HALF = 0.5


@dataclass(kw_only=True, slots=True)
class ShareView:
    """The daemons that this one counts, and the part of the quotas that follows.

    :param started_at: monotonic second of the first update
    :param updated_at: monotonic second of the last update
    :param changed_at: monotonic second since which the same daemons of the zone can lend
    :param alive: number of live daemons of the own zone, this one included
    :param able: those of them that can decide, or all if none can
    :param zone_part: share of the own zone's daemons that are alive, 0 to 1
    :param share: part of all quotas that the lender of the own zone lends, 0 to 1
    :param own_share: part that this daemon may use by itself when no lender answers
    :param entries: names in the store's entries of daemons, ``None`` until they were read
    """

    started_at: float | None = None
    updated_at: float = float("-inf")
    changed_at: float = float("-inf")
    alive: int = 0
    able: frozenset[str] = frozenset()
    zone_part: float = 0.0
    share: float = 0.0
    own_share: float = 0.0
    entries: frozenset[str] | None = None
    logged_share: float = 0.0
    minority_since: float | None = None
    known: dict[str, int] = field(default_factory=dict)

    @property
    def has_majority(self) -> bool:
        """Whether more than half of the zone is heard; at most one part of it is."""
        return self.zone_part > HALF


def update_shares(state: DaemonState, now: float, *, at_once: bool = False) -> list[Decision]:
    """Update the view of the shares, at most at an interval.

    :returns: a line where the share changed
    """
    view = state.quotas.view
    if not at_once and now - view.updated_at < UPDATE_INTERVAL_SECONDS:
        return []
    if view.started_at is None:
        view.started_at = now
    alive = _list_alive(state, now)
    able = frozenset(each for each in alive if _can_lend(state, each)) or frozenset(alive)
    if able != view.able or now - view.updated_at > PAUSE_SECONDS:
        view.able = able
        view.changed_at = now
    view.alive = len(alive)
    view.updated_at = now
    view.known = _count_known(state, now)
    _compute_shares(state, now)
    if abs(view.share - view.logged_share) < LOGGED_CHANGE:
        return []
    view.logged_share = view.share
    sentence = f"this zone lends {view.share:.3f} of the quotas"
    facts = {"alive": view.alive, "zone": view.known.get(state.zone, 0), "all": _sum_known(view)}
    return [Decision(part="quotas", sentence=sentence, facts=facts)]


def _sum_known(view: ShareView) -> int:
    return sum(view.known.values())


def _compute_shares(state: DaemonState, now: float) -> None:
    view = state.quotas.view
    assert view.started_at is not None
    view.zone_part = min(1.0, view.alive / max(1, view.known.get(state.zone, 0)))
    if view.zone_part >= HALF:
        view.minority_since = None
    elif view.minority_since is None:
        view.minority_since = now
    if view.entries is None and now - view.started_at < DIRECTORY_WAIT_SECONDS:
        view.share = view.own_share = 0.0
        return
    known = max(1, _sum_known(view))
    view.share = view.alive / known
    # Daemons that stop use it as well.
    view.own_share = 1.0 / max(known, 1 + len(state.peers.listed))
    if view.minority_since is not None and now - view.minority_since > MINORITY_SECONDS:
        view.share *= MINORITY_FACTOR
        view.own_share *= MINORITY_FACTOR


def _list_alive(state: DaemonState, now: float) -> list[str]:
    # The first heartbeat of a daemon does not state when the next one follows.
    unstated = SILENCE_SECONDS * find_zone_interval_factor(state)
    all_leave = _all_leave(state)
    alive = []
    for peer in state.peers.listed.values():
        stated = SILENCE_INTERVALS * peer.heartbeat_interval
        silence = max(SILENCE_SECONDS, stated) if stated else unstated
        is_counted = peer.zone == state.zone and (all_leave or not peer.leaving)
        if is_counted and now - peer.seen_at <= silence:
            alive.append(peer.name)
    if all_leave or not state.peers.leaving:
        alive.append(state.name)
    return alive


def _all_leave(state: DaemonState) -> bool:
    """Return whether all daemons stop; then they lend as before, until they have stopped."""
    return state.peers.leaving and all(peer.leaving for peer in state.peers.listed.values())


def _can_lend(state: DaemonState, name: str) -> bool:
    return state.can_decide if name == state.name else state.peers.listed[name].can_decide


def _count_known(state: DaemonState, now: float) -> dict[str, int]:
    """Count the daemons by zone, without those that leave or are gone.

    Those that were not heard since the start have the empty zone.
    """
    all_leave = _all_leave(state)
    zones: dict[str, list[Peer]] = {state.zone: []}
    for peer in state.peers.listed.values():
        if all_leave or not peer.leaving:
            zones.setdefault(peer.zone, []).append(peer)
    heard_within = REMOTE_SILENCE_SECONDS * find_remote_interval_factor(state)
    known = {zone: _count_zone(peers, now, heard_within) for zone, peers in zones.items()}
    if all_leave or not state.peers.leaving:
        known[state.zone] += 1
    unheard = _count_unheard(state, sum(known.values()), now)
    if unheard:
        known[""] = known.get("", 0) + unheard
    return known


def _count_zone(peers: list[Peer], now: float, heard_within: float) -> int:
    heard = sum(now - peer.seen_at <= heard_within for peer in peers)
    if heard <= HALF * len(peers):
        return len(peers)
    return sum(now - peer.seen_at <= max(GONE_SECONDS, heard_within) for peer in peers)


def _count_unheard(state: DaemonState, heard: int, now: float) -> int:
    view = state.quotas.view
    assert view.started_at is not None
    unheard = len((view.entries or frozenset()) - state.peers.listed.keys() - {state.name})
    is_gone = now - view.started_at > GONE_SECONDS and heard > unheard
    return 0 if is_gone else unheard
