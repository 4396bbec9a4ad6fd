"""Models of the datagrams between daemons that share the view of the load."""

from __future__ import annotations

import msgspec

__all__ = [
    "ConfigurationPart",
    "ConfigurationRequest",
    "Datagram",
    "Heartbeat",
    "LoadEntry",
    "LoadUpdate",
    "RegistryEntry",
    "RegistryRequest",
    "RegistryUpdate",
    "SlotDenialDatagram",
    "SlotGrantDatagram",
    "SlotQueuedDatagram",
    "SlotRequestDatagram",
    "SlotWithdrawalDatagram",
    "decode_datagram",
    "encode_datagram",
]


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=1):
    """A daemon is alive.

    :param address: where it takes datagrams
    :param revision: revision of the configuration that it has in force, 0 for none
    :param in_flight: requests that it has at each backend server, where any
    :param wants_reply: whether the receiver should answer with a heartbeat of its own
    :param can_decide: whether it knows a configuration and backend servers
    """

    sender: str
    incarnation: str
    address: str
    zone: str
    is_leaving: bool
    revision: int
    in_flight: dict[str, int]
    wants_reply: bool = False
    can_decide: bool = True


class LoadEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a daemon knows of one backend server.

    :param in_flight: requests that the sender has at it
    :param running: requests that it said it works on, -1 when it said nothing new
    :param age_ms: milliseconds since it said so
    :param slowdown_percent: its own figure, 100 for usual
    :param failed: whether a request or probe failed since the last news
    :param pace_percent: measured time against the usual one, 0 for nothing new
    """

    server: str
    in_flight: int
    running: int = -1
    waiting: int = 0
    slots: int = 0
    slowdown_percent: int = 100
    age_ms: int = 0
    failed: bool = False
    pace_percent: int = 0


class LoadUpdate(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=2):
    """Loads that changed since the sender's last news.

    :param is_remote_zone: whether they are all the loads of another zone, summed there
    """

    sender: str
    incarnation: str
    loads: list[LoadEntry]
    is_remote_zone: bool = False


class RegistryEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One entry of the store as its bytes stand there; ``None`` for a removed one."""

    name: str
    offset: int
    value: bytes | None


class RegistryUpdate(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=3):
    """Entries that a daemon read from the store.

    :param start: position from which on all changes are in ``entries``
    :param end: position up to which the sender has read
    :param returned_ms: milliseconds since the store returned from an outage, -1 when
        the sender knows of none
    """

    sender: str
    start: int
    end: int
    returned_ms: int
    entries: list[RegistryEntry]


class ConfigurationRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=4):
    """A daemon lacks the configuration that the receiver has in force."""

    sender: str
    address: str


class ConfigurationPart(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=5):
    """One part of the configuration's bytes as they stand in the store, compressed.

    :param revision: revision that the sender has in force
    :param part: number of this part, from 0
    :param parts: how many there are
    """

    sender: str
    revision: int
    part: int
    parts: int
    body: bytes


class RegistryRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=11):
    """A daemon knows no backend server and cannot read the store."""

    sender: str
    address: str


class SlotRequestDatagram(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=6):
    """A call of the sender wants a slot; fields as in ``SlotRequest``."""

    sender: str
    call_id: int
    request_id: str
    service: str
    route: str
    work: float
    waited: float
    remaining: float
    attempt: int
    avoided: list[str]


class SlotGrantDatagram(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=7):
    """The receiver's call may go to a backend server.

    :param slowdown: slowdown that the backend server reported last
    :param report_age: seconds since that report
    """

    sender: str
    call_id: int
    server: str
    slowdown: float
    report_age: float


class SlotQueuedDatagram(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=8):
    """The receiver's call waits at the sender."""

    sender: str
    call_id: int


class SlotDenialDatagram(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=9):
    """The receiver's call gets no slot.

    :param code: number of the result code
    :param retry_after: seconds after which the caller should come back
    """

    sender: str
    call_id: int
    code: int
    reason: str
    retry_after: float | None


class SlotWithdrawalDatagram(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=10):
    """The sender's call needs no slot any more."""

    sender: str
    call_id: int


Datagram = (
    Heartbeat
    | LoadUpdate
    | RegistryUpdate
    | RegistryRequest
    | ConfigurationRequest
    | ConfigurationPart
    | SlotRequestDatagram
    | SlotGrantDatagram
    | SlotQueuedDatagram
    | SlotDenialDatagram
    | SlotWithdrawalDatagram
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram)


def encode_datagram(message: Datagram) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def decode_datagram(data: bytes) -> Datagram:
    """Decode a message.

    :raises msgspec.DecodeError: when the bytes are not one
    """
    return _decoder.decode(data)
