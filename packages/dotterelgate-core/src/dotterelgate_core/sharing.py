"""Filter that applies peers' heartbeats and load updates to the shared view."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_core.control_messages import ControlTicked
from dotterelgate_core.messages import Decision, SlotFreed
from dotterelgate_core.peers import Peer
from dotterelgate_core.statements import apply_peer_statements
from dotterelgate_core.warm_up.coldness import apply_announcement

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.loads import LoadReport
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState
    from dotterelgate_core.statements import PeerStatements

__all__ = [
    "HeartbeatReceived",
    "LoadsReceived",
    "ServerLoad",
    "find_remote_interval_factor",
    "find_zone_interval_factor",
    "list_freed_slots",
    "make_sharing_filter",
    "select_alive",
    "select_zone_peers",
]

# Within an availability zone, heartbeats come every 0.24 s, or more rarely as they state;
# four in a row may be lost.
SILENCE_SECONDS = 1.2
SILENCE_INTERVALS = 5
# Remote zones receive every eighth heartbeat while there are few peers; one may be lost.
REMOTE_SILENCE_SECONDS = 4.5
# Remote peers up to which heartbeats and loads go out at the full rate: traffic between
# zones costs, and heartbeats between all pairs grow with the square of the daemons.
REMOTE_PEERS = 16
# In a zone of twice as many peers or more, most pairs of daemons exchange heartbeats more
# rarely, or their number would grow with the square of the zone.
ZONE_PEERS = 10
# Interval at which counts that no peer repeats are removed.
EXPIRY_INTERVAL_SECONDS = 0.2


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerLoad:
    """A peer's update on one backend server.

    :param in_flight: requests that the peer has at it
    :param report: its newest report, if the peer received one since its last update
    :param age: seconds since that report
    :param failed: whether a request of the peer failed at it
    :param pace: ratio of measured to usual time, if an answer came
    :param statements: what the peer was told by the backend server, if anything is new
    """

    server: str
    in_flight: int
    report: LoadReport | None = None
    age: float = 0.0
    failed: bool = False
    pace: float | None = None
    statements: PeerStatements | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadsReceived:
    """A peer sent changed loads.

    :param is_remote_zone: whether the loads are totals of another availability zone
    """

    now: float
    peer: str
    loads: tuple[ServerLoad, ...]
    is_remote_zone: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatReceived:
    """A peer is alive.

    :param in_flight: its requests at each backend server where it has any
    :param can_decide: whether it has a configuration and backend servers
    :param interval: seconds until its next heartbeat
    :param revision: revision of the configuration that it has in force
    :param votes: daemon that it takes for the owner of each service with cold servers
    :param cold: seconds for which backend servers of services that it owns are still cold
    """

    now: float
    peer: str
    incarnation: str
    address: str
    zone: str
    is_leaving: bool
    in_flight: dict[str, int]
    can_decide: bool = True
    interval: float = 0.0
    revision: int = 0
    votes: dict[str, str] = field(default_factory=dict)
    cold: dict[str, float] = field(default_factory=dict)


def find_remote_interval_factor(state: DaemonState) -> int:
    """Compute how many times longer sending intervals to remote zones are, by the peers there."""
    remote = sum(peer.zone != state.zone for peer in state.peers.listed.values())
    return max(1, -(-remote // REMOTE_PEERS))


def find_zone_interval_factor(state: DaemonState) -> int:
    """Compute how many times longer heartbeat intervals are between most daemons of the zone."""
    peers = sum(peer.zone == state.zone for peer in state.peers.listed.values())
    return max(1, peers // ZONE_PEERS)


def select_alive(state: DaemonState, now: float, zone: str) -> list[str]:
    """List the daemons of a zone with a recent heartbeat, this one included."""
    if zone != state.zone:
        silence = REMOTE_SILENCE_SECONDS * find_remote_interval_factor(state)
        return [
            peer.name
            for peer in state.peers.listed.values()
            if peer.zone == zone and not peer.leaving and now - peer.seen_at <= silence
        ]
    alive = [peer.name for peer in _list_heard_peers(state, now) if not peer.leaving]
    if not state.peers.leaving:
        alive.append(state.name)
    return alive


def _count_live_zones(state: DaemonState, now: float) -> int:
    silence = REMOTE_SILENCE_SECONDS * find_remote_interval_factor(state)
    alive = (
        peer.zone
        for peer in state.peers.listed.values()
        if not peer.leaving and now - peer.seen_at <= silence
    )
    return len({state.zone, *alive})


def select_zone_peers(state: DaemonState, now: float) -> list[str]:
    """List the peers of the own zone that accept requests, those that are stopping included."""
    return [peer.name for peer in _list_heard_peers(state, now)]


def _list_heard_peers(state: DaemonState, now: float) -> list[Peer]:
    # The first heartbeat of a daemon does not state when the next one follows.
    unstated = SILENCE_SECONDS * find_zone_interval_factor(state)
    heard = []
    for peer in state.peers.listed.values():
        stated = SILENCE_INTERVALS * peer.heartbeat_interval
        silence = max(SILENCE_SECONDS, stated) if stated else unstated
        if peer.zone == state.zone and now - peer.seen_at <= silence:
            heard.append(peer)
    return heard


def make_sharing_filter(state: DaemonState) -> Filter:
    """Build the filter that applies peers' messages to the shared view of the load."""
    expired_at = float("-inf")

    def share(message: Message) -> Iterable[Message]:
        if isinstance(message, LoadsReceived):
            return _apply_loads(state, message)
        if isinstance(message, HeartbeatReceived):
            return _apply_heartbeat(state, message)
        if isinstance(message, ControlTicked):
            nonlocal expired_at
            if message.now - expired_at < EXPIRY_INTERVAL_SECONDS:
                return (message,)
            expired_at = message.now
            state.zone_daemons = max(1, len(select_alive(state, message.now, state.zone)))
            state.live_zones = _count_live_zones(state, message.now)
            return [*_expire_counts(state, message.now), message]
        return (message,)

    return share


