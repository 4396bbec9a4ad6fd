"""This daemon's view of the other daemons; a wrong view costs only speed."""

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
    :param incarnation: which run of it sent the last message
    :param leaving: whether that run announced that it stops
    :param can_decide: whether it has a configuration and backend servers
    :param listed_leaving: whether the platform lists its VM as leaving
    :param is_suspected: whether a call or ping to it went unanswered and no message came since
    :param seen_at: monotonic second of its last message
    :param heartbeat_interval: seconds after which it sends the next heartbeat here
    :param revision: revision of the configuration that it has in force, or was sent
    :param counted: backend servers where its last heartbeat counted requests
    :param votes: daemon that it takes for the owner of each service with cold servers
    :param pinged_at: monotonic second of the last ping, until a message of it arrives
    :param pending_calls: ids of calls sent to it whose answers are outstanding
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
    heartbeat_interval: float = 0.0
    revision: int = 0
    counted: tuple[str, ...] = ()
    votes: dict[str, str] = field(default_factory=dict)
    pinged_at: float | None = None
    pending_calls: set[int] = field(default_factory=set)


@dataclass(kw_only=True, slots=True)
class PeerTable:
    """All known daemons; this one by name only.

    :param name: name of this daemon
    :param listed: peers by name
    :param removed: names of VMs that the platform lists as gone, so that they cannot act
    :param leaving: whether this daemon is stopping
    """

    name: str
    listed: dict[str, Peer] = field(default_factory=dict)
    removed: set[str] = field(default_factory=set)
    leaving: bool = False

    def select_usable(self) -> list[str]:
        """List the daemons that may get new work, this one included."""
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
        peer.pinged_at = None
        peer.is_suspected = False

    def suspect(self, name: str) -> None:
        """Exclude a peer until its next message."""
        peer = self.listed.get(name)
        if peer is not None:
            peer.is_suspected = True

    def can_use(self, name: str) -> bool:
        """Return whether a peer is listed and not suspected."""
        peer = self.listed.get(name)
        return peer is not None and not peer.is_suspected
