"""Requests for quota tokens and their answers, as datagrams between daemons."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from dotterelgate_border.datagrams import QuotaGrant, QuotaRequest
from dotterelgate_core.allowances.messages import (
    BorrowTokens,
    LendTokens,
    QuotaApplied,
    ReturnTokens,
    TokensLent,
    TokensRequested,
    TokensReturned,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_border.datagrams import Datagram
    from dotterelgate_core.pipes import Message
    from dotterelgate_core.state import DaemonState
    from dotterelgate_daemon.mesh import Mesh
    from dotterelgate_daemon.metrics import Metrics

__all__ = ["QuotaExchange"]

MILLISECONDS = 1000
NOT_A_LENDER = -1
MAX_WAIT_SECONDS = 3600.0
# The safe share counts as in use for this long after its last use.
IN_USE_SECONDS = 1.0


class QuotaExchange:
    """Sends the pipeline's quota orders to other daemons, and feeds it their messages.

    :param emit: runs a message through the request pipeline
    """

    def __init__(
        self,
        *,
        state: DaemonState,
        mesh: Mesh,
        metrics: Metrics,
        emit: Callable[[Message], None],
    ) -> None:
        self._state = state
        self._mesh = mesh
        self._metrics = metrics
        self._emit = emit
        self.sinks: dict[type, Callable[[Message], None]] = {
            BorrowTokens: self._borrow,
            ReturnTokens: self._borrow,
            LendTokens: self._lend,
            QuotaApplied: self._count,
        }
        quotas = state.quotas
        metrics.quota_share.labels(kind="zone").set_function(lambda: quotas.view.share)
        metrics.quota_share.labels(kind="safe").set_function(self._measure_safe_share)

    def receive(self, message: Datagram) -> None:
        """Handle a peer's message."""
        now = time.monotonic()
        if isinstance(message, QuotaRequest):
            self._emit(read_request(message, now))
        elif isinstance(message, QuotaGrant):
            self._emit(read_grant(message, now))

    def _send(self, name: str, message: Datagram) -> None:
        peer = self._state.peers.listed.get(name)
        # An unknown borrower asks again once its heartbeat has arrived.
        if peer is not None:
            self._mesh.send_message(peer.address, message)

    def _borrow(self, order: BorrowTokens | ReturnTokens) -> None:
        self._send(order.lender, build_request(self._state.name, order))

    def _lend(self, order: LendTokens) -> None:
        self._send(order.borrower, build_grant(self._state.name, order))

    def _count(self, order: QuotaApplied) -> None:
        self._metrics.quota_calls.labels(source=order.source.value).inc()
        self._metrics.quota_wait.observe(order.waited)

    def _measure_safe_share(self) -> float:
        quotas = self._state.quotas
        is_used = time.monotonic() - quotas.safe_used_at < IN_USE_SECONDS
        return quotas.view.own_share if is_used else 0.0


def build_request(sender: str, order: BorrowTokens | ReturnTokens) -> QuotaRequest:
    """Build the datagram that requests or returns tokens."""
    if isinstance(order, ReturnTokens):
        return QuotaRequest(
            sender=sender,
            call_id=0,
            organisation=order.organisation,
            count=0.0,
            returned=order.count,
        )
    return QuotaRequest(
        sender=sender, call_id=order.call_id, organisation=order.organisation, count=order.count
    )


def read_request(message: QuotaRequest, now: float) -> TokensRequested | TokensReturned:
    """Convert a borrower's datagram to a message of the request pipeline."""
    if message.returned:
        return TokensReturned(now=now, organisation=message.organisation, count=message.returned)
    return TokensRequested(
        now=now,
        borrower=message.sender,
        call_id=message.call_id,
        organisation=message.organisation,
        count=message.count,
    )


def build_grant(sender: str, order: LendTokens) -> QuotaGrant:
    """Build the datagram that answers a request for tokens."""
    wait_ms = NOT_A_LENDER
    if order.wait is not None:
        wait_ms = round(min(order.wait, MAX_WAIT_SECONDS) * MILLISECONDS)
    return QuotaGrant(
        sender=sender,
        call_id=order.call_id,
        organisation=order.organisation,
        count=order.count,
        wait_ms=wait_ms,
    )


def read_grant(message: QuotaGrant, now: float) -> TokensLent:
    """Convert a lender's answer to a message of the request pipeline."""
    wait = message.wait_ms / MILLISECONDS if message.wait_ms != NOT_A_LENDER else None
    return TokensLent(
        now=now,
        lender=message.sender,
        call_id=message.call_id,
        organisation=message.organisation,
        count=message.count,
        wait=wait,
    )
