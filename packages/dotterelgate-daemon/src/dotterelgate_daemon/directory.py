"""Finds the other daemons by their entries in the keyed store."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING

from dotterelgate_daemon.keyed_reading import Dependency, KeyedReader
from dotterelgate_daemon.store import StoreRecord, Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_daemon.keyed_reading import StoreAccess
    from dotterelgate_daemon.timers import TimerService

__all__ = ["DaemonDirectory"]


class DaemonDirectory:
    """Finds the other daemons by entries that each writes at its start.

    :param own: this daemon's name, and where it takes datagrams
    """

    def __init__(
        self,
        *,
        own: tuple[str, str],
        access: StoreAccess,
        timers: TimerService,
    ) -> None:
        self._own = own
        self._calls = access.calls
        self._client = access.client
        self._timers = timers
        self._mesh = access.mesh
        self._dependency = Dependency(name="the daemons' topic")
        self._reader = KeyedReader(
            topic=Topic.DAEMONS,
            calls=access.calls,
            client=access.client,
            take=self._send_first_heartbeats,
            listed=lambda keys, end: None,
            done=self._dependency.note_answer,
            failed=lambda reason: self._try_again(reason, self._reader.read),
        )

    def start(self) -> None:
        """Write this daemon's entry, then greet all others."""
        name, address = self._own
        request = self._calls.append(Topic.DAEMONS, name, address.encode("ascii"))
        self._client.fetch(
            method=request.method,
            path=request.path,
            body=request.body,
            answered=self._take_answer,
            failed=lambda reason: self._try_again(reason, self.start),
        )

    def _take_answer(self, status: int, _body: bytes) -> None:
        if status != HTTPStatus.OK:
            self._try_again(f"the entry was answered with status {status}", self.start)
            return
        self._dependency.note_answer()
        self._reader.read()

    def _try_again(self, reason: str, call: Callable[[], None]) -> None:
        self._timers.call_after(delay=self._dependency.note_failure(reason), call=call)

    def _send_first_heartbeats(self, records: list[StoreRecord]) -> None:
        for record in records:
            if record.key != self._own[0] and record.value is not None:
                self._mesh.send_first_heartbeat(record.value.decode("ascii", "replace"))
