"""Pipeline that applies what the keyed store holds and what peers send."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelgate_core.control_messages import ConfigurationChanged, ControlTicked
from dotterelgate_core.evacuations.applying import make_evacuation_filter
from dotterelgate_core.messages import CredentialsChanged, Decision, SlotFreed
from dotterelgate_core.pipes import connect
from dotterelgate_core.registry import make_registry_filter
from dotterelgate_core.sampling import make_sampling_filter
from dotterelgate_core.sharing import make_sharing_filter
from dotterelgate_core.store_reading import make_reading_filter
from dotterelgate_core.suspecting import make_check_filter
from dotterelgate_core.warm_up.following import make_warm_up_filter

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.configuration import Configuration
    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.registry import RegistryState
    from dotterelgate_core.sampling import SamplingState
    from dotterelgate_core.state import DaemonState
    from dotterelgate_core.store_reading import ReadingState

__all__ = ["ConfigurationStored", "make_store_pipeline"]

PROBLEM_LINES = 20


@dataclass(frozen=True, kw_only=True, slots=True)
class ConfigurationStored:
    """The store holds this configuration, or a peer has it in force.

    Only the store orders configurations, by their revision.

    :param source: where it was read: the store or a peer
    """

    now: float
    configuration: Configuration
    source: str


def make_store_pipeline(
    state: DaemonState, registry: RegistryState, reading: ReadingState, sampling: SamplingState
) -> Filter:
    """Build the pipeline for everything that does not concern a single call.

    It handles ``ConfigurationStored``, ``RegistrationRead``, ``RegistryListed``,
    ``StoreReadEnded``, ``StoreReadFailed``, ``StoreUpdateReceived``, ``StoreEraNamed``,
    ``EvacuationsRead``, ``DaemonsListed``, ``LoadsReceived``, ``HeartbeatReceived``,
    ``ServerCheckRequested``, ``ProbeEnded`` and ``ControlTicked``. It emits ``ReadStore``,
    ``StoreRestored``, ``Probe``, ``ServerEnded``, ``ServersEvacuated``, ``ConfigurationChanged``,
    ``CredentialsChanged``, ``SlotFreed`` and ``Decision``.
    """
    return connect(
        _make_configuration_filter(state),
        make_warm_up_filter(state),
        make_reading_filter(state, registry, reading),
        make_evacuation_filter(state),
        make_registry_filter(state, registry),
        make_sharing_filter(state),
        make_check_filter(state),
        make_sampling_filter(state, sampling),
        _drop_ticks,
    )


def _drop_ticks(message: Message) -> Iterable[Message]:
    return () if isinstance(message, ControlTicked) else (message,)


def _make_configuration_filter(state: DaemonState) -> Filter:
    def configure(message: Message) -> Iterable[Message]:
        if not isinstance(message, ConfigurationStored):
            return (message,)
        if not state.configuration.adopt(message.configuration):
            return ()
        return _announce(message)

    return configure


def _announce(stored: ConfigurationStored) -> list[Message]:
    configuration = stored.configuration
    sentence = f"revision {configuration.revision} is in force, learned from {stored.source}"
    return [
        ConfigurationChanged(now=stored.now, configuration=configuration, source=stored.source),
        # Before any slot is reported free, so that no waiting call gets one by a revoked key.
        CredentialsChanged(now=stored.now),
        Decision(part="control", sentence=sentence),
        *_describe_problems(configuration),
        *(SlotFreed(now=stored.now, service=service.name) for service in configuration.services),
    ]


def _describe_problems(configuration: Configuration) -> list[Decision]:
    problems = configuration.problems
    sentences = [f"out of service: {problem}" for problem in problems[:PROBLEM_LINES]]
    if len(problems) > PROBLEM_LINES:
        sentences.append(f"out of service: {len(problems) - PROBLEM_LINES} more")
    return [Decision(part="control", sentence=sentence) for sentence in sentences]
