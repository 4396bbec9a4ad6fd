"""Datagrams about the registry of backend servers and the evacuated zones."""

from __future__ import annotations

import msgspec

__all__ = ["RegistryEntry", "RegistryRequest", "RegistryUpdate"]


class RegistryEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One entry with its bytes as stored; ``None`` for a removed one.

    :param era: era of the store in which it was written, 0 for that of the update's end
    :param born: of a removed entry, when the run of the server started that wrote it last
    :param write: number of that run's last write, 0 where it is not known
    """

    name: str
    offset: int
    value: bytes | None
    era: int = 0
    born: int = 0
    write: int = 0


class RegistryUpdate(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=3):
    """Entries that a daemon read from the store, together with the configuration.

    :param start: position from which on ``entries`` holds all changes
    :param end: position up to which the sender has read
    :param returned_ms: milliseconds since an outage of the store ended, -1 when the sender
        reports none
    :param age_ms: milliseconds since the read began that ended at ``end``
    :param revision: revision of the newest configuration that the sender knows
    :param era: era of the store of ``end``, 0 from a sender that knows none
    :param start_era: era of ``start``
    :param evacuated: availability zones that the operator evacuated
    :param evacuated_offset: offset up to which the operator's records were read for ``evacuated``,
        -1 from a sender that has not read them
    :param evacuated_era: era of that offset
    """

    sender: str
    start: int
    end: int
    returned_ms: int
    entries: list[RegistryEntry]
    age_ms: int = 0
    revision: int = 0
    era: int = 0
    start_era: int = 0
    evacuated: list[str] = []
    evacuated_offset: int = -1
    evacuated_era: int = 0


class RegistryRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=11):
    """Requests all entries, when the sender has none and cannot read the store."""

    sender: str
    address: str
