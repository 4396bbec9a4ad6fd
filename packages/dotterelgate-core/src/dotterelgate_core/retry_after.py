"""Advice to refused callers on when to come back."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelgate_core.calls import CallState

__all__ = ["choose_retry_after"]

# A caller that comes back later than this share of its time has too little left.
REMAINING_SHARE = 0.3
# Waits are spread between this share and the whole, so that callers who were
# refused together do not return together.
SPREAD_FROM = 0.4
SPREAD_STEPS = 16


def choose_retry_after(call_state: CallState, now: float) -> float:
    """Advise after how many seconds a caller should come back.

    :returns: at most a share of the time that the caller has left
    """
    remaining = max(0.0, call_state.routed.deadline - now)
    step = (call_state.call.id % SPREAD_STEPS) / (SPREAD_STEPS - 1)
    return REMAINING_SHARE * remaining * (SPREAD_FROM + (1.0 - SPREAD_FROM) * step)
