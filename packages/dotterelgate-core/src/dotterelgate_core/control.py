"""Pipeline that applies the records of the log and the platform's list of VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from dotterelgate_core.control_messages import (
    AppendClaims,
    AppendConfirmation,
    ConfigurationChanged,
    ConfigurationReceived,
    ConfirmationRead,
    ControlTicked,
    GrantRead,
    LeavingReceived,
    LogRead,
    LogReadStarted,
    PublicationRead,
    VmsRead,
)
from dotterelgate_core.handovers import make_handover_filter
from dotterelgate_core.leases import Moment
from dotterelgate_core.messages import Decision, SlotFreed
from dotterelgate_core.peers import Peer, rank_by_rendezvous
from dotterelgate_core.pipes import connect
from dotterelgate_core.probing import make_probing_filter

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.chain import Link
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState, LogPosition

__all__ = ["CONFIGURATION_RESOURCE", "make_control_pipeline"]

CONFIGURATION_RESOURCE = "configuration"
CONFIRMATION_DELAY_SECONDS = 0.5


def make_control_pipeline(
    state: DaemonState, position: LogPosition, resources: list[str]
) -> Filter:
    """Build the pipeline for everything that does not concern a single call.

    It emits ``AppendClaims``, ``AppendConfirmation``, ``SendOffer``, ``SendKeys``,
    ``Probe``, ``AnnounceLeaving``, ``ConfigurationChanged``, ``SlotFreed`` and ``Decision``.

    :param resources: names of all leased resources
    """
    return connect(
        _make_position_filter(state, position, resources),
        _make_configuration_filter(state, position),
        _make_lease_filter(state),
        _make_leaving_filter(state),
        _make_vms_filter(state),
        make_handover_filter(state, position),
        make_probing_filter(state),
        _make_claim_filter(state, position),
        _make_confirmation_filter(state, position),
    )


def _make_position_filter(
    state: DaemonState, position: LogPosition, resources: list[str]
) -> Filter:
    def follow(message: Message) -> Iterable[Message]:
        if isinstance(message, LogReadStarted):
            state.leases.begin(resources=resources, start=message.start, now=message.now)
            state.configuration.chain.begin(start=message.start)
            position.read_to = None
            return ()
        if isinstance(message, LogRead):
            position.read_to = message.read_to
            position.oldest = message.oldest
            return ()
        return (message,)

    return follow


def _make_configuration_filter(state: DaemonState, position: LogPosition) -> Filter:
    def configure(message: Message) -> Iterable[Message]:
        if isinstance(message, PublicationRead):
            changed = state.configuration.read_publication(message.link)
            if changed:
                position.confirmed_offset = message.link.offset
            return _announce(state, message.now, "the log", changed=changed)
        if isinstance(message, ConfirmationRead):
            changed = state.configuration.read_confirmation(message.link)
            if _confirms_current(state, message.link):
                position.confirmed_offset = message.link.offset
                position.confirmed_at = message.now
            return _announce(state, message.now, "a confirmation", changed=changed)
        if isinstance(message, ConfigurationReceived):
            changed = state.configuration.adopt(message.configuration)
            return _announce(state, message.now, message.peer, changed=changed)
        return (message,)

    return configure


def _confirms_current(state: DaemonState, link: Link) -> bool:
    current = state.configuration.current
    return current is not None and current.id == link.id


def _announce(state: DaemonState, now: float, source: str, *, changed: bool) -> list[Message]:
    current = state.configuration.current
    if not changed or current is None:
        return []
    warm = not state.servers.states
    state.servers.follow_configuration(current.services, warm=warm)
    sentence = f"revision {current.revision} is in force, learned from {source}"
    changes: list[Message] = [
        ConfigurationChanged(now=now, configuration=current, source=source),
        Decision(part="control", sentence=sentence),
    ]
    changes.extend(SlotFreed(now=now, service=service.name) for service in current.services)
    return changes


def _make_lease_filter(state: DaemonState) -> Filter:
    def lease(message: Message) -> Iterable[Message]:
        if not isinstance(message, GrantRead):
            return (message,)
        grant: Any = message.link.body
        if not state.leases.read(message.link, message.now):
            return ()
        sentence = f"{grant.resource} is granted to {grant.holder}"
        return (Decision(part="control", sentence=sentence, target=grant.holder),)

    return lease


def _make_leaving_filter(state: DaemonState) -> Filter:
    def note_leaving(message: Message) -> Iterable[Message]:
        if not isinstance(message, LeavingReceived):
            return (message,)
        server = state.servers.states.get(message.server)
        if server is None:
            return ()
        if not server.apply_leaving_report(is_leaving=message.is_leaving, wall=message.wall):
            return ()
        status = "is leaving; it gets no new requests" if message.is_leaving else "works again"
        sentence = f"{message.server} {status} (from {message.source})"
        return (Decision(part="control", sentence=sentence, target=message.server),)

    return note_leaving


def _make_vms_filter(state: DaemonState) -> Filter:
    def apply_vms(message: Message) -> Iterable[Message]:
        if not isinstance(message, VmsRead):
            return (message,)
        _apply_entry_vms(state, message)
        return _apply_server_vms(state, message)

    return apply_vms


def _apply_entry_vms(state: DaemonState, read: VmsRead) -> None:
    for vm in read.vms:
        if not vm.is_entry or vm.name == state.name:
            continue
        if vm.state == "gone":
            state.peers.listed.pop(vm.name, None)
            state.peers.removed.add(vm.name)
            continue
        state.peers.removed.discard(vm.name)
        peer = state.peers.listed.get(vm.name)
        if peer is None or peer.address != vm.address:
            peer = Peer(name=vm.name, address=vm.address, zone=vm.zone, seen_at=read.now)
            state.peers.listed[vm.name] = peer
        peer.listed_leaving = vm.state == "leaving"


def _apply_server_vms(state: DaemonState, read: VmsRead) -> list[Message]:
    messages: list[Message] = []
    for vm in read.vms:
        server = state.servers.states.get(vm.name)
        if vm.is_entry or server is None:
            continue
        if vm.state == "live":
            server.is_listed_leaving = False
        elif not server.is_listed_leaving:
            server.is_listed_leaving = True
            sentence = f"the platform lists {vm.name} as {vm.state}; it gets no new requests"
            messages.append(Decision(part="control", sentence=sentence, target=vm.name))
    return messages


def _make_claim_filter(state: DaemonState, position: LogPosition) -> Filter:
    def claim(message: Message) -> Iterable[Message]:
        if not isinstance(message, ControlTicked) or position.read_to is None:
            return (message,)
        usable = state.peers.select_usable()
        due = state.leases.select_due(message.now, usable, state.peers.removed, position.oldest)
        if not due:
            return (message,)
        moment = Moment(now=message.now, wall=message.wall)
        claims = tuple(state.leases.prepare_claim(resource, moment) for resource in due)
        order = AppendClaims(claims=claims, read_to=position.read_to, oldest=position.oldest)
        return (order, message)

    return claim


def _make_confirmation_filter(state: DaemonState, position: LogPosition) -> Filter:
    def confirm(message: Message) -> Iterable[Message]:
        if not isinstance(message, ControlTicked):
            return (message,)
        if not _is_confirmation_due(state, position, message):
            return ()
        position.confirm_ordered_at = message.now
        current = state.configuration.current
        assert current is not None and position.read_to is not None
        return (AppendConfirmation(configuration=current, read_to=position.read_to),)

    return confirm


def _is_confirmation_due(state: DaemonState, position: LogPosition, ticked: ControlTicked) -> bool:
    now = ticked.now
    chain = state.configuration.chain
    current = state.configuration.current
    if position.read_to is None or not chain.known or current is None or chain.current is None:
        return False
    if chain.current.id != current.id or now - position.confirm_ordered_at < 1.0:
        return False
    is_missing = position.confirmed_offset < position.oldest
    if not is_missing:
        position.missing_since = None
    elif position.missing_since is None:
        position.missing_since = now
    if not state.leases.holds(CONFIGURATION_RESOURCE, now, ticked.wall):
        # The holder may be paused; a surplus confirmation is harmless.
        waited = 0.0 if position.missing_since is None else now - position.missing_since
        return waited > _compute_confirmation_delay(state)
    return is_missing or now - position.confirmed_at >= position.confirm_interval


def _compute_confirmation_delay(state: DaemonState) -> float:
    names = [*state.peers.listed, state.name]
    rank = rank_by_rendezvous(CONFIGURATION_RESOURCE, names).index(state.name)
    return CONFIRMATION_DELAY_SECONDS * (1 + rank)
