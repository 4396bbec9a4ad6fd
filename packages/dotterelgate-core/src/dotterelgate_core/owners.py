"""Owners of the services' queues in each zone; disagreement on them only costs speed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_core.peers import rank_by_rendezvous
from dotterelgate_core.policies import GRANTED_POLICIES
from dotterelgate_core.sharing import select_alive, select_zone_peers

if TYPE_CHECKING:
    from dotterelgate_core.state import DaemonState

__all__ = [
    "OwnerTable",
    "find_owner",
    "find_ranked_first",
    "is_granted",
    "is_ranked_first",
    "list_owners",
    "select_listeners",
]

# The owner, and its successor when it fails.
OWNER_COUNT = 2
RANKING_INTERVAL_SECONDS = 0.2
# Share of a zone's daemons that can decide from which on only these are owners. An owner that
# cannot decide denies what it is asked, and its successor or the asker itself decides.
DECIDING_SHARE = 0.5
# Time for which an unresponsive owner is passed over; heartbeats show a failure within 1.2 s.
SUSPICION_SECONDS = 1.0


@dataclass(kw_only=True, slots=True)
class OwnerTable:
    """Rankings of the daemons for each service and zone.

    :param rankings: names by service and zone, the owner first
    :param ranked_at: monotonic second of each ranking
    :param suspected_until: monotonic second until which a daemon is passed over
    """

    rankings: dict[tuple[str, str], list[str]] = field(default_factory=dict)
    ranked_at: dict[tuple[str, str], float] = field(default_factory=dict)
    suspected_until: dict[str, float] = field(default_factory=dict)

    def suspect(self, name: str, now: float) -> None:
        """Pass over a daemon that left requests unanswered."""
        self.suspected_until[name] = now + SUSPICION_SECONDS


def list_owners(state: DaemonState, service: str, now: float, zone: str) -> list[str]:
    """List the owner of a service's queue in a zone and its successor."""
    table = state.owners
    ranking = _rank(state, service, now, zone)
    if not table.suspected_until:
        return ranking[:OWNER_COUNT]
    return [name for name in ranking if table.suspected_until.get(name, now) <= now][:OWNER_COUNT]


def _rank(state: DaemonState, service: str, now: float, zone: str) -> list[str]:
    table = state.owners
    key = (service, zone)
    if now - table.ranked_at.get(key, float("-inf")) >= RANKING_INTERVAL_SECONDS:
        table.rankings[key] = rank_by_rendezvous(service, _select_deciding(state, now, zone))
        table.ranked_at[key] = now
    return table.rankings[key]


def _select_deciding(state: DaemonState, now: float, zone: str) -> list[str]:
    """List the daemons of a zone that can decide, or all daemons if few can.

    When all daemons of a zone learn of the first backend servers, each knows it of itself
    first, and would take itself for the owner.
    """
    alive = select_alive(state, now, zone)
    deciding = [
        name
        for name in alive
        if (state.can_decide if name == state.name else state.peers.listed[name].can_decide)
    ]
    return deciding if len(deciding) >= DECIDING_SHARE * len(alive) else alive


def find_owner(state: DaemonState, service: str, now: float) -> str:
    """Return the owner of a service's queue in the own zone, or this daemon if there is none."""
    owners = list_owners(state, service, now, state.zone)
    return owners[0] if owners else state.name


def find_ranked_first(state: DaemonState, service: str, now: float) -> str:
    """Return the daemon that ranks first as owner of a service's queue in the own zone.

    Daemons that pass over different owners, each for a while, agree on the ranking.
    """
    ranking = _rank(state, service, now, state.zone)
    return ranking[0] if ranking else ""


def is_ranked_first(state: DaemonState, service: str, now: float) -> bool:
    """Return whether this daemon ranks first as owner of a service's queue in its zone."""
    return find_ranked_first(state, service, now) == state.name


def is_granted(state: DaemonState, service: str) -> bool:
    """Return whether the owner of a service's queue grants its slots."""
    configured = state.configuration.find_service(service)
    return configured is not None and configured.policy in GRANTED_POLICIES


def select_listeners(state: DaemonState, service: str, now: float) -> list[str]:
    """List the peers of the own zone that need load updates of a service."""
    if not is_granted(state, service):
        return select_zone_peers(state, now)
    owners = list_owners(state, service, now, state.zone)
    return [name for name in owners if name != state.name]
