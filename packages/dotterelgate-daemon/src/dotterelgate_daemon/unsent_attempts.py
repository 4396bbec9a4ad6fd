"""Fails attempts whose connection is still being opened."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal

if TYPE_CHECKING:
    from dotterelgate_core.unsent import FailUnsent
    from dotterelgate_daemon.gateway import Gateway

__all__ = ["fail_unsent"]


def fail_unsent(gateway: Gateway, order: FailUnsent) -> None:
    """Fail the attempts whose connection is not established yet, so that nothing is sent late."""
    refusal = Refusal(codes.CONNECT_FAILED, order.reason)
    for call_id, server in order.attempts:
        pending = gateway.pending.get(call_id)
        attempt = pending.attempts.get(server) if pending is not None else None
        exchange = attempt.exchange if attempt is not None else None
        if exchange is not None and exchange.stream is None:
            exchange.fail(refusal)
