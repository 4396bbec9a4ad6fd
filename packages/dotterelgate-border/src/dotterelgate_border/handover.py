"""Messages between daemons, encoded as MessagePack."""

from __future__ import annotations

import msgspec

__all__ = [
    "AnswerPart",
    "ConfigurationOffer",
    "HandedCall",
    "HandedKey",
    "HandedKeys",
    "KeysTaken",
    "LeavingNotice",
    "PeerMessage",
    "Ping",
    "Pong",
    "RangeOffer",
    "RangeTaken",
    "RecordsAsked",
    "RecordsTold",
    "Withdrawal",
    "decode_message",
    "encode_message",
]


class _Message(msgspec.Struct, frozen=True, tag=True, array_like=True, kw_only=True):
    """Base of all peer messages.

    :param sender: name of the daemon that sent it
    :param incarnation: which run of that daemon
    """

    sender: str
    incarnation: str


class HandedCall(_Message, frozen=True):
    """A complete request that is forwarded to a peer.

    :param target: name of the daemon that it is meant for
    :param call_id: id in the sending daemon
    :param purpose: ``hold`` or ``own``
    :param timeout: seconds until the caller's time limit
    :param expires: wall-clock second after which it must not be accepted
    :param fence: wall-clock second after which no backend server must start it
    """

    target: str
    call_id: int
    purpose: str
    timeout: float
    expires: float
    fence: float | None
    retried: bool
    method: str
    path: str
    headers: list[tuple[bytes, bytes]]
    body: bytes
    key: str | None
    fingerprint: int


class AnswerPart(_Message, frozen=True):
    """A part of the answer to a handed call; the first has the status.

    :param part: number of the part, from 0
    :param last: whether this part completes the answer
    :param code: result code when the peer refused
    :param cut: whether the answer ended before it was complete
    """

    call_id: int
    part: int
    last: bool
    status: int = 0
    headers: list[tuple[bytes, bytes]] = []
    body: bytes = b""
    code: int = 0
    reason: str = ""
    attempt_only: bool = False
    cut: bool = False
    length: int | None = None
    server: str = ""


class Withdrawal(_Message, frozen=True):
    """The caller of a handed call disconnected."""

    call_id: int


class Ping(_Message, frozen=True):
    """Checks whether a peer still answers."""


class Pong(_Message, frozen=True):
    """Answer to :class:`Ping`."""


class LeavingNotice(_Message, frozen=True):
    """A sign that a backend server is leaving or not, or that the sender stops.

    :param server: name of the backend server; empty when the sender stops
    :param wall: wall-clock second at which it was seen
    """

    server: str = ""
    is_leaving: bool = True
    wall: float = 0.0


class ConfigurationOffer(_Message, frozen=True):
    """The configuration in force at the sender, as JSON; an empty one requests it."""

    id: str = ""
    revision: int = 0
    document: bytes = b""


class HandedKey(msgspec.Struct, frozen=True, array_like=True, kw_only=True):
    """One settled or unknown key of a range that is handed over."""

    digest: bytes
    fingerprint: int
    state: str
    age: float
    stored_answer: bytes | None
    code: int


class RecordsAsked(_Message, frozen=True):
    """Requests records of the log while the log cannot be read.

    :param start: first offset wanted, or ``None`` for all that the peer has
    """

    start: int | None


class RecordsTold(_Message, frozen=True):
    """Records of the log as the sender read them, without gaps.

    :param page: a page of the log as JSON
    """

    page: bytes


class RangeOffer(_Message, frozen=True):
    """Offers to grant a leased range to the receiver.

    :param transfer: id of the grant that will follow
    """

    target: str
    resource: str
    transfer: str


class RangeTaken(_Message, frozen=True):
    """Accepts a :class:`RangeOffer`."""

    resource: str
    transfer: str


class HandedKeys(_Message, frozen=True):
    """All keys of a range that was granted to the receiver.

    :param transfer: id of that grant
    :param history_from: wall-clock second before which keys may have run elsewhere
    :param history_remaining: seconds for which such keys may still arrive
    """

    target: str
    resource: str
    transfer: str
    history_from: float | None
    history_remaining: float
    keys: list[HandedKey]


class KeysTaken(_Message, frozen=True):
    """Acknowledges :class:`HandedKeys`."""

    resource: str
    transfer: str


PeerMessage = (
    HandedCall
    | AnswerPart
    | Withdrawal
    | Ping
    | Pong
    | LeavingNotice
    | ConfigurationOffer
    | RecordsAsked
    | RecordsTold
    | RangeOffer
    | RangeTaken
    | HandedKeys
    | KeysTaken
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """Encode a message for the wire."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> PeerMessage | None:
    """Decode and check a message.

    :returns: ``None`` when the bytes are not a valid message
    """
    try:
        return _decoder.decode(data)
    except msgspec.MsgspecError:
        return None
