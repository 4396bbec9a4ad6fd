"""Filter that probes backend servers within the operator's measuring budget.

Only the daemon that holds a service's measuring lease probes it, since dividing
the budget among daemons needs a membership view, which may be wrong. A probe must
start within a quarter of a second, so the budget has to cover the longest time
whose probes can fall into one second at the backend servers.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import xxhash

from dotterelgate_core.control_messages import (
    AnnounceLeaving,
    ControlTicked,
    Probe,
    ProbeEnded,
)
from dotterelgate_core.messages import Decision, SlotFreed

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.configuration import Service
    from dotterelgate_core.leases import Lease
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState

__all__ = ["MEASURING_RESOURCES", "find_measuring_resource", "make_probing_filter"]

PROBE_COST_SECONDS = 0.006
CONNECTION_COST_SECONDS = 0.001
START_LIMIT_SECONDS = 0.25
WINDOW_SECONDS = 1.0 + 2 * START_LIMIT_SECONDS
DOUBTFUL_INTERVAL_SECONDS = 1.0
IDLE_INTERVAL_SECONDS = 5.0
MEASURING_RANGES = 8
MEASURING_RESOURCES = [f"measuring/{number}" for number in range(MEASURING_RANGES)]


@dataclass(kw_only=True, slots=True)
class MeasuringState:
    """Probes of one service and their cost.

    :param spent: monotonic second and cost in slot seconds of each probe
    :param probed_at: monotonic second of the last probe of each backend server
    """

    spent: deque[tuple[float, float]] = field(default_factory=deque)
    probed_at: dict[str, float] = field(default_factory=dict)

    def sum_spent(self, now: float) -> float:
        """Sum the costs in the window that ends now."""
        while self.spent and self.spent[0][0] <= now - WINDOW_SECONDS:
            self.spent.popleft()
        return sum(cost for _, cost in self.spent)


def find_measuring_resource(service: str) -> str:
    """Return the resource whose lease holder measures a service."""
    number = xxhash.xxh3_64_intdigest(service.encode()) % MEASURING_RANGES
    return MEASURING_RESOURCES[number]


def make_probing_filter(state: DaemonState) -> Filter:
    """Build the filter that orders probes on ticks and applies their results."""
    measured: dict[str, MeasuringState] = {}

    def probe(message: Message) -> Iterable[Message]:
        if isinstance(message, ProbeEnded):
            return _apply_probe(state, message)
        if not isinstance(message, ControlTicked):
            return (message,)
        return [*_order_probes(state, measured, message), message]

    return probe


def _order_probes(
    state: DaemonState, measured: dict[str, MeasuringState], tick: ControlTicked
) -> list[Message]:
    configuration = state.configuration.current
    if configuration is None:
        return []
    orders: list[Message] = []
    for service in configuration.services:
        resource = find_measuring_resource(service.name)
        lease = state.leases.leases.get(resource)
        if lease is not None and _may_measure(state, resource, lease, tick):
            account = measured.setdefault(service.name, MeasuringState())
            orders.extend(_probe_service(state, service, account, lease, tick))
    return orders


def _may_measure(state: DaemonState, resource: str, lease: Lease, tick: ControlTicked) -> bool:
    if lease.tenure is None or not state.leases.holds(resource, tick.now, tick.wall):
        return False
    # Probes of an earlier holder may still start.
    return tick.now - lease.tenure.since >= WINDOW_SECONDS


def _probe_service(
    state: DaemonState,
    service: Service,
    account: MeasuringState,
    lease: Lease,
    tick: ControlTicked,
) -> list[Message]:
    pool = state.servers.by_service.get(service.name, [])
    budget = service.measuring_share * sum(each.server.slots for each in pool)
    cost = PROBE_COST_SECONDS + CONNECTION_COST_SECONDS
    fence = min(tick.wall + START_LIMIT_SECONDS, lease.ends_wall - state.limits.clock_error)
    orders: list[Message] = []
    for server in sorted(pool, key=lambda each: account.probed_at.get(each.server.name, 0.0)):
        if account.sum_spent(tick.now) + cost > budget:
            break
        name = server.server.name
        if not _is_due(server, account.probed_at.get(name, float("-inf")), tick.now):
            continue
        account.spent.append((tick.now, cost))
        account.probed_at[name] = tick.now
        order = Probe(service=service.name, server=server.server, fence=fence, cost=cost)
        orders.append(order)
    return orders


def _is_due(server: ServerState, probed_at: float, now: float) -> bool:
    since = now - probed_at
    if server.reports_leaving or server.failures:
        return since >= DOUBTFUL_INTERVAL_SECONDS
    return since >= IDLE_INTERVAL_SECONDS and now - server.used_at >= IDLE_INTERVAL_SECONDS


def _apply_probe(state: DaemonState, message: ProbeEnded) -> list[Message]:
    server = state.servers.states.get(message.server)
    if server is None:
        return []
    if not message.answered:
        server.record_failure(message.now)
        return []
    if server.failures:
        server.failures = 0
        server.paused_until = 0.0
    orders: list[Message] = []
    if message.draining != server.reports_leaving:
        announcement = AnnounceLeaving(
            server=message.server, is_leaving=message.draining, wall=message.wall
        )
        status = "is leaving" if message.draining else "works again"
        sentence = f"{message.server} {status}, according to its answer to a probe"
        decision = Decision(part="probing", sentence=sentence, target=message.server)
        orders.extend((announcement, decision))
    return [*orders, SlotFreed(now=message.now, service=message.service)]
