"""Filter that takes the backend servers of evacuated zones out of use, and back into it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelgate_core.control_messages import ControlTicked
from dotterelgate_core.messages import Decision, SlotFreed

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.eras import Position
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState

__all__ = ["EvacuationsRead", "ServersEvacuated", "make_evacuation_filter"]


@dataclass(frozen=True, kw_only=True, slots=True)
class EvacuationsRead:
    """All evacuated zones as a read of the store found them; the newest position wins.

    :param position: position up to which the operator's records were read
    :param source: who read them: the store for this daemon itself, or a peer
    """

    now: float
    zones: frozenset[str]
    position: Position
    source: str = "the store"


@dataclass(frozen=True, kw_only=True, slots=True)
class ServersEvacuated:
    """Backend servers of some services were taken out of use with their zone."""

    now: float
    services: frozenset[str]


def make_evacuation_filter(state: DaemonState) -> Filter:
    """Build the filter that applies the lists of evacuated zones to the backend servers."""

    def evacuate(message: Message) -> Iterable[Message]:
        if isinstance(message, EvacuationsRead):
            return _apply_read(state, message)
        if isinstance(message, ControlTicked):
            if not state.evacuations.held or not state.evacuations.release_held(message.now):
                return (message,)
            source = "the restored store, which lists it no more"
            return [*_mark_servers(state, message.now, source), message]
        return (message,)

    return evacuate


def _apply_read(state: DaemonState, read: EvacuationsRead) -> list[Message]:
    if not state.evacuations.adopt(read.zones, read.position, read.now):
        return []
    return _mark_servers(state, read.now, read.source)


def _mark_servers(state: DaemonState, now: float, source: str) -> list[Message]:
    """Mark the servers, with a log line for each zone that changed."""
    zones = state.evacuations.list_evacuated()
    changed: dict[str, list[ServerState]] = {}
    for server in state.servers.states.values():
        is_evacuated = server.server.zone in zones
        if is_evacuated == server.is_evacuated:
            continue
        server.is_evacuated = is_evacuated
        if not is_evacuated:
            server.returned_at = now
        changed.setdefault(server.server.zone, []).append(server)
    messages: list[Message] = []
    for zone, servers in changed.items():
        messages.append(_describe_change(state, zone, len(servers), source))
    left = {each.service for servers in changed.values() for each in servers if each.is_evacuated}
    if left:
        messages.append(ServersEvacuated(now=now, services=frozenset(left)))
    returned = {each.service for servers in changed.values() for each in servers} - left
    messages.extend(SlotFreed(now=now, service=name) for name in sorted(returned))
    return messages


def _describe_change(state: DaemonState, zone: str, servers: int, source: str) -> Decision:
    evacuations = state.evacuations
    sentence = f"zone {zone} is taken back; its {servers} servers get requests in steps"
    if zone in evacuations.list_evacuated():
        sentence = f"zone {zone} is evacuated; its {servers} servers get no new requests"
    position = evacuations.position
    facts = {} if position is None else {"era": position.era, "offset": position.offset}
    return Decision(
        part="evacuation", sentence=f"{sentence} (from {source})", target=zone, facts=facts
    )
