"""Filter that finds the organisation of each call by its credential."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core import codes
from dotterelgate_core.codes import Refusal
from dotterelgate_core.configuration import Priority
from dotterelgate_core.messages import CallRouted, CallSettled, CredentialsChanged
from dotterelgate_core.retry_after import choose_retry_after
from dotterelgate_core.store_reading import STALE_SECONDS, is_unchecked

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.calls import CallState
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState
    from dotterelgate_core.store_reading import ReadingState

__all__ = ["make_identity_filter"]


def make_identity_filter(state: DaemonState, reading: ReadingState | None) -> Filter:
    """Build the filter that refuses calls without a valid credential, also at a second attempt.

    When a configuration comes into force, calls that wait here or at an owner are identified
    again.

    :param reading: when the configuration was read, ``None`` where its age is not known
    """

    def identify(message: Message) -> Iterable[Message]:
        if isinstance(message, CredentialsChanged):
            return _identify_waiting(state, reading, message.now)
        if not isinstance(message, CallRouted) or state.configuration.organisations is None:
            return (message,)
        call_state = state.calls.states[message.call.id]
        refusal = _identify(state, reading, call_state, message.now)
        return (message,) if refusal is None else (_settle(call_state, refusal, message.now),)

    return identify


def _identify_waiting(
    state: DaemonState, reading: ReadingState | None, now: float
) -> list[CallSettled]:
    if state.configuration.organisations is None:
        return []
    settled = []
    for call_state in state.calls.states.values():
        # The daemon that has a call knows its credential, and withdraws it from its owner at the
        # next tick.
        if not call_state.queued or call_state.requester is not None:
            continue
        refusal = _identify(state, reading, call_state, now)
        if refusal is not None:
            call_state.queued = False
            settled.append(_settle(call_state, refusal, now))
    return settled


def _settle(call_state: CallState, refusal: Refusal, now: float) -> CallSettled:
    return CallSettled(now=now, call_id=call_state.call.id, refusal=refusal, ran=False)


def _identify(
    state: DaemonState, reading: ReadingState | None, call_state: CallState, now: float
) -> Refusal | None:
    assert state.configuration.organisations is not None
    credential = call_state.call.credential
    organisation = state.configuration.organisations.get(credential)
    if organisation is None:
        return _refuse_unknown(reading, call_state, now)
    call_state.organisation = organisation
    call_state.organisation_name = organisation.name
    call_state.organisation_priority = Priority.clamp(organisation.priority)
    if organisation.problem:
        reason = f"the organisation {organisation.name} is out of service"
        return Refusal(codes.OUT_OF_SERVICE, reason)
    is_exempt = call_state.routed.route.is_exempt
    if not is_exempt and reading is not None and is_unchecked(reading, now):
        # The key may have been removed meanwhile.
        return _refuse_unchecked(call_state, now, "the daemon was suspended")
    return None


def _refuse_unknown(
    reading: ReadingState | None, call_state: CallState, now: float
) -> Refusal | None:
    was_known = call_state.organisation is not None
    if call_state.routed.route.is_exempt:
        call_state.organisation = None
        call_state.organisation_name = ""
        call_state.organisation_priority = 0
        return None
    if not call_state.call.credential:
        return Refusal(codes.UNAUTHENTICATED, "a credential is required")
    if reading is not None and _is_out_of_date(reading, now):
        # Callers do not repeat a request that was answered 401.
        reason = "the credential is not known, and the configuration may be out of date"
        return _refuse_unchecked(call_state, now, reason)
    if was_known:
        return Refusal(codes.CREDENTIAL_REVOKED, "the credential was removed")
    return Refusal(codes.UNAUTHENTICATED, "the credential is not known")


def _is_out_of_date(reading: ReadingState, now: float) -> bool:
    return now - reading.current_at > STALE_SECONDS or is_unchecked(reading, now)


def _refuse_unchecked(call_state: CallState, now: float, reason: str) -> Refusal:
    retry_after = choose_retry_after(call_state, now)
    return Refusal(codes.CREDENTIAL_UNCHECKED, reason, retry_after=retry_after)
