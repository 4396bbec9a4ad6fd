"""Updates of a backend server's load view and a route's work time from an answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dotterelgate_core.calls import Attempt
    from dotterelgate_core.messages import CallRouted, ServerAnswered, ServerReport
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState

__all__ = ["FIRST_FAILURE_STATUS", "find_slowdown", "learn_from_answer"]

FIRST_FAILURE_STATUS = 500


def find_slowdown(attempt: Attempt, report: ServerReport) -> float:
    """Find the slowdown of an attempt that was answered, at least 1."""
    reported = report.load.slowdown if report.load is not None else 1.0
    return max(1.0, attempt.expected_slowdown, reported)


def learn_from_answer(
    state: DaemonState,
    server: ServerState,
    routed: CallRouted,
    attempt: Attempt,
    message: ServerAnswered,
) -> None:
    """Record the load, pace and success that the answer to an attempt shows."""
    load = message.report.load
    view = server.view
    if load is not None:
        view.apply_report(load, server.in_flight, message.now)
        view.has_unsent_report = True
    is_full = load is not None and load.running >= load.slots
    if not message.ran:
        view.update_failure_share(failed=not is_full, now=message.now)
        view.has_unsent_failure = view.has_unsent_failure or not is_full
        return
    failed = message.status >= FIRST_FAILURE_STATUS
    view.update_failure_share(failed=failed, now=message.now)
    if failed:
        view.has_unsent_failure = True
        return
    seconds = message.now - attempt.sent_at
    slowdown = find_slowdown(attempt, message.report)
    usual = state.times.estimate(routed.service, routed.route)
    state.times.learn(routed.service, routed.route, seconds / slowdown)
    view.unsent_pace = seconds / slowdown / usual
    view.update_pace(view.unsent_pace, message.now)
