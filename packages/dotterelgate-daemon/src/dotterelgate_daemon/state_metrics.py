"""Gauges that read the daemon's state when they are rendered."""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState
    from dotterelgate_daemon.metrics import Metrics

__all__ = ["watch_state"]


def watch_state(state: DaemonState, metrics: Metrics) -> None:
    """Let the gauges of servers' statements, suspects and waiting requests read the state."""
    _watch_statements(state, metrics)
    _watch_suspects(state, metrics)
    _watch_waiting(state, metrics)


def _watch_statements(state: DaemonState, metrics: Metrics) -> None:
    kinds: dict[str, Callable[[ServerState], bool]] = {
        "leaving": lambda server: server.reports_leaving,
        "pause": lambda server: server.wants_pause(time.monotonic()),
        "limit": lambda server: server.limit.is_named,
    }

    def count(states_it: Callable[[ServerState], bool]) -> float:
        return float(sum(states_it(each) for each in state.servers.states.values()))

    for kind, states_it in kinds.items():
        metrics.statements.labels(kind=kind).set_function(partial(count, states_it))


def _watch_suspects(state: DaemonState, metrics: Metrics) -> None:
    table = state.suspects
    metrics.suspects.labels(kind="suspected").set_function(lambda: len(table.list_suspected()))
    metrics.suspects.labels(kind="refused").set_function(
        lambda: len(table.list_refused(time.monotonic()))
    )


def _watch_waiting(state: DaemonState, metrics: Metrics) -> None:
    queues = state.waiting.queues
    metrics.waiting.labels(kind="requests").set_function(
        lambda: sum(queue.count_waiting() for queue in queues.values())
    )
    metrics.waiting.labels(kind="organisations").set_function(
        lambda: sum(queue.count_flows() for queue in queues.values())
    )
