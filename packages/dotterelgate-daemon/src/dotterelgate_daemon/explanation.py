"""Documents on a daemon's state and on where it would send a request."""

from __future__ import annotations

import time
from dataclasses import asdict
from typing import TYPE_CHECKING

from dotterelgate_core import owners, owning
from dotterelgate_core.explaining.dry_run import run_dry
from dotterelgate_core.messages import Call, format_identity

if TYPE_CHECKING:
    from dotterelgate_core.codes import Refusal
    from dotterelgate_core.configuration import Organisation
    from dotterelgate_core.explaining.dry_run import DryRun
    from dotterelgate_core.servers import ServerState
    from dotterelgate_core.state import DaemonState, LogPosition

__all__ = ["describe_common", "describe_daemon", "explain_route"]

# No call of the daemon has this id.
DRY_CALL_ID = -1


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


def explain_route(
    state: DaemonState,
    method: str,
    host: str,
    path: str,
    credential: bytes = b"",
    *,
    keyed: bool = False,
) -> dict:
    """Explain where a request would go from this daemon now and why, without sending it.

    :param credential: digest of the caller's credential, empty for none
    :param keyed: as for the pipeline of requests
    """
    call = Call(id=DRY_CALL_ID, method=method, host=host, path=path, credential=credential)
    now = time.monotonic()
    run = run_dry(state, call, now=now, wall=time.time(), keyed=keyed)
    document = {
        "daemon": state.name,
        "revision": state.configuration.revision,
        "result": _name_result(run),
        "server": run.server,
        "refusal": _describe_refusal(run.refusal),
    }
    if run.call_state is None:
        return document
    routed = run.call_state.routed
    service, route = routed.service, routed.route
    return {
        **document,
        "service": service.name,
        "route": route.name,
        "prefix": route.prefix,
        "idempotent": route.idempotent,
        "priority": route.priority.name.lower(),
        "policy": service.policy,
        "owner": _name_owner(state, service.name, now),
        "organisation": _describe_organisation(run.call_state.organisation),
        "candidates": [asdict(each) for each in run.candidates],
    }


def _name_result(run: DryRun) -> str:
    if run.refusal is not None:
        return "refused"
    if run.peer:
        return f"{run.peer} decides"
    return "sent" if run.server else "waits"


def _describe_refusal(refusal: Refusal | None) -> dict | None:
    if refusal is None:
        return None
    code = refusal.code
    return {
        "code": code.number,
        "name": code.name,
        "status": code.status,
        "reason": refusal.reason,
        "retry_after": refusal.retry_after,
    }


def _describe_organisation(organisation: Organisation | None) -> dict | None:
    if organisation is None:
        return None
    return {
        "name": organisation.name,
        "priority": organisation.priority,
        "rate": organisation.rate,
        "burst": organisation.burst,
    }


def _name_owner(state: DaemonState, service: str, now: float) -> str:
    """Name the daemon whose queue a request of a service waits in."""
    if owners.is_granted(state, service):
        return owners.find_owner(state, service, now)
    return owning.find_owner(state, service)
