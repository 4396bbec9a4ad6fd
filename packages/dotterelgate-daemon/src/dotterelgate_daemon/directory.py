"""Finds the other daemons by their entries in the keyed store."""

from __future__ import annotations

import time
from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
import structlog

from dotterelgate_border.settings import Address
from dotterelgate_core.warm_up.following import DaemonsListed
from dotterelgate_daemon.keyed_reading import Dependency, KeyedReader, ReadOutcome
from dotterelgate_daemon.store import StoreRecord, Topic

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from dotterelgate_core.eras import Position
    from dotterelgate_daemon.keyed_reading import StoreAccess
    from dotterelgate_daemon.platform import PlatformAnswer
    from dotterelgate_daemon.timers import TimerService

__all__ = ["DaemonDirectory"]

logger = structlog.get_logger("store")

# After a restore the daemons check their entries within this time: at 312 daemons, 104 of the
# 2,000 reads a second that the platform allows.
CHECK_SPREAD_SECONDS = 3.0


class DaemonDirectory:
    """Finds the other daemons by the entries that they write when they start.

    :param own: this daemon's name and the address on which it receives datagrams
    :param random: spreads the checks of the daemons after a restore of the store
    """

    def __init__(
        self,
        *,
        own: tuple[str, str],
        access: StoreAccess,
        timers: TimerService,
        random: Random,
    ) -> None:
        self._own = own
        self._access = access
        self._random = random
        self._is_listed = False
        self._is_settled = False
        self._greets = True
        self._calls = access.calls
        self._client = access.client
        self._timers = timers
        self._mesh = access.mesh
        self._dependency = Dependency(name="the daemons' topic")
        self._reader = KeyedReader(
            topic=Topic.DAEMONS,
            access=access,
            on_records=self._send_first_heartbeats,
            on_listed=self._note_listing,
        )

    def start(self) -> None:
        """Write this daemon's entry, then send first heartbeats to all others."""
        self._is_settled = False
        self._greets = True
        name, address = self._own
        request = self._calls.append(Topic.DAEMONS, name, address.encode("ascii"))
        self._client.fetch(
            method=request.method,
            path=request.path,
            body=request.body,
            on_answer=self._receive_answer,
            on_failure=lambda reason: self._retry_later(reason, self.start),
        )

    def check_later(self) -> None:
        """Check within some seconds that this daemon's entry outlasted a restore of the store.

        Daemons that started since have not found one whose entry is gone.
        """
        delay = self._random.uniform(0.0, CHECK_SPREAD_SECONDS)
        self._timers.call_after(delay=delay, call=self._check)

    def _check(self) -> None:
        # A listing in progress ends in the same check.
        if self._is_settled:
            self._is_settled = False
            self._greets = False
            self._read()

    def _receive_answer(self, answer: PlatformAnswer) -> None:
        self._access.read_era(answer)
        if answer.status != HTTPStatus.OK:
            self._retry_later(f"the entry was answered with status {answer.status}", self.start)
            return
        self._dependency.note_answer()
        self._read()

    def _read(self) -> None:
        outcome = ReadOutcome(
            on_done=self._end_listing,
            on_failure=lambda reason: self._retry_later(reason, self._read),
        )
        self._reader.position = None
        self._reader.read(outcome)

    def _note_listing(self, keys: frozenset[str], _end: Position) -> None:
        self._is_listed = self._own[0] in keys
        self._access.state.quotas.view.entries = keys
        self._access.emit(DaemonsListed(now=time.monotonic(), names=keys))

    def _end_listing(self) -> None:
        if self._is_listed:
            self._is_settled = True
            self._dependency.note_answer()
        else:
            self._retry_later("the entry of this daemon is gone", self.start)

    def _retry_later(self, reason: str, call: Callable[[], None]) -> None:
        self._timers.call_after(delay=self._dependency.note_failure(reason), call=call)

    def _send_first_heartbeats(self, records: list[StoreRecord]) -> None:
        for record in records:
            is_other = record.key != self._own[0]
            if self._greets and is_other and record.value is not None:
                self._greet(record.key, record.value.decode("ascii", "replace"))

    def _greet(self, name: str, address: str) -> None:
        try:
            msgspec.convert(address, Address)
        except msgspec.ValidationError as error:
            logger.warning(
                "store: an entry of the daemons cannot be used", entry=name, reason=str(error)
            )
            return
        self._mesh.send_first_heartbeat(address)
