"""Slot requests and their answers, as datagrams between the daemons of a zone."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

from dotterelgate_border.datagrams import (
    SlotDenialDatagram,
    SlotGrantDatagram,
    SlotQueuedDatagram,
    SlotRequestDatagram,
    SlotWithdrawalDatagram,
)
from dotterelgate_core import slots
from dotterelgate_core.codes import CODES_BY_NUMBER, Refusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_border.datagrams import Datagram
    from dotterelgate_core.pipes import Message
    from dotterelgate_core.state import DaemonState
    from dotterelgate_daemon.mesh import Mesh

__all__ = ["SlotExchange"]

logger = structlog.get_logger("slots")


class SlotExchange:
    """Sends the pipeline's slot orders to other daemons, and feeds it their messages.

    :param emit: runs a message through the request pipeline
    """

    def __init__(self, *, state: DaemonState, mesh: Mesh, emit: Callable[[Message], None]) -> None:
        self._state = state
        self._mesh = mesh
        self._emit = emit
        self.sinks: dict[type, Callable[[Message], None]] = {
            slots.RequestSlot: self._request,
            slots.GrantSlot: self._grant,
            slots.QueueSlot: self._queue,
            slots.DenySlot: self._deny,
            slots.WithdrawSlot: self._withdraw,
        }

    def receive(self, message: Datagram) -> None:
        """Handle a peer's message."""
        now = time.monotonic()
        if isinstance(message, SlotRequestDatagram):
            self._emit(_read_request(message, now))
        elif isinstance(message, SlotGrantDatagram):
            self._emit(_read_grant(message, now))
        elif isinstance(message, SlotQueuedDatagram):
            self._emit(slots.SlotQueued(now=now, call_id=message.call_id))
        elif isinstance(message, SlotDenialDatagram):
            self._receive_denial(message, now)
        elif isinstance(message, SlotWithdrawalDatagram):
            self._emit(slots.SlotWithdrawn(now=now, call_id=message.call_id))

    def _send(self, name: str, message: Datagram) -> None:
        peer = self._state.peers.listed.get(name)
        # A removed peer gets no answer; it requests the slot from another owner.
        if peer is not None:
            self._mesh.send_message(peer.address, message)

    def _request(self, order: slots.RequestSlot) -> None:
        request = order.request
        datagram = SlotRequestDatagram(
            sender=self._state.name,
            call_id=request.call_id,
            request_id=request.request_id,
            service=request.service,
            route=request.route,
            work=request.work,
            waited=request.waited,
            remaining=request.remaining,
            attempt=request.attempt,
            avoided=list(request.avoided),
            organisation=request.organisation,
            organisation_priority=request.organisation_priority,
            only_free=request.only_free,
        )
        self._send(order.owner, datagram)

    def _grant(self, order: slots.GrantSlot) -> None:
        datagram = SlotGrantDatagram(
            sender=self._state.name,
            call_id=order.call_id,
            server=order.grant.server,
            slowdown=order.grant.slowdown,
            report_age=order.grant.report_age,
        )
        self._send(order.requester, datagram)

    def _queue(self, order: slots.QueueSlot) -> None:
        self._send(
            order.requester, SlotQueuedDatagram(sender=self._state.name, call_id=order.call_id)
        )

    def _deny(self, order: slots.DenySlot) -> None:
        datagram = SlotDenialDatagram(
            sender=self._state.name,
            call_id=order.call_id,
            code=order.refusal.code.number,
            reason=order.refusal.reason,
            retry_after=order.refusal.retry_after,
        )
        self._send(order.requester, datagram)

    def _withdraw(self, order: slots.WithdrawSlot) -> None:
        self._send(
            order.owner, SlotWithdrawalDatagram(sender=self._state.name, call_id=order.call_id)
        )

    def _receive_denial(self, message: SlotDenialDatagram, now: float) -> None:
        code = CODES_BY_NUMBER.get(message.code)
        if code is None:
            logger.warning(
                "slots: a refusal with an unknown code is ignored",
                code=message.code,
                sender=message.sender,
            )
            return
        refusal = Refusal(code, message.reason, retry_after=message.retry_after)
        self._emit(slots.SlotDenied(now=now, call_id=message.call_id, refusal=refusal))


def _read_request(message: SlotRequestDatagram, now: float) -> slots.SlotRequested:
    request = slots.SlotRequest(
        call_id=message.call_id,
        request_id=message.request_id,
        service=message.service,
        route=message.route,
        work=message.work,
        waited=message.waited,
        remaining=message.remaining,
        attempt=message.attempt,
        avoided=tuple(message.avoided),
        organisation=message.organisation,
        organisation_priority=message.organisation_priority,
        only_free=message.only_free,
    )
    return slots.SlotRequested(now=now, wall=time.time(), requester=message.sender, request=request)


def _read_grant(message: SlotGrantDatagram, now: float) -> slots.SlotGranted:
    grant = slots.SlotGrant(
        server=message.server, slowdown=message.slowdown, report_age=message.report_age
    )
    return slots.SlotGranted(now=now, owner=message.sender, call_id=message.call_id, grant=grant)
