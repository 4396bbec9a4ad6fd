"""Reads what a daemon follows in the keyed store, one topic after the other."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from dotterelgate_core.readers import select_read_receivers
from dotterelgate_core.store_reading import StoreReadEnded, StoreReadFailed
from dotterelgate_daemon.keyed_reading import ReadOutcome

if TYPE_CHECKING:
    from dotterelgate_core.store_reading import ReadingState
    from dotterelgate_daemon.configuration_following import ConfigurationFollower
    from dotterelgate_daemon.keyed_reading import StoreAccess
    from dotterelgate_daemon.registry_following import RegistryFollower

__all__ = ["StoreReader"]


class StoreReader:
    """Reads the configuration, then the registry, and announces to peers what was read.

    A store that does not answer gets one call a read, not one for each topic.
    """

    def __init__(
        self,
        *,
        access: StoreAccess,
        reading: ReadingState,
        configuration: ConfigurationFollower,
        registry: RegistryFollower,
    ) -> None:
        self._state = access.state
        self._emit = access.emit
        self._reading = reading
        self._configuration = configuration
        self._registry = registry
        self._number = 0

    def read(self) -> None:
        """Read both topics; a read that is still in progress counts no longer."""
        self._number += 1
        number = self._number
        outcome = ReadOutcome(
            on_done=lambda: self._read_registry(number),
            on_failure=lambda reason: self._fail(number, reason),
        )
        self._configuration.read(outcome)

    def _read_registry(self, number: int) -> None:
        if number != self._number:
            return
        outcome = ReadOutcome(
            on_done=lambda: self._end(number),
            on_failure=lambda reason: self._fail(number, reason),
        )
        self._registry.read(outcome)

    def _end(self, number: int) -> None:
        if number != self._number:
            return
        now = time.monotonic()
        self._emit(StoreReadEnded(now=now))
        receivers = select_read_receivers(self._state, self._reading, now)
        self._registry.announce_changes(now, receivers)

    def _fail(self, number: int, reason: str) -> None:
        if number == self._number:
            self._emit(StoreReadFailed(now=time.monotonic(), reason=reason))
