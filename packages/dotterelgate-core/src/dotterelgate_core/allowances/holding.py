"""Tokens that this daemon borrowed ahead of the calls that use them."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from dotterelgate_core.allowances.lenders import accept_returned, list_lenders
from dotterelgate_core.allowances.messages import ReturnTokens
from dotterelgate_core.allowances.table import HeldTokens

if TYPE_CHECKING:
    from dotterelgate_core.pipes import Message
    from dotterelgate_core.state import DaemonState

__all__ = ["count_prefetched", "keep_tokens", "return_expired", "return_tokens", "take_held"]

# Tokens beside that of the call are those for this time at the recent use.
PREFETCH_SECONDS = 0.25
MAX_PREFETCHED = 20
EXPIRY_SECONDS = 0.5
USE_SECONDS = 1.0


def take_held(state: DaemonState, organisation: str, now: float) -> bool:
    """Use a borrowed token for a call, if there is one."""
    held = state.quotas.held.setdefault(organisation, HeldTokens())
    held.use = 1.0 + held.use * math.exp((held.used_at - now) / USE_SECONDS)
    held.used_at = now
    if not held.expiries or held.expiries[-1] <= now:
        return False
    # The newest one, so that those that are not needed expire.
    held.expiries.pop()
    return True


def count_prefetched(state: DaemonState, organisation: str) -> int:
    """Count the tokens to borrow beside that of a call, by the recent use."""
    return min(MAX_PREFETCHED, int(state.quotas.held[organisation].use * PREFETCH_SECONDS))


def keep_tokens(state: DaemonState, organisation: str, count: float, now: float) -> list[Message]:
    """Hold tokens that no call waits for; a part of one is returned."""
    whole = int(count)
    if whole:
        held = state.quotas.held.setdefault(organisation, HeldTokens())
        held.expiries.extend([now + EXPIRY_SECONDS] * whole)
    return return_tokens(state, organisation, count - whole, now)


def return_expired(state: DaemonState, now: float) -> list[Message]:
    """Return the tokens that expired unused."""
    orders: list[Message] = []
    for organisation, held in state.quotas.held.items():
        expired = 0
        while held.expiries and held.expiries[0] <= now:
            held.expiries.popleft()
            expired += 1
        orders += return_tokens(state, organisation, expired, now)
    return orders


def return_tokens(state: DaemonState, organisation: str, count: float, now: float) -> list[Message]:
    """Return tokens to the first lender that is not passed over."""
    found = state.configuration.find_organisation(organisation)
    lender = next(iter(list_lenders(state, organisation, now)), None) if count > 0 else None
    if found is None or lender is None:
        return []
    if lender == state.name:
        accept_returned(state, found, count, now)
        return []
    return [ReturnTokens(lender=lender, organisation=organisation, count=count)]
