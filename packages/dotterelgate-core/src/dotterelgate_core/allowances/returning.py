"""Filter that returns the tokens of calls that are refused before they reach a server."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core.allowances.holding import return_tokens
from dotterelgate_core.messages import CallSettled

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState

__all__ = ["make_return_filter"]


def make_return_filter(state: DaemonState) -> Filter:
    """Build the filter that returns the token of a call of which nothing was sent.

    Refused callers retry, and would use up their quota while servers get none of their requests.
    """

    def return_unused(message: Message) -> Iterable[Message]:
        if isinstance(message, CallSettled) and message.ran is False:
            return [*_return(state, message), message]
        return (message,)

    return return_unused


def _return(state: DaemonState, settled: CallSettled) -> list[Message]:
    call_state = state.calls.states.get(settled.call_id)
    if call_state is None or not call_state.has_token or call_state.attempts:
        return []
    assert call_state.organisation is not None
    call_state.has_token = False
    return return_tokens(state, call_state.organisation.name, 1.0, settled.now)
