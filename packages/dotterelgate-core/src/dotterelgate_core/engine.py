"""Assembly of the pipeline that decides on requests."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dotterelgate_core.admission import make_admission_filter
from dotterelgate_core.allowances.borrowing import make_quota_filter
from dotterelgate_core.allowances.lending import make_lending_filter
from dotterelgate_core.allowances.returning import make_return_filter
from dotterelgate_core.asking import AskingState, make_asking_filter
from dotterelgate_core.binding import make_binding_filter
from dotterelgate_core.evacuations.refusing import make_refusing_filter
from dotterelgate_core.finishing import make_finishing_filter
from dotterelgate_core.granting import (
    GrantingState,
    make_granting_filter,
    make_reply_filter,
)
from dotterelgate_core.hedging.relaying import make_relay_filter
from dotterelgate_core.hedging.starting import make_hedging_filter
from dotterelgate_core.hedging.watching import make_watching_filter
from dotterelgate_core.holding import make_holding_filter, make_key_settling_filter
from dotterelgate_core.observing import make_observing_filter
from dotterelgate_core.organisations.identifying import make_identity_filter
from dotterelgate_core.owning import make_owning_filter
from dotterelgate_core.pipes import connect
from dotterelgate_core.policies import make_policies
from dotterelgate_core.routes import make_route_filter
from dotterelgate_core.settling import make_settling_filter
from dotterelgate_core.stopping.settling import make_stop_filter
from dotterelgate_core.suspecting import make_evidence_filter, make_suspect_filter

if TYPE_CHECKING:
    from collections.abc import Mapping
    from random import Random

    from dotterelgate_core.pipes import Filter
    from dotterelgate_core.policies import Policy
    from dotterelgate_core.state import DaemonState
    from dotterelgate_core.store_reading import ReadingState

__all__ = ["make_request_pipeline"]


def make_request_pipeline(
    state: DaemonState,
    random: Random,
    extra_policies: Mapping[str, Policy] | None = None,
    *,
    keyed: bool = True,
    reading: ReadingState | None = None,
) -> Filter:
    """Build the pipeline that turns the events of calls into orders.

    It handles ``CallArrived``, ``CallerDisconnected``, ``ServerAnswered``, ``DispatchFailed``,
    ``PeerAnswered``, ``PeerFailed``, ``RelayBegan``, ``SlotFreed``, ``SlotRequested``,
    ``SlotGranted``, ``SlotQueued``, ``SlotDenied``, ``SlotWithdrawn``, ``ServerEnded``,
    ``SuspectsReceived``, ``SuspectCleared``, ``ServersEvacuated``, ``CredentialsChanged``,
    ``TokensRequested``, ``TokensLent``, ``TokensReturned``, ``StopReached`` and ``Ticked``. It
    emits ``Dispatch``, ``Forward``, ``Cancel``, ``Relay``, ``Replay``, ``RequestSlot``,
    ``GrantSlot``, ``QueueSlot``, ``DenySlot``, ``WithdrawSlot``, ``CheckServer``,
    ``AnnounceSuspects``, ``BorrowTokens``, ``LendTokens``, ``ReturnTokens``, ``QuotaApplied``,
    ``CountSecondAttempt``, ``TickAt``, ``FailUnsent``, ``RefuseCall`` and ``Decision``.

    :param state: the daemon's state
    :param random: source of random choices between equal backend servers
    :param extra_policies: policies in addition to those that a configuration may name
    :param keyed: whether callers send idempotency keys and queues have owners; without
        them no lease is needed
    :param reading: when the configuration was read, ``None`` where its age is not known
    """
    policies = {**make_policies(random, state.zone), **(extra_policies or {})}
    granting = GrantingState()
    key_filters = [make_holding_filter(state), make_owning_filter(state, policies)] if keyed else []
    # Only a platform's configuration has organisations, and its daemons share no keys.
    quota_filters = [] if keyed else [make_lending_filter(state), make_quota_filter(state)]
    return_filters = [] if keyed else [make_return_filter(state)]
    # Daemons that share no keys share what they know of requests that end servers.
    evidence_filters = [] if keyed else [make_evidence_filter(state)]
    suspect_filters = [] if keyed else [make_suspect_filter(state)]
    key_settling_filters = [make_key_settling_filter(state)] if keyed else []
    return connect(
        make_route_filter(state),
        *evidence_filters,
        make_observing_filter(state),
        make_settling_filter(state),
        make_stop_filter(state),
        make_relay_filter(state),
        make_identity_filter(state, reading),
        *quota_filters,
        *suspect_filters,
        *key_filters,
        make_hedging_filter(state, policies),
        make_granting_filter(state, granting),
        make_asking_filter(state, AskingState(), policies),
        make_refusing_filter(state),
        make_admission_filter(state, policies),
        *key_settling_filters,
        make_binding_filter(state, policies),
        make_watching_filter(state),
        *return_filters,
        make_reply_filter(state, granting),
        make_finishing_filter(state),
    )
