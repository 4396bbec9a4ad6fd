"""Filter that takes in what other daemons say of themselves and of the load."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelgate_core.control_messages import ControlTicked
from dotterelgate_core.messages import Decision, SlotFreed
from dotterelgate_core.peers import Peer

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.loads import LoadReport
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState

__all__ = [
    "HeartbeatReceived",
    "LoadsReceived",
    "ServerLoad",
    "find_remote_interval_factor",
    "free_slots",
    "make_sharing_filter",
    "select_alive",
    "select_zone_peers",
]

# Heartbeats come every 0.25 s in an availability zone; four in a row may be lost.
SILENCE_SECONDS = 1.2
# Other zones hear every eighth of them, where there are few peers; one in a row may be
# lost.
REMOTE_SILENCE_SECONDS = 4.5
# Peers in other zones that may be told at the full rate: bytes between zones cost, and
# heartbeats from each to each grow with the square of the daemons.
REMOTE_PEERS = 16
# Counts that nobody repeats are looked for this often.
FORGET_SECONDS = 0.2


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerLoad:
    """What a peer knows of one backend server.

    :param in_flight: requests that the peer has at it
    :param report: its newest report, if the peer got one since its last message
    :param age: seconds since that report
    :param failed: whether a request of the peer failed at it
    :param pace: measured time against the usual one, if an answer came
    """

    server: str
    in_flight: int
    report: LoadReport | None = None
    age: float = 0.0
    failed: bool = False
    pace: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadsReceived:
    """A peer tells changed loads.

    :param is_remote_zone: whether it speaks for another availability zone as a whole
    """

    now: float
    peer: str
    loads: tuple[ServerLoad, ...]
    is_remote_zone: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class HeartbeatReceived:
    """A peer is alive.

    :param in_flight: its requests at each backend server where it has any
    :param can_decide: whether it knows a configuration and backend servers
    """

    now: float
    peer: str
    incarnation: str
    address: str
    zone: str
    is_leaving: bool
    in_flight: dict[str, int]
    can_decide: bool = True


def find_remote_interval_factor(state: DaemonState) -> int:
    """Find how many times more rarely other zones are told, by the number of peers there."""
    remote = sum(peer.zone != state.zone for peer in state.peers.listed.values())
    return max(1, -(-remote // REMOTE_PEERS))


def select_alive(state: DaemonState, now: float, zone: str) -> list[str]:
    """Name the daemons of a zone that were heard lately, this one included."""
    silence = SILENCE_SECONDS
    if zone != state.zone:
        silence = REMOTE_SILENCE_SECONDS * find_remote_interval_factor(state)
    alive = [
        peer.name
        for peer in state.peers.listed.values()
        if peer.zone == zone and not peer.leaving and now - peer.seen_at <= silence
    ]
    if zone == state.zone and not state.peers.leaving:
        alive.append(state.name)
    return alive


def select_zone_peers(state: DaemonState, now: float) -> list[str]:
    """Name the peers of the own zone that take requests; those that stop still do."""
    return [
        peer.name
        for peer in state.peers.listed.values()
        if peer.zone == state.zone and now - peer.seen_at <= SILENCE_SECONDS
    ]


def make_sharing_filter(state: DaemonState) -> Filter:
    """Make the filter from peers' messages to the shared view of the load."""
    forgot_at = float("-inf")

    def share(message: Message) -> Iterable[Message]:
        if isinstance(message, LoadsReceived):
            return _take_loads(state, message)
        if isinstance(message, HeartbeatReceived):
            return _take_heartbeat(state, message)
        if isinstance(message, ControlTicked):
            nonlocal forgot_at
            if message.now - forgot_at < FORGET_SECONDS:
                return (message,)
            forgot_at = message.now
            state.zone_daemons = max(1, len(select_alive(state, message.now, state.zone)))
            return [*_forget_old(state, message.now), message]
        return (message,)

    return share


def _take_loads(state: DaemonState, heard: LoadsReceived) -> list[Message]:
    services: dict[str, None] = {}
    for load in heard.loads:
        server = state.servers.states.get(load.server)
        if server is None:
            continue
        if heard.is_remote_zone:
            _apply_remote_load(state, server, load, heard)
        else:
            _take_load(server, load, heard)
        services[server.service] = None
    return free_slots(state, services, heard.now)


def _take_load(server: ServerState, load: ServerLoad, heard: LoadsReceived) -> None:
    server.view.note_peer(heard.peer, load.in_flight, heard.now)
    if load.report is not None:
        server.view.note_report(load.report, server.in_flight, heard.now - load.age)
    if load.failed or load.pace is not None:
        server.view.note_outcome(failed=load.failed, now=heard.now)
    if load.pace is not None:
        server.view.note_pace(load.pace, heard.now)


def _apply_remote_load(
    state: DaemonState, server: ServerState, load: ServerLoad, heard: LoadsReceived
) -> None:
    """Take the sum of another zone, and pass it on within this one."""
    if load.report is None or server.server.zone == state.zone:
        return
    server.view.note_report(load.report, server.in_flight, heard.now - load.age)
    server.view.is_untold = True
    state.servers.sampled.add(server.server.name)


def _take_heartbeat(state: DaemonState, heard: HeartbeatReceived) -> list[Message]:
    peer = state.peers.listed.get(heard.peer)
    messages: list[Message] = []
    if peer is None or peer.incarnation != heard.incarnation:
        state.peers.listed[heard.peer] = peer = Peer(
            name=heard.peer, address=heard.address, zone=heard.zone, seen_at=heard.now
        )
        _forget_peer(state, heard.peer)
        sentence = f"{heard.peer} of {heard.zone} is alive"
        messages.append(Decision(part="sharing", sentence=sentence, target=heard.peer))
    state.peers.note_heartbeat(heard.peer, heard.incarnation, heard.now)
    peer.address = heard.address
    peer.leaving = heard.is_leaving
    peer.can_decide = heard.can_decide
    if heard.zone == state.zone:
        _take_counts(state, heard)
    return messages


def _take_counts(state: DaemonState, heard: HeartbeatReceived) -> None:
    for name, server in state.servers.states.items():
        count = heard.in_flight.get(name, 0)
        if not count and heard.peer not in server.view.peers:
            continue
        server.view.note_peer(heard.peer, count, heard.now)
        if count:
            state.times.routed_at[server.service] = heard.now


def _forget_peer(state: DaemonState, name: str) -> None:
    for server in state.servers.states.values():
        server.view.note_peer(name, 0, 0.0)


def _forget_old(state: DaemonState, now: float) -> list[Message]:
    freed: dict[str, None] = {}
    for server in state.servers.states.values():
        if server.view.forget_old(now):
            freed[server.service] = None
    return free_slots(state, freed, now)


def free_slots(state: DaemonState, services: Iterable[str], now: float) -> list[Message]:
    """Say that services may have room, those that no request waits for left out."""
    return [
        SlotFreed(now=now, service=name) for name in services if state.waiting.is_waited_for(name)
    ]
