"""Filter that keeps a daemon's parts of the limits of cold servers current."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from dotterelgate_core.control_messages import ConfigurationChanged, ControlTicked
from dotterelgate_core.warm_up.coldness import follow_service
from dotterelgate_core.warm_up.shares import update_shares

if TYPE_CHECKING:
    from collections.abc import Iterable

    from dotterelgate_core.pipes import Filter, Message
    from dotterelgate_core.state import DaemonState

__all__ = ["DaemonsListed", "make_warm_up_filter"]

UPDATE_INTERVAL_SECONDS = 0.2


@dataclass(frozen=True, kw_only=True, slots=True)
class DaemonsListed:
    """The daemons that have an entry in the store were listed."""

    now: float
    names: frozenset[str]


def make_warm_up_filter(state: DaemonState) -> Filter:
    """Build the filter; it follows the configuration, the store's daemons and the time."""
    updated_at = float("-inf")

    def warm_up(message: Message) -> Iterable[Message]:
        nonlocal updated_at
        if isinstance(message, DaemonsListed):
            known = state.shares.entries
            state.shares.entries = {name: known.get(name, message.now) for name in message.names}
            return ()
        if isinstance(message, ConfigurationChanged):
            for server in state.servers.states.values():
                service = state.configuration.find_service(server.service)
                follow_service(server, service, message.now)
        if isinstance(message, ControlTicked):
            if message.now - updated_at >= UPDATE_INTERVAL_SECONDS:
                updated_at = message.now
                update_shares(state, message.now)
        return (message,)

    return warm_up
