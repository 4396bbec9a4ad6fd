"""A platform's keyed store: its records, and its calls as an adapter encodes them."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_core.codes import Refusal
    from dotterelgate_core.configuration import Configuration
    from dotterelgate_core.registry import Registration
    from dotterelgate_daemon.codec import HeaderList

__all__ = ["Listing", "StoreCalls", "StoreRecord", "StoreRequest", "Tail", "Topic"]


class Topic(Enum):
    """Topics of the store that the system uses."""

    CONFIGURATION = "configuration"
    REGISTRY = "registry"
    DAEMONS = "daemons"


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreRequest:
    """One call, encoded."""

    method: str
    path: str
    body: bytes = b""


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreRecord:
    """The value of a key as written at an offset; ``None`` where it was removed.

    :param era: era of the store, 0 where it names none
    :param removed_run: of a removed record that a peer read, the start of the backend server's run
        that wrote it last, and the number of that write
    """

    key: str
    offset: int
    value: bytes | None
    era: int = 0
    removed_run: tuple[int, int] | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class Listing:
    """One page of the newest records of each key.

    :param end: offset that the next record of the topic will get
    :param is_last: whether no further page follows
    """

    records: list[StoreRecord]
    end: int
    is_last: bool


@dataclass(frozen=True, kw_only=True, slots=True)
class Tail:
    """Records from an offset on.

    :param end: offset up to which ``records`` reach
    :param records_deleted: whether records from the requested offset on were deleted
    """

    records: list[StoreRecord]
    end: int
    records_deleted: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class StoreCalls:
    """Encoding and decoding of the calls; an answer that cannot be read gives a ``Refusal``.

    :param list_newest: requests the newest record of each key that sorts after a key
    :param read_tail: requests records from an offset on
    :param append: requests to write one record
    :param read_evacuated_zone: reads which availability zone a key of the configuration's topic
        evacuates, ``None`` for a key of another kind
    :param prepare_for_peers: takes out of a configuration that was decoded what must not leave
        this daemon
    :param read_era: reads the store's era from an answer's headers, 0 where it names none
    """

    list_newest: Callable[[Topic, str], StoreRequest]
    read_tail: Callable[[Topic, int], StoreRequest]
    append: Callable[[Topic, str, bytes], StoreRequest]
    decode_listing: Callable[[int, bytes], Listing | Refusal]
    decode_tail: Callable[[int, int, bytes], Tail | Refusal]
    decode_configuration: Callable[[bytes], Configuration | Refusal]
    prepare_for_peers: Callable[[bytes], bytes]
    decode_registration: Callable[[bytes], Registration | Refusal]
    read_era: Callable[[HeaderList], int]
    configuration_key: str
    read_evacuated_zone: Callable[[str], str | None]
