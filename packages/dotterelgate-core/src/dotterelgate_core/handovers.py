"""Filter that hands leased ranges over to other daemons, with the state of their keys.

A holder offers a range and, once the offer is accepted, appends a grant to the
successor. It serves the range until it reads that grant on the log; from then on
no daemon serves it until the successor has the keys, or until the lease that the
grant ended would have lapsed. An append that fails or takes effect late is
therefore harmless.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_core.control_messages import (
    AppendClaims,
    ControlTicked,
    KeysReceived,
    OfferAccepted,
    SendKeys,
    SendOffer,
)
from dotterelgate_core.holding import open_range
from dotterelgate_core.keys import KeyState
from dotterelgate_core.leases import Grant
from dotterelgate_core.messages import Decision
from dotterelgate_core.peers import rank_by_rendezvous

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState, LogPosition

__all__ = ["HandoverTable", "make_handover_filter"]

RESEND_INTERVAL_SECONDS = 0.3
OFFER_SECONDS = 2.0
STABLE_SECONDS = 3.0
MAX_OPEN_OFFERS = 4


@dataclass(kw_only=True, slots=True)
class Offer:
    """One range offered to another daemon.

    :param id: id of the grant that will follow
    """

    id: str
    successor: str
    began_at: float


@dataclass(kw_only=True, slots=True)
class Outgoing:
    """Keys to be sent to the next holder.

    :param transfer: id of the grant that ended the tenure here
    """

    successor: str
    transfer: str
    sent_at: float = float("-inf")


@dataclass(kw_only=True, slots=True)
class HandoverTable:
    """Handovers in progress, by resource.

    :param stable_since: monotonic second since which the set of usable daemons is unchanged
    """

    offers: dict[str, Offer] = field(default_factory=dict)
    outgoing: dict[str, Outgoing] = field(default_factory=dict)
    usable: tuple[str, ...] = ()
    stable_since: float = 0.0


def make_handover_filter(state: DaemonState, position: LogPosition) -> Filter:
    """Build the filter that starts handovers on ticks and carries them through."""
    table = HandoverTable()
    state.handovers = table

    def hand_over(message: Message) -> Iterable[Message]:
        if isinstance(message, OfferAccepted):
            return _grant(state, position, table, message)
        if isinstance(message, KeysReceived):
            _end_outgoing(table, message)
            return ()
        if not isinstance(message, ControlTicked) or position.read_to is None:
            return (message,)
        _start_outgoing(state, table)
        return [*_send_keys(state, table, message.now), *_offer(state, table, message), message]

    return hand_over


def _start_outgoing(state: DaemonState, table: HandoverTable) -> None:
    for resource, transfer in state.leases.handed_over.items():
        grant = state.leases.find_holder(resource)
        if grant is not None:
            table.outgoing[resource] = Outgoing(successor=grant.holder, transfer=transfer)
        table.offers.pop(resource, None)
    state.leases.handed_over.clear()


def _offer(state: DaemonState, table: HandoverTable, tick: ControlTicked) -> list[Message]:
    usable = tuple(sorted(state.peers.select_usable()))
    if usable != table.usable:
        table.usable = usable
        table.stable_since = tick.now
    late = [key for key, each in table.offers.items() if tick.now - each.began_at > OFFER_SECONDS]
    for resource in late:
        del table.offers[resource]
    is_stable = tick.now - table.stable_since >= STABLE_SECONDS
    if not (state.peers.leaving or is_stable) or usable in ((), (state.name,)):
        return []
    orders: list[Message] = []
    for resource in state.leases.leases:
        if len(table.offers) >= MAX_OPEN_OFFERS:
            break
        is_held = state.leases.holds(resource, tick.now, tick.wall)
        if resource in table.offers or not is_held:
            continue
        successor = rank_by_rendezvous(resource, usable)[0]
        if successor == state.name:
            continue
        open_range(state, resource, now=tick.now, wall=tick.wall)
        offer = Offer(id=state.leases.allocate_claim_id(), successor=successor, began_at=tick.now)
        table.offers[resource] = offer
        orders.append(SendOffer(resource=resource, successor=successor, transfer=offer.id))
    return orders


def _grant(
    state: DaemonState, position: LogPosition, table: HandoverTable, accepted: OfferAccepted
) -> list[Message]:
    offer = table.offers.get(accepted.resource)
    lease = state.leases.leases.get(accepted.resource)
    if offer is None or offer.id != accepted.transfer or lease is None or lease.tenure is None:
        return []
    peer = state.peers.listed.get(offer.successor)
    grant = Grant(
        resource=accepted.resource,
        holder=offer.successor,
        incarnation=accepted.incarnation,
        address=peer.address if peer is not None else "",
        length=state.leases.length,
        transfer=offer.id,
    )
    assert position.read_to is not None
    claim = state.leases.build_claim(offer.id, grant)
    sentence = f"handing {accepted.resource} over to {offer.successor}"
    return [
        AppendClaims(claims=(claim,), read_to=position.read_to, oldest=position.oldest),
        Decision(part="handovers", sentence=sentence, target=offer.successor),
    ]


def _send_keys(state: DaemonState, table: HandoverTable, now: float) -> list[Message]:
    orders: list[Message] = []
    for resource, outgoing in list(table.outgoing.items()):
        if outgoing.successor in state.peers.removed:
            del table.outgoing[resource]
        elif _is_idle(state, resource) and now - outgoing.sent_at >= RESEND_INTERVAL_SECONDS:
            outgoing.sent_at = now
            order = SendKeys(
                resource=resource, successor=outgoing.successor, transfer=outgoing.transfer
            )
            orders.append(order)
    return orders


def _is_idle(state: DaemonState, resource: str) -> bool:
    key_range = state.keys.ranges.get(resource)
    if key_range is None:
        return True
    return all(entry.state is not KeyState.RUNNING for entry in key_range.entries.values())


def _end_outgoing(table: HandoverTable, received: KeysReceived) -> None:
    outgoing = table.outgoing.get(received.resource)
    if outgoing is not None and outgoing.transfer == received.transfer:
        del table.outgoing[received.resource]
