"""The other daemons as this one sees them; wrong views only cost speed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Peer", "PeerTable", "rank_by_rendezvous"]


def rank_by_rendezvous(subject: str, names: Iterable[str]) -> list[str]:
    """Order names by rendezvous hashing, the preferred one first."""
    return sorted(names, key=lambda name: xxhash.xxh3_64_intdigest(f"{subject}\0{name}".encode()))


@dataclass(kw_only=True, slots=True)
class Peer:
    """One other daemon.

    :param address: where it listens for peers
    :param incarnation: which run of it was heard last
    :param leaving: whether that run said that it stops
    :param can_decide: whether it knows a configuration and backend servers
    :param listed_leaving: whether the platform lists its VM as leaving
    :param is_suspected: whether it left a question unanswered and was not heard since
    :param seen_at: monotonic second of its last message
    :param asked_at: monotonic second of the oldest question that it has not answered
    """

    name: str
    address: str
    zone: str = ""
    incarnation: str = ""
    leaving: bool = False
    can_decide: bool = True
    listed_leaving: bool = False
    is_suspected: bool = False
    seen_at: float = 0.0
    asked_at: float | None = None
    waiting: set[int] = field(default_factory=set)


@dataclass(kw_only=True, slots=True)
class PeerTable:
    """All daemons known, this one included by name only.

    :param name: name of this daemon
    :param listed: peers by name
    :param removed: names of VMs that the platform says cannot act any more
    :param leaving: whether this daemon stops
    """

    name: str
    listed: dict[str, Peer] = field(default_factory=dict)
    removed: set[str] = field(default_factory=set)
    leaving: bool = False

    def select_usable(self) -> list[str]:
        """Name the daemons that new work may go to, this one included."""
        usable = [
            peer.name
            for peer in self.listed.values()
            if not (peer.leaving or peer.listed_leaving or peer.is_suspected)
        ]
        if not self.leaving:
            usable.append(self.name)
        return usable

    def note_heartbeat(self, name: str, incarnation: str, now: float) -> None:
        """Note that a message of a peer arrived; a new run is not leaving."""
        peer = self.listed.get(name)
        if peer is None:
            return
        if peer.incarnation != incarnation:
            peer.incarnation = incarnation
            peer.leaving = False
        peer.seen_at = now
        peer.asked_at = None
        peer.is_suspected = False

    def suspect(self, name: str) -> None:
        """Choose others than this peer until it is heard again."""
        peer = self.listed.get(name)
        if peer is not None:
            peer.is_suspected = True

    def can_use(self, name: str) -> bool:
        """Tell whether a peer is known and not suspected."""
        peer = self.listed.get(name)
        return peer is not None and not peer.is_suspected
