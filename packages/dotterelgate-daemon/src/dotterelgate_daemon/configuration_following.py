"""Follows the configuration in the keyed store and from peers."""

from __future__ import annotations

import time
import zlib
from typing import TYPE_CHECKING

import structlog

from dotterelgate_border.datagrams import ConfigurationPart, ConfigurationRequest, Heartbeat
from dotterelgate_core.codes import Refusal
from dotterelgate_core.store_control import ConfigurationStored
from dotterelgate_core.store_reading import ConfigurationReadEnded, ConfigurationReadFailed
from dotterelgate_daemon.keyed_reading import Dependency, KeyedReader
from dotterelgate_daemon.store import StoreRecord, Topic

if TYPE_CHECKING:
    from dotterelgate_border.datagrams import Datagram
    from dotterelgate_daemon.keyed_reading import StoreAccess

__all__ = ["ConfigurationFollower"]

logger = structlog.get_logger("store")

# The store answers a read once a record is written, or after this time. A lost answer
# is noticed after this time plus the client's own timeout.
LONG_POLL_SECONDS = 5.0
# A datagram holds at most 65,507 bytes; parts stay well below.
PART_BYTES = 32_000
REQUEST_INTERVAL_SECONDS = 0.5


class ConfigurationFollower:
    """Reads the configuration and exchanges it with peers."""

    def __init__(self, *, access: StoreAccess) -> None:
        self._state = access.state
        self._calls = access.calls
        self._mesh = access.mesh
        self._emit = access.emit
        self._document = b""
        self._parts: dict[tuple[str, int], dict[int, bytes]] = {}
        self._requested_at = float("-inf")
        self._dependency = Dependency(name="the configuration's topic")
        self._reader = KeyedReader(
            topic=Topic.CONFIGURATION,
            calls=access.calls,
            client=access.client,
            on_records=self._apply_records,
            on_listed=lambda keys, end: None,
            on_done=self._end_read,
            on_failure=self._fail,
        )

    def read(self) -> None:
        """Read the configuration; if it was read before, wait for a newer one."""
        self._reader.read(wait=LONG_POLL_SECONDS)

    def receive(self, message: Datagram) -> None:
        """Handle a peer's message."""
        if isinstance(message, Heartbeat):
            self._request_if_newer(message)
        elif isinstance(message, ConfigurationRequest):
            self._send_configuration(message)
        elif isinstance(message, ConfigurationPart):
            self._receive_part(message)

    def _end_read(self) -> None:
        self._dependency.note_answer()
        self._emit(ConfigurationReadEnded(now=time.monotonic()))

    def _fail(self, reason: str) -> None:
        self._dependency.note_failure(reason)
        self._emit(ConfigurationReadFailed(now=time.monotonic(), reason=reason))

    def _apply_records(self, records: list[StoreRecord]) -> None:
        for record in records:
            if record.key == self._calls.configuration_key and record.value is not None:
                self._apply_document(record.value, "the store")

    def _apply_document(self, document: bytes, source: str) -> None:
        configuration = self._calls.decode_configuration(document)
        if isinstance(configuration, Refusal):
            logger.warning(
                "store: a configuration cannot be read; the one in force stays",
                reason=configuration.reason,
                source=source,
            )
            return
        current = self._state.configuration.current
        if current is None or configuration.revision > current.revision:
            self._document = document
        now = time.monotonic()
        self._emit(ConfigurationStored(now=now, configuration=configuration, source=source))

    def _request_if_newer(self, heartbeat: Heartbeat) -> None:
        current = self._state.configuration.current
        own = current.revision if current is not None else 0
        now = time.monotonic()
        if heartbeat.revision <= own or now - self._requested_at < REQUEST_INTERVAL_SECONDS:
            return
        self._requested_at = now
        request = ConfigurationRequest(sender=self._state.name, address=self._mesh.address)
        self._mesh.send_message(heartbeat.address, request)

    def _send_configuration(self, request: ConfigurationRequest) -> None:
        current = self._state.configuration.current
        if current is None or not self._document:
            return
        body = zlib.compress(self._document)
        parts = [body[at : at + PART_BYTES] for at in range(0, len(body), PART_BYTES)]
        for number, part in enumerate(parts):
            message = ConfigurationPart(
                sender=self._state.name,
                revision=current.revision,
                part=number,
                parts=len(parts),
                body=part,
            )
            self._mesh.send_message(request.address, message)

    def _receive_part(self, message: ConfigurationPart) -> None:
        key = (message.sender, message.revision)
        parts = self._parts.setdefault(key, {})
        parts[message.part] = message.body
        if len(parts) < message.parts:
            return
        self._parts.clear()
        try:
            document = zlib.decompress(b"".join(parts[number] for number in range(message.parts)))
        except (zlib.error, KeyError) as error:
            logger.warning("store: a peer's configuration is corrupt", reason=repr(error))
            return
        self._apply_document(document, message.sender)
