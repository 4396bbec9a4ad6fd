"""The account of what each call in progress waits for."""

from __future__ import annotations

from collections import Counter
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelgate_core.calls import CallState
    from dotterelgate_core.state import DaemonState

__all__ = ["Awaited", "count_awaited", "find_awaited"]


class Awaited(str, Enum):
    """What a call in progress waits for; the values are in log lines."""

    ANSWER = "answers"
    SLOT = "slots"
    ALLOWANCE = "quotas"
    KEY = "keys"
    HOLDER = "key holders"
    PEER = "peers"
    GRANT = "grants of other daemons"

    @property
    def is_dispatched(self) -> bool:
        """Whether the call was passed on and may be running."""
        return self in (Awaited.ANSWER, Awaited.PEER)

    @property
    def is_before_dispatch(self) -> bool:
        """Whether the call still needs the time for its work on a backend server."""
        return self in (Awaited.SLOT, Awaited.ALLOWANCE, Awaited.HOLDER)


def find_awaited(state: DaemonState, call_state: CallState) -> Awaited:
    """Find what a call waits for.

    Every call in progress has an answer here, so that no kind of wait is left out by whoever
    asks. What is neither dispatched nor queued waits for a holder of its key.
    """
    if call_state.requester is not None:
        return Awaited.GRANT
    if call_state.running:
        return Awaited.ANSWER
    if call_state.peer is not None:
        return Awaited.PEER
    if call_state.joined:
        return Awaited.KEY
    if call_state.call.id in state.quotas.pending:
        return Awaited.ALLOWANCE
    return Awaited.SLOT if call_state.queued else Awaited.HOLDER


def count_awaited(state: DaemonState) -> dict[Awaited, int]:
    """Count the calls in progress by what they wait for."""
    return Counter(find_awaited(state, each) for each in state.calls.states.values())
