"""Values of ``Retry-After`` for refused callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core.configuration import Priority

if TYPE_CHECKING:
    from dotterelgate_core.calls import CallState

__all__ = ["choose_ranked_retry_after", "choose_retry_after"]

# A caller that retries after more than this share of its remaining time has too little.
REMAINING_SHARE = 0.3
# Values are spread from this share up, so that callers refused together do not retry together.
SPREAD_FROM = 0.4
SPREAD_STEPS = 16
RANKS = len(Priority)


def choose_retry_after(call_state: CallState, now: float) -> float:
    """Choose the seconds after which a caller should retry.

    :returns: at most a share of the caller's remaining time
    """
    return _spread(call_state, now, (call_state.call.id % SPREAD_STEPS) / (SPREAD_STEPS - 1))


def choose_ranked_retry_after(call_state: CallState, now: float) -> float:
    """Choose the seconds after which a caller should retry where all servers are out of use.

    Nobody knows when they return; the most urgent requests come back first.

    :returns: at most a share of the caller's remaining time
    """
    step = (call_state.call.id % SPREAD_STEPS) / SPREAD_STEPS
    return _spread(call_state, now, (call_state.routed.route.priority + step) / RANKS)


def _spread(call_state: CallState, now: float, step: float) -> float:
    remaining = max(0.0, call_state.routed.deadline - now)
    return REMAINING_SHARE * remaining * (SPREAD_FROM + (1.0 - SPREAD_FROM) * step)
