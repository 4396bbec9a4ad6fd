"""Follows the entries of backend servers in the keyed store and from peers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import structlog

from dotterelgate_border.datagrams import (
    Heartbeat,
    RegistryEntry,
    RegistryRequest,
    RegistryUpdate,
    encode_datagram,
)
from dotterelgate_core.codes import Refusal
from dotterelgate_core.eras import Position
from dotterelgate_core.readers import select_relay_receivers
from dotterelgate_core.registry import RegistrationRead, RegistryListed, StoreEraNamed
from dotterelgate_core.store_reading import REPEAT_SECONDS, StoreUpdateReceived
from dotterelgate_daemon.keyed_reading import Dependency, KeyedReader
from dotterelgate_daemon.registry_updates import (
    MAX_UPDATE_BYTES,
    add_evacuations,
    find_position,
    read_evacuations,
    split_entries,
)
from dotterelgate_daemon.store import StoreRecord, Topic

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_border.datagrams import Datagram
    from dotterelgate_core.registry import Registration, RegistryState
    from dotterelgate_core.store_reading import ReadingState
    from dotterelgate_daemon.keyed_reading import ReadOutcome, StoreAccess

__all__ = ["RegistryFollower"]

logger = structlog.get_logger("store")

MILLISECONDS = 1000
STORE = "the store"
# Shortest interval between requests to peers while no backend server is known.
REQUEST_INTERVAL_SECONDS = 0.3


class RegistryFollower:
    """Reads the entries of backend servers and exchanges them with peers.

    :param send_configuration: sends the configuration to those of some peers that need it
    """

    def __init__(
        self,
        *,
        access: StoreAccess,
        registry: RegistryState,
        reading: ReadingState,
        send_configuration: Callable[[list[str]], None],
    ) -> None:
        self._state = access.state
        self._registry = registry
        self._reading = reading
        self._calls = access.calls
        self._mesh = access.mesh
        self._emit = access.emit
        self._send_configuration = send_configuration
        self._decoded: dict[str, Registration | None] = {}
        self._entries: dict[str, RegistryEntry] = {}
        self._requested_at = float("-inf")
        self._has_listed = False
        self._changes: dict[str, tuple[float, RegistryEntry]] = {}
        self._positions: list[tuple[float, Position]] = []
        self._dependency = Dependency(name="the registry's topic")
        self._reader = KeyedReader(
            topic=Topic.REGISTRY,
            access=access,
            on_records=lambda records: self._apply_records(records, STORE),
            on_listed=self._note_listing,
        )

    def read(self, outcome: ReadOutcome) -> None:
        """Read the new records."""
        self._reader.read(self._dependency.watch(outcome))

    def receive(self, message: Datagram) -> None:
        """Handle a peer's message."""
        if isinstance(message, RegistryUpdate):
            self._apply_update(message)
        elif isinstance(message, Heartbeat):
            self._request_registry(message)
        elif isinstance(message, RegistryRequest):
            self._send_all(message.address)

    def _request_registry(self, heartbeat: Heartbeat) -> None:
        """Request all entries from a peer if the store fails and none is known."""
        now = time.monotonic()
        if not self._reading.failures or self._state.servers.states or not heartbeat.can_decide:
            return
        if now - self._requested_at < REQUEST_INTERVAL_SECONDS:
            return
        self._requested_at = now
        logger.info("store: asking a peer for the registry", peer=heartbeat.sender)
        request = RegistryRequest(sender=self._state.name, address=self._mesh.address)
        self._mesh.send_message(heartbeat.address, request)

    def _send_all(self, address: str) -> None:
        """Send all entries, in as many datagrams as they need."""
        position = self._reader.position
        if position is not None:
            self._send_in_parts(address, position, list(self._entries.values()))

    def _send_in_parts(
        self, address: str, position: Position, entries: list[RegistryEntry]
    ) -> None:
        for batch in split_entries(entries):
            self._send_entries(address, position, batch)

    def _send_entries(self, address: str, position: Position, entries: list[RegistryEntry]) -> None:
        update = RegistryUpdate(
            sender=self._state.name,
            start=position.offset,
            end=position.offset,
            returned_ms=-1,
            entries=entries,
            era=position.era,
            start_era=position.era,
        )
        self._mesh.send_message(address, add_evacuations(self._state, update))

    def _note_listing(self, keys: frozenset[str], end: Position) -> None:
        now = time.monotonic()
        self._emit(RegistryListed(now=now, names=keys, end=end))
        for name in self._entries.keys() - keys:
            if find_position(self._entries[name]) < end:
                del self._entries[name], self._decoded[name]
                removed = self._build_removed(name, end.offset - 1, end.era)
                self._changes[name] = (now, removed)
        self._has_listed = True

    def _apply_records(self, records: list[StoreRecord], source: str) -> None:
        now = time.monotonic()
        for record in records:
            registration, reason = self._decode(record)
            read = RegistrationRead(
                now=now,
                name=record.key,
                offset=record.offset,
                registration=registration,
                reason=reason,
                source=source,
                era=record.era,
                removed_run=record.removed_run,
            )
            if self._registry.is_news(read):
                self._keep(now, record, registration, source)
            self._emit(read)

    def _keep(
        self, now: float, record: StoreRecord, registration: Registration | None, source: str
    ) -> None:
        if record.value is None:
            entry = self._build_removed(record.key, record.offset, record.era)
        else:
            entry = RegistryEntry(
                name=record.key, offset=record.offset, value=record.value, era=record.era
            )
        is_change = self._is_change(record.key, registration)
        # What the first listing holds is no news to peers.
        if is_change and (self._has_listed or source != STORE):
            self._changes[entry.name] = (now, entry)
        if entry.value is None:
            self._entries.pop(entry.name, None)
        else:
            self._entries[entry.name] = entry

    def _build_removed(self, name: str, offset: int, era: int) -> RegistryEntry:
        """Build the entry of a removed one, with the count of its last write.

        Updates leave out writes that change nothing, so peers may know an older count than a copy
        of the store holds, and would take the copy's entry for a newer one.
        """
        known = self._registry.versions.get(name)
        born, write = known.run if known is not None and known.run is not None else (0, 0)
        return RegistryEntry(name=name, offset=offset, value=None, era=era, born=born, write=write)

    def _decode(self, record: StoreRecord) -> tuple[Registration | None, str]:
        if record.value is None:
            return None, "its entry was removed"
        decoded = self._calls.decode_registration(record.value)
        if isinstance(decoded, Refusal):
            if self._decoded.get(record.key) is not None or record.key not in self._decoded:
                logger.warning(
                    "store: an entry of the registry cannot be used",
                    entry=record.key,
                    offset=record.offset,
                    reason=decoded.reason,
                )
            return None, decoded.reason
        return decoded, ""

    def _is_change(self, name: str, registration: Registration | None) -> bool:
        previous = self._decoded.get(name)
        self._decoded[name] = registration
        if registration is None or previous is None:
            return True
        return (
            previous.is_draining != registration.is_draining
            or previous.born != registration.born
            or previous.address != registration.address
            or previous.service != registration.service
            or previous.zone != registration.zone
            or previous.cold_seconds < registration.cold_seconds
        )

    def _note_position(self, now: float, position: Position) -> Position:
        """Note up to where this daemon follows the registry without a gap.

        :returns: the position from which on it has all changes, which it can repeat to peers
        """
        recent = [each for each in self._positions if now - each[0] < REPEAT_SECONDS]
        # After an outage of the store, peers still are where the last read ended.
        self._positions = [*(recent or self._positions[-1:]), (now, position)]
        start = self._positions[0][1]
        self._changes = {
            name: (at, entry)
            for name, (at, entry) in self._changes.items()
            if now - at < REPEAT_SECONDS or find_position(entry) >= start
        }
        return start

    def announce_changes(self, now: float, receivers: list[str]) -> None:
        """Send the peers an update with the recent changes, after the configuration."""
        position = self._reader.position
        if position is None:
            return
        start = self._note_position(now, position)
        entries = [entry for _, entry in self._changes.values()]
        addresses = [self._state.peers.listed[name].address for name in receivers]
        self._send_configuration(receivers)
        data = self._encode_update(now, start, position, entries)
        if len(data) > MAX_UPDATE_BYTES:
            # A peer that got only some of the parts would not know it; it reads the store.
            for address in addresses:
                self._send_in_parts(address, position, entries)
            data = self._encode_update(now, position, position, [])
        self._mesh.send_to_all(addresses, data)

    def _encode_update(
        self, now: float, start: Position, end: Position, entries: list[RegistryEntry]
    ) -> bytes:
        since_return = now - self._registry.recovered_at
        update = RegistryUpdate(
            sender=self._state.name,
            start=start.offset,
            end=end.offset,
            returned_ms=int(since_return * MILLISECONDS) if since_return < REPEAT_SECONDS else -1,
            entries=entries,
            age_ms=int((now - self._reading.current_at) * MILLISECONDS),
            revision=self._state.configuration.revision,
            era=end.era,
            start_era=start.era,
        )
        return encode_datagram(add_evacuations(self._state, update))

    def _apply_update(self, update: RegistryUpdate) -> None:
        now = time.monotonic()
        self._emit(StoreEraNamed(now=now, era=update.era, source=update.sender))
        era = self._registry.era
        evacuations = read_evacuations(update, era, now)
        if evacuations is not None:
            # Before the entries, since servers of an evacuated zone may be among them.
            self._emit(evacuations)
        start = Position(era=era.resolve(update.start_era), offset=update.start)
        end = Position(era=era.resolve(update.era), offset=update.end)
        records = [
            StoreRecord(
                key=each.name,
                offset=each.offset,
                value=each.value,
                era=each.era or end.era,
                removed_run=(each.born, each.write) if each.write else None,
            )
            for each in update.entries
        ]
        if update.returned_ms >= 0:
            recovered_at = now - update.returned_ms / MILLISECONDS
        else:
            recovered_at = float("-inf")
        peer = self._state.peers.listed.get(update.sender)
        is_remote = peer is not None and peer.zone != self._state.zone
        position = self._reader.position
        # A sender that stands in an earlier era has not read the restored store.
        has_no_gap = position is not None and end.era == era.current and position >= start
        if position is not None and has_no_gap:
            is_behind = update.revision > self._state.configuration.revision
            if evacuations is not None and not is_behind:
                received = StoreUpdateReceived(
                    now=now,
                    read_at=now - update.age_ms / MILLISECONDS,
                    recovered_at=recovered_at,
                    is_remote_zone=is_remote,
                )
                self._emit(received)
            self._reader.position = max(position, end)
            self._note_position(now, self._reader.position)
        self._apply_records(records, update.sender)
        if is_remote and has_no_gap:
            self.announce_changes(now, select_relay_receivers(self._state, self._reading, now))
