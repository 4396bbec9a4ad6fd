"""Models of the datagrams between daemons that share their view of the load."""

from __future__ import annotations

import zlib

import msgspec

from dotterelgate_border.compression import CompressionError, decompress
from dotterelgate_border.registry_datagrams import RegistryEntry, RegistryRequest, RegistryUpdate

__all__ = [
    "CompressedDatagram",
    "ConfigurationPart",
    "ConfigurationRequest",
    "Datagram",
    "Heartbeat",
    "LoadEntry",
    "LoadUpdate",
    "QuotaGrant",
    "QuotaRequest",
    "RegistryEntry",
    "RegistryRequest",
    "RegistryUpdate",
    "RelayRequest",
    "ServerStatements",
    "EndedRun",
    "SlotDenialDatagram",
    "SlotGrantDatagram",
    "SlotQueuedDatagram",
    "SlotRequestDatagram",
    "SlotWithdrawalDatagram",
    "SuspectEntry",
    "SuspectUpdate",
    "decode_datagram",
    "encode_datagram",
]


class Heartbeat(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=1):
    """Announces that a daemon is alive.

    :param address: address on which it receives datagrams
    :param revision: revision of the configuration that it has in force, 0 for none
    :param in_flight: requests that it has at each backend server, where any
    :param wants_reply: whether the receiver should answer with a heartbeat of its own
    :param can_decide: whether it has a configuration and backend servers
    :param interval_ms: milliseconds after which the receiver gets the next one, 0 for unknown
    :param votes: daemon that the sender takes for the owner of each service with cold backend
        servers, to the sender's zone only
    :param cold_ms: milliseconds for which backend servers of the services that the sender owns are
        still cold
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
    interval_ms: int = 0
    votes: dict[str, str] = {}
    cold_ms: dict[str, int] = {}


class ServerStatements(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What one run of a backend server stated of itself in its answers.

    :param born: Unix millisecond of the start of that run, if its entry states it
    :param is_leaving: whether it leaves
    :param limit: requests a second that it takes from all daemons, infinite for no limit,
        ``None`` where the sender was not told since the last update
    :param limit_age_ms: milliseconds since the answer that named it
    :param pause_ms: milliseconds for which it wants no requests of the sender
    :param cold_ms: milliseconds for which it is still cold, -1 where the sender was not told
    :param cold_age_ms: milliseconds since the answer that said so
    """

    born: int | None
    is_leaving: bool = False
    limit: float | None = None
    limit_age_ms: int = 0
    pause_ms: int = 0
    cold_ms: int = -1
    cold_age_ms: int = 0


class LoadEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A daemon's view of one backend server.

    :param in_flight: requests that the sender has at it
    :param running: requests that the server reported as running, -1 without a new report
    :param age_ms: milliseconds since that report
    :param slowdown_percent: slowdown that it reported, 100 for its usual speed
    :param failed: whether a request or probe failed since the last update
    :param pace_percent: measured time relative to the usual one, 0 without a new one
    :param statements: what it states of itself, where there is anything to tell
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
    statements: ServerStatements | None = None


class LoadUpdate(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=2):
    """Loads that changed since the sender's last update.

    :param is_remote_zone: whether they are totals, summed in the servers' zone for another zone
    """

    sender: str
    incarnation: str
    loads: list[LoadEntry]
    is_remote_zone: bool = False


class ConfigurationRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=4):
    """Requests the configuration that the receiver has in force."""

    sender: str
    address: str


class ConfigurationPart(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=5):
    """One part of the configuration's bytes as stored, compressed.

    :param revision: revision that the sender has in force
    :param part: number of this part, from 0
    :param parts: how many there are
    """

    sender: str
    revision: int
    part: int
    parts: int
    body: bytes


class SlotRequestDatagram(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=6):
    """Requests a slot for the sender's call; fields as in ``SlotRequest``."""

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
    organisation: str = ""
    organisation_priority: int = 0
    only_free: bool = False


