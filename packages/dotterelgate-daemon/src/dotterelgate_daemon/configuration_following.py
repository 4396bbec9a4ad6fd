"""Follows the operator's records in the keyed store, and the configuration from peers."""

from __future__ import annotations

import time
import zlib
from typing import TYPE_CHECKING

import structlog

from dotterelgate_border.datagrams import (
    ConfigurationPart,
    ConfigurationRequest,
    Heartbeat,
    RegistryUpdate,
    encode_datagram,
)
from dotterelgate_core.codes import Refusal
from dotterelgate_core.eras import Position
from dotterelgate_core.evacuations.applying import EvacuationsRead
from dotterelgate_core.evacuations.records import EvacuationRecords
from dotterelgate_core.readers import select_behind
from dotterelgate_core.store_control import ConfigurationStored
from dotterelgate_daemon.configuration_parts import ConfigurationParts, InvalidPartsError
from dotterelgate_daemon.keyed_reading import Dependency, KeyedReader, ReadOutcome
from dotterelgate_daemon.store import StoreRecord, Topic

if TYPE_CHECKING:
    from dotterelgate_border.datagrams import Datagram
    from dotterelgate_daemon.keyed_reading import StoreAccess

__all__ = ["ConfigurationFollower"]

logger = structlog.get_logger("store")

# A datagram holds at most 65,507 bytes; parts stay well below.
PART_BYTES = 32_000
REQUEST_INTERVAL_SECONDS = 0.5


class ConfigurationFollower:
    """Reads the configuration and the evacuated zones, and exchanges the former with peers."""

    def __init__(self, *, access: StoreAccess) -> None:
        self._state = access.state
        self._calls = access.calls
        self._mesh = access.mesh
        self._emit = access.emit
        self._document = b""
        self._parts = ConfigurationParts()
        self._requested_at = float("-inf")
        self._dependency = Dependency(name="the configuration's topic")
        self._evacuations = EvacuationRecords()
        self._reader = KeyedReader(
            topic=Topic.CONFIGURATION,
            access=access,
            on_records=self._apply_records,
            on_listed=self._note_listing,
        )

    def read(self, outcome: ReadOutcome) -> None:
        """Read the operator's records, or the newer ones if they were read before."""
        watched = self._dependency.watch(outcome)

        def end() -> None:
            self._emit_evacuations()
            watched.on_done()

        self._reader.read(ReadOutcome(on_done=end, on_failure=watched.on_failure))

    def receive(self, message: Datagram) -> None:
        """Handle a peer's message."""
        if isinstance(message, Heartbeat):
            self._request_if_newer(message.revision, message.address)
        elif isinstance(message, RegistryUpdate):
            self._request_from_sender(message)
        elif isinstance(message, ConfigurationRequest):
            self._send_configuration(message)
        elif isinstance(message, ConfigurationPart):
            self._receive_part(message)

    def send_to_those_behind(self, names: list[str]) -> None:
        """Send the configuration to those peers that have not announced it."""
        behind = select_behind(self._state, names)
        addresses = [self._state.peers.listed[name].address for name in behind]
        for part in self._encode_parts() if behind else ():
            self._mesh.send_to_all(addresses, part)

    def _apply_records(self, records: list[StoreRecord]) -> None:
        for record in records:
            zone = self._calls.read_evacuated_zone(record.key)
            if zone is not None:
                position = Position(era=record.era, offset=record.offset)
                is_evacuated = record.value is not None
                self._evacuations.note_record(zone, position, is_evacuated=is_evacuated)
            elif record.key == self._calls.configuration_key and record.value is not None:
                self._apply_document(record.value, "the store")

    def _note_listing(self, keys: frozenset[str], end: Position) -> None:
        zones = (self._calls.read_evacuated_zone(key) for key in keys)
        self._evacuations.note_listing(frozenset(zone for zone in zones if zone is not None), end)

    def _emit_evacuations(self) -> None:
        position = self._reader.position
        if position is None:
            # The store was restored during the read; the next one lists all keys.
            return
        zones = self._evacuations.list_evacuated()
        self._emit(EvacuationsRead(now=time.monotonic(), zones=zones, position=position))

    def _apply_document(self, document: bytes, source: str) -> None:
        configuration = self._calls.decode_configuration(document)
        if isinstance(configuration, Refusal):
            logger.warning(
                "store: a configuration cannot be read; the one in force stays",
                reason=configuration.reason,
                source=source,
            )
            return
        if configuration.revision > self._state.configuration.revision:
            self._document = self._calls.prepare_for_peers(document)
        now = time.monotonic()
        self._emit(ConfigurationStored(now=now, configuration=configuration, source=source))

    def _request_from_sender(self, update: RegistryUpdate) -> None:
        peer = self._state.peers.listed.get(update.sender)
        if peer is not None:
            self._request_if_newer(update.revision, peer.address)

    def _request_if_newer(self, revision: int, address: str) -> None:
        now = time.monotonic()
        own = self._state.configuration.revision
        if revision <= own or now - self._requested_at < REQUEST_INTERVAL_SECONDS:
            return
        self._requested_at = now
        request = ConfigurationRequest(sender=self._state.name, address=self._mesh.address)
        self._mesh.send_message(address, request)

    def _send_configuration(self, request: ConfigurationRequest) -> None:
        for part in self._encode_parts():
            self._mesh.send(request.address, part)

    def _encode_parts(self) -> list[bytes]:
        if not self._document:
            return []
        body = zlib.compress(self._document)
        parts = [body[at : at + PART_BYTES] for at in range(0, len(body), PART_BYTES)]
        messages = (
            ConfigurationPart(
                sender=self._state.name,
                revision=self._state.configuration.revision,
                part=number,
                parts=len(parts),
                body=part,
            )
            for number, part in enumerate(parts)
        )
        return [encode_datagram(message) for message in messages]

    def _receive_part(self, message: ConfigurationPart) -> None:
        try:
            document = self._parts.add(
                sender=message.sender,
                revision=message.revision,
                part=message.part,
                count=message.parts,
                body=message.body,
            )
        except InvalidPartsError as error:
            logger.warning("store: a peer's configuration is corrupt", reason=str(error))
            return
        if document is not None:
            self._apply_document(document, message.sender)
