"""The other daemons as this one sees them; wrong views only cost speed."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["Peer", "PeerTable", "rank_by_rendezvous"]

SUSPICION_SECONDS = 2.0


def rank_by_rendezvous(subject: str, names: Iterable[str]) -> list[str]:
    """Order names by rendezvous hashing, the preferred one first."""
    return sorted(names, key=lambda name: xxhash.xxh3_64_intdigest(f"{subject}\0{name}".encode()))


@dataclass(kw_only=True, slots=True)
class Peer:
    """One other daemon.

    :param address: where it listens for peers
    :param leaving: whether it or the platform said that it stops
    :param suspected_until: monotonic second until which it is not chosen
    :param heard_at: monotonic second of its last message
    :param asked_at: monotonic second of the oldest question that it has not answered
    """

    name: str
    address: str
    zone: str = ""
    leaving: bool = False
    suspected_until: float = 0.0
    heard_at: float = 0.0
    asked_at: float | None = None
    waiting: set[int] = field(default_factory=set)


@dataclass(kw_only=True, slots=True)
class PeerTable:
    """All daemons known, this one included by name only.

    :param name: name of this daemon
    :param listed: peers by name
    :param gone: names of VMs that the platform says cannot act any more
    :param leaving: whether this daemon stops
    """

    name: str
    listed: dict[str, Peer] = field(default_factory=dict)
    gone: set[str] = field(default_factory=set)
    leaving: bool = False

    def select_usable(self, now: float) -> list[str]:
        """Name the daemons that new work may go to, this one included."""
        usable = [
            peer.name
            for peer in self.listed.values()
            if not peer.leaving and peer.suspected_until <= now
        ]
        if not self.leaving:
            usable.append(self.name)
        return usable

    def hear(self, name: str, now: float) -> None:
        """Note that a message of a peer arrived."""
        peer = self.listed.get(name)
        if peer is None:
            return
        peer.heard_at = now
        peer.asked_at = None
        peer.suspected_until = 0.0

    def suspect(self, name: str, now: float) -> None:
        """Choose others than this peer for a while."""
        peer = self.listed.get(name)
        if peer is not None:
            peer.suspected_until = now + SUSPICION_SECONDS
            peer.asked_at = None

    def can_use(self, name: str, now: float) -> bool:
        """Tell whether a peer is known and not suspected."""
        peer = self.listed.get(name)
        return peer is not None and peer.suspected_until <= now
