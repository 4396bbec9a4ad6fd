"""Filter that finds the organisation of each call by its credential."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_core.configuration import Priority
from dotterelgate_core.messages import CallRouted, CallSettled

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.calls import CallState
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState

__all__ = ["make_identity_filter"]


def make_identity_filter(state: DaemonState) -> Filter:
    """Build the filter that refuses calls without a valid credential, also at a second attempt."""

    def identify(message: Message) -> Iterable[Message]:
        if not isinstance(message, CallRouted) or state.configuration.organisations is None:
            return (message,)
        refusal = _identify(state, state.calls.states[message.call.id])
        if refusal is None:
            return (message,)
        call_id = message.call.id
        return (CallSettled(now=message.now, call_id=call_id, refusal=refusal, ran=False),)

    return identify


def _identify(state: DaemonState, call_state: CallState) -> Refusal | None:
    assert state.configuration.organisations is not None
    credential = call_state.call.credential
    organisation = state.configuration.organisations.get(credential)
    call_state.organisation = organisation
    call_state.organisation_name = organisation.name if organisation else ""
    call_state.organisation_priority = Priority.clamp(organisation.priority if organisation else 0)
    if organisation is not None and organisation.problem:
        reason = f"the organisation {organisation.name} is out of service"
        return Refusal(codes.OUT_OF_SERVICE, reason)
    if organisation is not None or call_state.routed.route.is_exempt:
        return None
    reason = "the credential is not known" if credential else "a credential is required"
    return Refusal(codes.UNAUTHENTICATED, reason)