def _apply_loads(state: DaemonState, received: LoadsReceived) -> list[Message]:
    services: dict[str, None] = {}
    changes: list[Message] = []
    for load in received.loads:
        server = state.servers.states.get(load.server)
        if server is None:
            continue
        if received.is_remote_zone:
            _apply_remote_load(state, server, load, received)
        else:
            _apply_load(server, load, received)
        if load.statements is not None:
            changes += apply_peer_statements(server, load.statements, received.now, received.peer)
        services[server.service] = None
    return [*changes, *list_freed_slots(state, services, received.now)]


def _apply_load(server: ServerState, load: ServerLoad, received: LoadsReceived) -> None:
    server.view.set_peer_count(received.peer, load.in_flight, received.now)
    if load.report is not None:
        server.view.apply_report(load.report, server.in_flight, received.now - load.age)
    if load.failed or load.pace is not None:
        server.view.update_failure_share(failed=load.failed, now=received.now)
    if load.pace is not None:
        server.view.update_pace(load.pace, received.now)


def _apply_remote_load(
    state: DaemonState, server: ServerState, load: ServerLoad, received: LoadsReceived
) -> None:
    """Apply the totals of another zone, and mark them to be sent within this one."""
    if load.report is None or server.server.zone == state.zone:
        return
    server.view.apply_report(load.report, server.in_flight, received.now - load.age)
    server.view.has_unsent_report = True
    state.servers.sampled.add(server.server.name)


def _apply_heartbeat(state: DaemonState, received: HeartbeatReceived) -> list[Message]:
    peer = state.peers.listed.get(received.peer)
    messages: list[Message] = []
    if peer is None or peer.incarnation != received.incarnation:
        state.peers.listed[received.peer] = peer = Peer(
            name=received.peer, address=received.address, zone=received.zone, seen_at=received.now
        )
        _forget_peer(state, received.peer)
        sentence = f"{received.peer} of {received.zone} is alive"
        messages.append(Decision(part="sharing", sentence=sentence, target=received.peer))
    state.peers.note_heartbeat(received.peer, received.incarnation, received.now)
    peer.address = received.address
    peer.leaving = received.is_leaving
    peer.can_decide = received.can_decide
    peer.heartbeat_interval = received.interval
    peer.revision = received.revision
    if received.zone == state.zone:
        _apply_counts(state, peer, received)
        peer.votes = received.votes
        messages += _apply_announcements(state, received)
    return messages


def _apply_announcements(state: DaemonState, received: HeartbeatReceived) -> list[Message]:
    lines: list[Message] = []
    for name, seconds in received.cold.items():
        server = state.servers.states.get(name)
        if server is not None:
            lines += apply_announcement(server, seconds, received.now, peer=received.peer)
    return lines


def _apply_counts(state: DaemonState, peer: Peer, received: HeartbeatReceived) -> None:
    for name in {*peer.counted, *received.in_flight}:
        server = state.servers.states.get(name)
        if server is None:
            continue
        count = received.in_flight.get(name, 0)
        server.view.set_peer_count(received.peer, count, received.now)
        if count:
            state.times.routed_at[server.service] = received.now
    peer.counted = tuple(received.in_flight)


def _forget_peer(state: DaemonState, name: str) -> None:
    for server in state.servers.states.values():
        server.view.set_peer_count(name, 0, 0.0)


def _expire_counts(state: DaemonState, now: float) -> list[Message]:
    freed: dict[str, None] = {}
    for server in state.servers.states.values():
        if server.view.remove_stale_counts(now):
            freed[server.service] = None
    return list_freed_slots(state, freed, now)


def list_freed_slots(state: DaemonState, services: Iterable[str], now: float) -> list[Message]:
    """Report free slots of the services that requests wait for."""
    return [
        SlotFreed(now=now, service=name) for name in services if state.waiting.is_waited_for(name)
    ]
