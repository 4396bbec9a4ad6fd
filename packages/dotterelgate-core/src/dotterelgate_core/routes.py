"""Filter that matches a request with a route and sets its time limit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal, limit_to_attempt
from dotterelgate_core.messages import CallArrived, CallRouted, RefuseCall

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.codes import ResultCode
    from dotterelgate_core.configuration import ConfigurationState, Route, Service
    from dotterelgate_core.messages import Call
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState

__all__ = ["find_route", "make_route_filter"]

UNREAD_LIMIT_SECONDS = 1.0


def make_route_filter(state: DaemonState) -> Filter:
    """Build the filter that turns arrived calls into routed or refused ones."""

    def route(message: Message) -> Iterable[Message]:
        if not isinstance(message, CallArrived):
            return (message,)
        return (_route(state, message),)

    return route


def find_route(configuration: ConfigurationState, call: Call) -> tuple[Service, Route] | None:
    """Find the service and its route with the longest matching prefix."""
    for service, route in configuration.routes.list_candidates(call.host):
        if _matches(route, call):
            return service, route
    return None


def _route(state: DaemonState, message: CallArrived) -> Message:
    call = message.call
    if state.configuration.current is None:
        return _refuse(call, codes.NO_CONFIGURATION, "no configuration is in force yet")
    found = find_route(state.configuration, call)
    if found is None:
        return _refuse(call, codes.NO_ROUTE, f"no route for {call.method} {call.path}")
    service, route = found
    if route.problem:
        return _refuse(call, codes.OUT_OF_SERVICE, f"route {route.name}: {route.problem}")
    if call.unread_wait > UNREAD_LIMIT_SECONDS and not route.idempotent:
        return _refuse(call, codes.STALE, f"may have waited {call.unread_wait:.1f} s unread")
    timeout = route.timeout if call.timeout is None else min(call.timeout, route.timeout)
    if timeout <= 0:
        return _refuse(call, codes.DEADLINE_PASSED, "the time limit had passed on arrival")
    deadline = message.now + timeout
    if state.stop is not None and message.now >= state.stop.late_at:
        if deadline > state.stop.ends_at:
            reason = "it may take longer than this daemon runs on"
            return _refuse(call, codes.STOPPING, reason)
    service = _choose_part(state, service, route)
    routed = CallRouted(
        now=message.now,
        wall=message.wall,
        call=call,
        service=service,
        route=route,
        deadline=deadline,
    )
    state.calls.add(routed)
    state.times.routed_at[service.name] = message.now
    return routed


def _choose_part(state: DaemonState, service: Service, route: Route) -> Service:
    if not route.split:
        return service
    name = state.splits.choose(route)
    return state.configuration.find_service(name) or service


def _refuse(call: Call, code: ResultCode, reason: str) -> RefuseCall:
    refusal = Refusal(code, reason)
    if call.key is not None:
        refusal = limit_to_attempt(refusal)
    return RefuseCall(call_id=call.id, refusal=refusal)


def _matches(route: Route, call: Call) -> bool:
    if route.methods and call.method not in route.methods:
        return False
    if route.prefix == "/":
        return True
    return call.path == route.prefix or call.path.startswith(route.prefix.rstrip("/") + "/")