class SlotGrantDatagram(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=7):
    """Grants the receiver's call a slot of a backend server.

    :param slowdown: slowdown that the backend server reported last
    :param report_age: seconds since that report
    """

    sender: str
    call_id: int
    server: str
    slowdown: float
    report_age: float


class SlotQueuedDatagram(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=8):
    """The receiver's call waits in the sender's queue."""

    sender: str
    call_id: int


class SlotDenialDatagram(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=9):
    """Denies the receiver's call a slot.

    :param code: number of the result code
    :param retry_after: seconds after which the caller should retry
    """

    sender: str
    call_id: int
    code: int
    reason: str
    retry_after: float | None


class SlotWithdrawalDatagram(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=10):
    """The sender's call no longer needs a slot."""

    sender: str
    call_id: int


class CompressedDatagram(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=12):
    """Another message, encoded and compressed."""

    body: bytes


class RelayRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=13):
    """Another message for the receiver, which relays it.

    :param receivers: addresses to which it is relayed
    :param body: the message, encoded
    """

    sender: str
    receivers: list[str]
    body: bytes


class EndedRun(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A run of a backend server that ended while it had a request.

    :param born: Unix millisecond of its start, 0 where its entry states none
    :param age_ms: milliseconds since it ended
    """

    name: str
    born: int
    age_ms: int


class SuspectEntry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A request under which backend servers ended.

    :param cleared_ms: milliseconds since a server answered it, -1 for never
    """

    identity: int
    ended: list[EndedRun]
    cleared_ms: int = -1


class SuspectUpdate(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=14):
    """What the sender knows of requests under which backend servers ended."""

    sender: str
    suspects: list[SuspectEntry]


class QuotaRequest(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=16):
    """Requests tokens of an organisation's quota; fields as in ``BorrowTokens``.

    :param returned: tokens that no request used; the sender then requests none
    """

    sender: str
    call_id: int
    organisation: str
    count: float = 1.0
    returned: float = 0.0


class QuotaGrant(msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=17):
    """Answers a request for tokens.

    :param count: tokens lent, 0 for none
    :param wait_ms: milliseconds after which there is one, -1 where the sender lends none
    """

    sender: str
    call_id: int
    organisation: str
    count: float
    wait_ms: int = 0


Datagram = (
    Heartbeat
    | LoadUpdate
    | RegistryUpdate
    | RegistryRequest
    | RelayRequest
    | ConfigurationRequest
    | ConfigurationPart
    | SlotRequestDatagram
    | SlotGrantDatagram
    | SlotQueuedDatagram
    | SlotDenialDatagram
    | SlotWithdrawalDatagram
    | SuspectUpdate
    | QuotaRequest
    | QuotaGrant
)

# Messages that need more than one packet are compressed: entries of a registry repeat each
# other's words, and a small VM's link takes a second for what many peers get of them.
COMPRESSED_BYTES = 1200
COMPRESSION_LEVEL = 1
# A datagram holds at most 65,507 bytes; what decompresses to more than this is not read.
MAX_DECOMPRESSED_BYTES = 4_000_000

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Datagram | CompressedDatagram)


def encode_datagram(message: Datagram) -> bytes:
    """Encode a message; a long one is compressed."""
    data = _encoder.encode(message)
    if len(data) <= COMPRESSED_BYTES:
        return data
    compressed = CompressedDatagram(body=zlib.compress(data, COMPRESSION_LEVEL))
    return min(data, _encoder.encode(compressed), key=len)


def decode_datagram(data: bytes) -> Datagram:
    """Decode a message.

    :raises msgspec.MsgspecError: when the bytes are not a valid message
    """
    message = _decoder.decode(data)
    if isinstance(message, CompressedDatagram):
        try:
            data = decompress(message.body, limit=MAX_DECOMPRESSED_BYTES)
        except CompressionError as error:
            raise msgspec.DecodeError(f"a compressed message is {error}") from error
        message = _decoder.decode(data)
    if isinstance(message, CompressedDatagram):
        raise msgspec.DecodeError("a compressed message holds another one")
    return message
