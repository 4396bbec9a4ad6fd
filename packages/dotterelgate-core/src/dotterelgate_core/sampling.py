"""Filter that keeps reports of backend servers fresh where daemons share their view."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_core.control_messages import ControlTicked, Probe, ProbeAnswered
from dotterelgate_core.owners import is_granted, list_owners
from dotterelgate_core.peers import rank_by_rendezvous
from dotterelgate_core.sharing import free_slots, select_alive

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState

__all__ = ["SamplingState", "make_sampling_filter"]

# A report older than this is renewed; slow spans last about 150 ms.
SAMPLE_SECONDS = 0.04
# Probes to one backend server by one daemon, however wrong its view of the others
# is: below the platform's lowest bound of 42 a second for all together.
LEAST_SECONDS = 0.03
PROBE_TIMEOUT_SECONDS = 0.4
# Without requests of a service for this long its backend servers are asked rarely.
DEMAND_SECONDS = 2.0
IDLE_SECONDS = 1.0
# One that did not answer is asked less often.
SILENT_SECONDS = 0.5
PROBE_COST_SECONDS = 0.006


@dataclass(kw_only=True, slots=True)
class SamplingState:
    """Probes of this daemon.

    :param asked_at: monotonic second of the last probe of each backend server
    :param pending: names of those whose answer is awaited
    :param silent: names of those that did not answer the last probe
    :param samplers: name of the daemon that samples each backend server
    :param alive: daemons that ``samplers`` was worked out for, by zone
    """

    asked_at: dict[str, float] = field(default_factory=dict)
    pending: set[str] = field(default_factory=set)
    silent: set[str] = field(default_factory=set)
    samplers: dict[str, str] = field(default_factory=dict)
    alive: dict[str, list[str]] = field(default_factory=dict)


def make_sampling_filter(state: DaemonState, sampling: SamplingState) -> Filter:
    """Make the filter from ticks to probes, and from their answers to reports."""

    def sample(message: Message) -> Iterable[Message]:
        if isinstance(message, ProbeAnswered):
            return _learn(state, sampling, message)
        if isinstance(message, ControlTicked):
            return [*_order_probes(state, sampling, message), message]
        return (message,)

    return sample


def _order_probes(
    state: DaemonState, sampling: SamplingState, tick: ControlTicked
) -> list[Message]:
    if state.peers.leaving or state.configuration.current is None:
        return []
    _follow_peers(state, sampling, tick.now)
    orders: list[Message] = []
    for name, server in state.servers.states.items():
        if not _is_due(state, sampling, server, tick.now):
            continue
        service = state.configuration.find_service(server.service)
        if service is None:
            continue
        sampling.asked_at[name] = tick.now
        sampling.pending.add(name)
        orders.append(
            Probe(
                service=server.service,
                server=server.server,
                fence=tick.wall + PROBE_TIMEOUT_SECONDS,
                cost=PROBE_COST_SECONDS,
                path=service.probe_path,
                timeout=PROBE_TIMEOUT_SECONDS,
            )
        )
    return orders


def _is_due(state: DaemonState, sampling: SamplingState, server: ServerState, now: float) -> bool:
    name = server.server.name
    if server.server.draining or name in sampling.pending:
        return False
    since = now - sampling.asked_at.get(name, float("-inf"))
    if since < (SILENT_SECONDS if name in sampling.silent else LEAST_SECONDS):
        return False
    if now - server.view.reported_at < _choose_age(state, server.service, now):
        return False
    return _find_sampler(state, sampling, server, now) == state.name


def _choose_age(state: DaemonState, service: str, now: float) -> float:
    """Choose how old a report may get: old ones do for services without requests."""
    routed_at = state.times.routed_at.get(service, float("-inf"))
    return SAMPLE_SECONDS if now - routed_at < DEMAND_SECONDS else IDLE_SECONDS


def _follow_peers(state: DaemonState, sampling: SamplingState, now: float) -> None:
    zones = {server.server.zone for server in state.servers.states.values()}
    alive = {zone: sorted(select_alive(state, now, zone)) for zone in zones}
    if alive != sampling.alive:
        sampling.alive = alive
        sampling.samplers.clear()


def _find_owning_sampler(state: DaemonState, server: ServerState, now: float) -> str:
    """Share the backend servers between the daemons that hear all reports of them."""
    zone = server.server.zone
    owners = list_owners(state, server.service, now, zone)
    if not owners:
        # No daemon of that zone is known to be alive.
        owners = list_owners(state, server.service, now, state.zone) or [state.name]
    return rank_by_rendezvous(server.server.name, owners)[0]


def _find_sampler(
    state: DaemonState, sampling: SamplingState, server: ServerState, now: float
) -> str:
    name = server.server.name
    if is_granted(state, server.service):
        return _find_owning_sampler(state, server, now)
    sampler = sampling.samplers.get(name)
    if sampler is None:
        alive = sampling.alive.get(server.server.zone) or [
            each for names in sampling.alive.values() for each in names
        ]
        ranked = rank_by_rendezvous(name, alive)
        sampler = sampling.samplers[name] = ranked[0] if ranked else state.name
    return sampler


def _learn(state: DaemonState, sampling: SamplingState, answered: ProbeAnswered) -> list[Message]:
    name = answered.server
    sampling.pending.discard(name)
    server = state.servers.states.get(name)
    if server is None:
        return []
    state.servers.sampled.add(name)
    known = answered.said_name is None or answered.said_name == name
    if not answered.answered or not known:
        sampling.silent.add(name)
        server.view.note_outcome(failed=True, now=answered.now)
        server.view.untold_failure = True
        return []
    sampling.silent.discard(name)
    if answered.load is not None:
        server.view.note_report(answered.load, server.in_flight, answered.now)
        server.view.is_untold = True
    return free_slots(state, (answered.service,), answered.now)
