"""Filter that notes when each attempt becomes slow."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core.hedging.second_attempts import TickAt
from dotterelgate_core.messages import Dispatch
from dotterelgate_core.stopping.fitting import has_time

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.calls import CallState
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState

__all__ = ["compute_due", "may_have_second", "make_watching_filter", "order_tick"]


def make_watching_filter(state: DaemonState) -> Filter:
    """Build the filter that notes the time of a second attempt for each dispatch."""

    def watch(message: Message) -> Iterable[Message]:
        if isinstance(message, Dispatch) and state.limits.hedging_share:
            return [message, *_watch_dispatch(state, message)]
        return (message,)

    return watch


def may_have_second(state: DaemonState, call_state: CallState) -> bool:
    """Return whether a second attempt may be started beside the only one that runs.

    A request under which a backend server ended is not sent to another while one has it.
    """
    routed = call_state.routed
    call = routed.call
    if not routed.route.idempotent or routed.route.long or call.streamed or call.retried:
        return False
    if call.purpose is not None or call_state.digest is not None:
        return False
    if call_state.caller_disconnected or call_state.relay_started:
        return False
    if call.identity in state.suspects.suspects:
        return False
    return len(call_state.running) == 1 and call_state.allows_attempt(state.limits.retry_attempts)


def compute_due(state: DaemonState, call_state: CallState, now: float) -> float | None:
    """Compute when the attempt that runs becomes slower than usual for its route.

    :returns: a monotonic second, ``None`` while too few answers' times are known
    """
    routed = call_state.routed
    route = routed.route.name or routed.route.prefix
    seconds = state.hedging.times.estimate(routed.service.name, route)
    if seconds is None:
        return None
    attempt = next(iter(call_state.running.values()))
    slowdown = max(1.0, attempt.expected_slowdown)
    server = state.servers.states.get(attempt.server)
    if server is not None:
        # A report that came after the dispatch, with the answer to another request.
        slowdown = max(slowdown, server.view.estimate_slowdown(now, 1.0))
    return attempt.sent_at + seconds * slowdown


def order_tick(state: DaemonState) -> list[Message]:
    """Order a tick for the attempt that becomes slow first, unless one was ordered."""
    table = state.hedging
    if not table.due or table.due[0][0] >= table.tick_at:
        return []
    table.tick_at = table.due[0][0]
    return [TickAt(at=table.tick_at)]


def _watch_dispatch(state: DaemonState, order: Dispatch) -> list[Message]:
    call_state = state.calls.states[order.call_id]
    attempt = call_state.running[order.server.name]
    if attempt.is_second:
        return []
    if order.attempt == 1 and not call_state.unsent_attempts:
        service = call_state.routed.service.name
        state.hedging.find_budget(service, state.limits.hedging_share).earn()
    if call_state.has_second or not may_have_second(state, call_state):
        return []
    due = compute_due(state, call_state, attempt.sent_at)
    if due is None or not has_time(state, call_state, due):
        return []
    state.hedging.add_due(order.call_id, due)
    return order_tick(state)
