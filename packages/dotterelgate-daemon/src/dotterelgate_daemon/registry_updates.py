"""Updates on the registry between peers: their size, and what they say of evacuated zones."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from dotterelgate_core.eras import Position
from dotterelgate_core.evacuations.applying import EvacuationsRead

if TYPE_CHECKING:
    from collections.abc import Iterator

    from dotterelgate_border.datagrams import RegistryEntry, RegistryUpdate
    from dotterelgate_core.eras import StoreEra
    from dotterelgate_core.state import DaemonState

__all__ = [
    "MAX_UPDATE_BYTES",
    "add_evacuations",
    "find_position",
    "read_evacuations",
    "split_entries",
]

# Entries that take more bytes are sent in several datagrams.
MAX_UPDATE_BYTES = 48_000
# Encoding overhead of an entry besides its name and value.
ENTRY_OVERHEAD_BYTES = 16


def find_position(entry: RegistryEntry) -> Position:
    """Return the position at which an entry was written."""
    return Position(era=entry.era, offset=entry.offset)


def split_entries(entries: list[RegistryEntry]) -> Iterator[list[RegistryEntry]]:
    """Split entries into batches that fit a datagram each."""
    batch: list[RegistryEntry] = []
    size = 0
    for entry in entries:
        batch.append(entry)
        size += _estimate_size(entry)
        if size > MAX_UPDATE_BYTES:
            yield batch
            batch, size = [], 0
    if batch:
        yield batch


def _estimate_size(entry: RegistryEntry) -> int:
    """Estimate the bytes that an entry takes in a datagram."""
    return len(entry.value or b"") + len(entry.name) + ENTRY_OVERHEAD_BYTES


def add_evacuations(state: DaemonState, update: RegistryUpdate) -> RegistryUpdate:
    """Add the evacuated zones to an update, where this daemon knows them."""
    position = state.evacuations.position
    if position is None:
        return update
    return msgspec.structs.replace(
        update,
        evacuated=sorted(state.evacuations.listed),
        evacuated_offset=position.offset,
        evacuated_era=position.era,
    )


def read_evacuations(update: RegistryUpdate, era: StoreEra, now: float) -> EvacuationsRead | None:
    """Read the evacuated zones of an update; ``None`` from a sender that does not know them."""
    if update.evacuated_offset < 0:
        return None
    position = Position(era=era.resolve(update.evacuated_era), offset=update.evacuated_offset)
    zones = frozenset(update.evacuated)
    return EvacuationsRead(now=now, zones=zones, position=position, source=update.sender)
