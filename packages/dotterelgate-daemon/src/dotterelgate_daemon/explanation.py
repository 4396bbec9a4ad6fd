"""Documents on a daemon's state and on where it would send a request."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from dotterelgate_core import owners, owning
from dotterelgate_core.messages import Call, format_identity
from dotterelgate_core.routes import find_route

if TYPE_CHECKING:
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState, LogPosition

__all__ = ["describe_common", "describe_daemon", "explain_route"]


def describe_daemon(state: DaemonState, position: LogPosition, incarnation: str) -> dict:
    """Describe a daemon as a JSON document for ``dotterelgate status``."""
    wall = time.time()
    now = time.monotonic()
    return {
        **describe_common(state, incarnation),
        "log_read_to": position.read_to,
        "held": [each for each in state.leases.leases if state.leases.holds(each, now, wall)],
        "keys": state.keys.size,
    }


def describe_common(state: DaemonState, incarnation: str) -> dict:
    """Describe the state that every daemon has, with a log or a keyed store."""
    now = time.monotonic()
    current = state.configuration.current
    return {
        "daemon": state.name,
        "incarnation": incarnation,
        "revision": state.configuration.revision,
        "configuration": current.id if current is not None else None,
        "stopping": state.peers.leaving,
        "in_flight": len(state.calls.states),
        "peers": sorted(state.peers.listed),
        "evacuated_zones": sorted(state.evacuations.list_evacuated()),
        "servers": [_describe_server(each, now) for each in state.servers.states.values()],
        "suspects": [
            _describe_suspect(state, each, now) for each in state.suspects.list_suspected()
        ],
    }


def _describe_suspect(state: DaemonState, identity: int, now: float) -> dict:
    return {
        "identity": format_identity(identity),
        "ended": [run.name for run in state.suspects.suspects[identity].list_runs()],
        "refused_seconds": max(0.0, state.suspects.find_refusal_end(identity) - now),
    }


def _describe_server(server: ServerState, now: float) -> dict:
    return {
        "name": server.server.name,
        "in_flight": server.in_flight,
        "slots": server.server.slots,
        "load": server.count_load(),
        "leaving": server.list_leaving_sources(),
        "cold_seconds": max(0.0, server.cold_until - now),
        "evacuated": server.is_evacuated,
        "eligible": server.is_eligible(now),
        "failures": server.failures,
    }


def explain_route(state: DaemonState, method: str, host: str, path: str) -> dict:
    """Explain where a request would go from this daemon and why."""
    if state.configuration.current is None:
        return {"result": "no configuration is in force"}
    found = find_route(state.configuration, Call(id=0, method=method, host=host, path=path))
    if found is None:
        return {"result": "no route matches"}
    service, route = found
    now = time.monotonic()
    pool = state.servers.by_service.get(service.name, [])
    return {
        "result": "routed",
        "service": service.name,
        "prefix": route.prefix,
        "idempotent": route.idempotent,
        "priority": route.priority.name.lower(),
        "policy": service.policy,
        "owner": _name_owner(state, service.name, now),
        "servers": [_describe_server(each, now) for each in pool],
    }


def _name_owner(state: DaemonState, service: str, now: float) -> str:
    """Name the daemon whose queue a request of a service waits in."""
    if owners.is_granted(state, service):
        return owners.find_owner(state, service, now)
    return owning.find_owner(state, service)
