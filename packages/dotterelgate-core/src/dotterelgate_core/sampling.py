"""Filter that keeps load reports recent by probes, where daemons share their view."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from dotterelgate_core.control_messages import ControlTicked, Probe, ProbeEnded
from dotterelgate_core.owners import is_granted, list_owners
from dotterelgate_core.peers import rank_by_rendezvous
from dotterelgate_core.sharing import list_freed_slots, select_alive
from dotterelgate_core.statements import apply_probe_statements

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState

__all__ = ["SamplingState", "build_probe", "make_sampling_filter"]

# A report older than this is renewed; slowdowns last about 150 ms.
MAX_AGE_SECONDS = 0.04
# Interval between one daemon's probes of a backend server, even when its view of its
# peers is wrong: below the platform's lowest bound of 42 a second for all daemons.
MIN_INTERVAL_SECONDS = 0.03
PROBE_TIMEOUT_SECONDS = 0.4
# After this long without requests a service's backend servers are probed less often.
DEMAND_SECONDS = 2.0
IDLE_MAX_AGE_SECONDS = 1.0
# Interval at which a daemon looks up which backend servers it samples; owners change with
# the heartbeats.
SELECTION_INTERVAL_SECONDS = 0.2
# Interval after a probe that was not answered.
RETRY_INTERVAL_SECONDS = 0.5
PROBE_COST_SECONDS = 0.006


@dataclass(kw_only=True, slots=True)
class SamplingState:
    """Probes of this daemon.

    :param probed_at: monotonic second of the last probe of each backend server
    :param pending: names of those with a probe in progress
    :param unanswered: names of those that did not answer the last probe
    :param samplers: daemon that samples each backend server, with the candidates that it
        was chosen from
    :param selected: names of the backend servers that this daemon samples
    :param selected_at: monotonic second at which ``selected`` was looked up
    """

    probed_at: dict[str, float] = field(default_factory=dict)
    pending: set[str] = field(default_factory=set)
    unanswered: set[str] = field(default_factory=set)
    samplers: dict[str, tuple[tuple[str, ...], str]] = field(default_factory=dict)
    selected: list[str] = field(default_factory=list)
    selected_at: float = float("-inf")


def make_sampling_filter(state: DaemonState, sampling: SamplingState) -> Filter:
    """Build the filter that turns ticks into probes, and their answers into reports."""

    def sample(message: Message) -> Iterable[Message]:
        if isinstance(message, ProbeEnded):
            return _apply_probe(state, sampling, message)
        if isinstance(message, ControlTicked):
            return [*_order_probes(state, sampling, message), message]
        return (message,)

    return sample


def _order_probes(
    state: DaemonState, sampling: SamplingState, tick: ControlTicked
) -> list[Message]:
    if state.peers.leaving or state.configuration.current is None:
        return []
    orders: list[Message] = []
    if tick.now - sampling.selected_at >= SELECTION_INTERVAL_SECONDS:
        sampling.selected = _list_sampled(state, sampling, tick.now)
        sampling.selected_at = tick.now
    for name in sampling.selected:
        server = state.servers.states.get(name)
        if server is None or not _is_due(state, sampling, server, tick.now):
            continue
        probe = build_probe(state, server, tick.wall)
        if probe is None:
            continue
        sampling.probed_at[name] = tick.now
        sampling.pending.add(name)
        orders.append(probe)
    return orders


def build_probe(state: DaemonState, server: ServerState, wall: float) -> Probe | None:
    """Build the order to probe a backend server, unless the configuration lacks its service."""
    service = state.configuration.find_service(server.service)
    if service is None:
        return None
    return Probe(
        service=server.service,
        server=server.server,
        fence=wall + PROBE_TIMEOUT_SECONDS,
        cost=PROBE_COST_SECONDS,
        path=service.probe_path,
        timeout=PROBE_TIMEOUT_SECONDS,
    )


def _list_sampled(state: DaemonState, sampling: SamplingState, now: float) -> list[str]:
    """List the backend servers that this daemon samples.

    Most daemons sample none, so the candidates of a service and zone are looked up once.
    """
    candidates: dict[tuple[str, str], tuple[str, ...]] = {}
    sampled = []
    for name, server in state.servers.states.items():
        key = (server.service, server.server.zone)
        found = candidates.get(key)
        if found is None:
            found = candidates[key] = tuple(_find_candidates(state, *key, now))
        if state.name in found and _find_sampler(sampling, name, found) == state.name:
            sampled.append(name)
    return sampled


def _find_candidates(state: DaemonState, service: str, zone: str, now: float) -> list[str]:
    """Find the daemons that share the backend servers of a service in a zone.

    Where slots are granted, these are the owners, which receive all reports. A zone
    without a live daemon is sampled from the other zones.
    """
    if is_granted(state, service):
        owners = list_owners(state, service, now, zone)
        return owners or list_owners(state, service, now, state.zone) or [state.name]
    zones = sorted({server.server.zone for server in state.servers.states.values()})
    everywhere = (name for each in zones for name in select_alive(state, now, each))
    return sorted(select_alive(state, now, zone)) or sorted(everywhere) or [state.name]


def _find_sampler(sampling: SamplingState, name: str, candidates: tuple[str, ...]) -> str:
    cached = sampling.samplers.get(name)
    if cached is None or cached[0] != candidates:
        cached = (candidates, rank_by_rendezvous(name, candidates)[0])
        sampling.samplers[name] = cached
    return cached[1]


def _is_due(state: DaemonState, sampling: SamplingState, server: ServerState, now: float) -> bool:
    name = server.server.name
    if server.server.draining or server.is_evacuated or server.wants_pause(now):
        return False
    if name in sampling.pending:
        return False
    since = now - sampling.probed_at.get(name, float("-inf"))
    if since < (RETRY_INTERVAL_SECONDS if name in sampling.unanswered else MIN_INTERVAL_SECONDS):
        return False
    return now - server.view.reported_at >= _choose_max_age(state, server.service, now)


def _choose_max_age(state: DaemonState, service: str, now: float) -> float:
    """Choose the report age that triggers a probe; it is higher for services without requests."""
    routed_at = state.times.routed_at.get(service, float("-inf"))
    return MAX_AGE_SECONDS if now - routed_at < DEMAND_SECONDS else IDLE_MAX_AGE_SECONDS


def _apply_probe(state: DaemonState, sampling: SamplingState, ended: ProbeEnded) -> list[Message]:
    name = ended.server
    sampling.pending.discard(name)
    server = state.servers.states.get(name)
    if server is None:
        return []
    state.servers.sampled.add(name)
    is_same_server = ended.reported_name is None or ended.reported_name == name
    if not ended.answered or not is_same_server:
        sampling.unanswered.add(name)
        server.view.update_failure_share(failed=True, now=ended.now)
        server.view.has_unsent_failure = True
        return []
    sampling.unanswered.discard(name)
    if ended.load is not None:
        server.view.apply_report(ended.load, server.in_flight, ended.now)
        server.view.has_unsent_report = True
    return [
        *apply_probe_statements(server, ended),
        *list_freed_slots(state, (ended.service,), ended.now),
    ]
