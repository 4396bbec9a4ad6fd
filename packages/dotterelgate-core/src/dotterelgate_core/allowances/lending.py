"""Filter that answers other daemons' requests for quota tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core.allowances.lenders import (
    accept_returned,
    lend_tokens,
    refresh_view,
)
from dotterelgate_core.allowances.messages import LendTokens, TokensRequested, TokensReturned
from dotterelgate_core.messages import CallRouted, Ticked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState

__all__ = ["make_lending_filter"]


def make_lending_filter(state: DaemonState) -> Filter:
    """Build the filter that lends tokens of the zone's part of each quota."""

    def lend(message: Message) -> Iterable[Message]:
        if isinstance(message, TokensRequested):
            return [*refresh_view(state, message.now), _answer(state, message)]
        if isinstance(message, TokensReturned):
            return [*refresh_view(state, message.now), *_accept(state, message)]
        if isinstance(message, (Ticked, CallRouted)):
            return [*refresh_view(state, message.now), message]
        return (message,)

    return lend


def _answer(state: DaemonState, requested: TokensRequested) -> LendTokens:
    organisation = state.configuration.find_organisation(requested.organisation)
    lent = None
    if organisation is not None and organisation.rate and not organisation.problem:
        lent = lend_tokens(state, organisation, requested.count, requested.now)
    return LendTokens(
        borrower=requested.borrower,
        call_id=requested.call_id,
        organisation=requested.organisation,
        count=lent[0] if lent is not None else 0,
        wait=lent[1] if lent is not None else None,
    )


def _accept(state: DaemonState, returned: TokensReturned) -> list[Message]:
    organisation = state.configuration.find_organisation(returned.organisation)
    if organisation is None:
        return []
    if accept_returned(state, organisation, returned.count, returned.now):
        return []
    # The daemon that lent them stops, or this one has just started.
    orders = refresh_view(state, returned.now, at_once=True)
    accept_returned(state, organisation, returned.count, returned.now)
    return orders
