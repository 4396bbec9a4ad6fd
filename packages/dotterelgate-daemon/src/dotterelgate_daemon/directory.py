"""Finds the other daemons by their entries in the keyed store."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

import msgspec
import structlog

from dotterelgate_border.settings import Address
from dotterelgate_daemon.keyed_reading import Dependency, KeyedReader, ReadOutcome
from dotterelgate_daemon.store import StoreRecord, Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_daemon.keyed_reading import StoreAccess
    from dotterelgate_daemon.platform import PlatformAnswer
    from dotterelgate_daemon.timers import TimerService

__all__ = ["DaemonDirectory"]

logger = structlog.get_logger("store")


class DaemonDirectory:
    """Finds the other daemons by the entries that they write when they start.

    :param own: this daemon's name and the address on which it receives datagrams
    """

    def __init__(
        self,
        *,
        own: tuple[str, str],
        access: StoreAccess,
        timers: TimerService,
    ) -> None:
        self._own = own
        self._access = access
        self._calls = access.calls
        self._client = access.client
        self._timers = timers
        self._mesh = access.mesh
        self._dependency = Dependency(name="the daemons' topic")
        self._reader = KeyedReader(
            topic=Topic.DAEMONS, access=access, on_records=self._send_first_heartbeats
        )

    def start(self) -> None:
        """Write this daemon's entry, then send first heartbeats to all others."""
        name, address = self._own
        request = self._calls.append(Topic.DAEMONS, name, address.encode("ascii"))
        self._client.fetch(
            method=request.method,
            path=request.path,
            body=request.body,
            on_answer=self._receive_answer,
            on_failure=lambda reason: self._retry_later(reason, self.start),
        )

    def _receive_answer(self, answer: PlatformAnswer) -> None:
        self._access.read_era(answer)
        if answer.status != HTTPStatus.OK:
            self._retry_later(f"the entry was answered with status {answer.status}", self.start)
            return
        self._dependency.note_answer()
        self._read()

    def _read(self) -> None:
        outcome = ReadOutcome(
            on_done=self._dependency.note_answer,
            on_failure=lambda reason: self._retry_later(reason, self._read),
        )
        self._reader.read(outcome)

    def _retry_later(self, reason: str, call: Callable[[], None]) -> None:
        self._timers.call_after(delay=self._dependency.note_failure(reason), call=call)

    def _send_first_heartbeats(self, records: list[StoreRecord]) -> None:
        for record in records:
            if record.key != self._own[0] and record.value is not None:
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
