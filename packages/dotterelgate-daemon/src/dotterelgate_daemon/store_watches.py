"""Gauges of a daemon that reads a platform's keyed store."""

from __future__ import annotations

import time
from functools import partial
from typing import TYPE_CHECKING

from dotterelgate_core.evacuations.returning import is_returning

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.registry import RegistryState
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState
    from dotterelgate_core.store_reading import ReadingState
    from dotterelgate_daemon.metrics import Metrics

__all__ = ["watch_store_state"]


def watch_store_state(
    state: DaemonState, registry: RegistryState, reading: ReadingState, metrics: Metrics
) -> None:
    """Let the gauges show what the daemon knows of the store and of backend servers."""
    metrics.configuration_age.set_function(lambda: time.monotonic() - reading.current_at)
    metrics.store_era.set_function(lambda: registry.era.current)
    _watch_statements(state, metrics)
    _watch_suspects(state, metrics)
    _watch_evacuations(state, metrics)
    _watch_waiting(state, metrics)


def _watch_statements(state: DaemonState, metrics: Metrics) -> None:
    kinds: dict[str, Callable[[ServerState], bool]] = {
        "leaving": lambda server: server.reports_leaving,
        "pause": lambda server: server.wants_pause(time.monotonic()),
        "limit": lambda server: server.limit.is_named,
        "cold": lambda server: time.monotonic() < server.cold_until,
    }

    def count(states_it: Callable[[ServerState], bool]) -> float:
        return float(sum(states_it(each) for each in state.servers.states.values()))

    for kind, states_it in kinds.items():
        metrics.statements.labels(kind=kind).set_function(partial(count, states_it))


def _watch_evacuations(state: DaemonState, metrics: Metrics) -> None:
    servers = state.servers

    def count_returning() -> float:
        now = time.monotonic()
        return float(sum(is_returning(each, now) for each in servers.states.values()))

    counts: dict[str, Callable[[], float]] = {
        "zones": lambda: float(len(state.evacuations.list_evacuated())),
        "servers": lambda: float(sum(each.is_evacuated for each in servers.states.values())),
        "returning": count_returning,
    }
    for kind, count in counts.items():
        metrics.evacuated.labels(kind=kind).set_function(count)


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
