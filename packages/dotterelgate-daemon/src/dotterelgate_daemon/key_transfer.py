"""Transfers the keys of a range between daemons."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec
import structlog

from dotterelgate_border.handover import (
    HandedKey,
    HandedKeys,
    KeysTaken,
    RangeOffer,
    RangeTaken,
)
from dotterelgate_core import codes
from dotterelgate_core import control_messages as control
from dotterelgate_core.codes import Refusal
from dotterelgate_core.keys import KeyEntry, KeyRange, KeyState
from dotterelgate_core.leases import Moment
from dotterelgate_daemon.replies import StoredAnswer

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_border.handover import PeerMessage
    from dotterelgate_core.pipes import Message
    from dotterelgate_core.state import DaemonState
    from dotterelgate_daemon.links import LinkService

__all__ = ["KeyTransfer"]

logger = structlog.get_logger("key_transfer")

DIGEST_BYTES = 16
NO_CALL = 0

_encoder = msgspec.msgpack.Encoder()
_answer_decoder = msgspec.msgpack.Decoder(StoredAnswer)


class KeyTransfer:
    """Sends a range's keys to its next holder and receives those of others.

    :param emit: runs a message through the control pipeline
    """

    def __init__(
        self,
        *,
        state: DaemonState,
        incarnation: str,
        links: LinkService,
        emit: Callable[[Message], None],
    ) -> None:
        self._state = state
        self._incarnation = incarnation
        self._links = links
        self._emit = emit

    def send_offer(self, order: control.SendOffer) -> None:
        """Offer a range."""
        message = RangeOffer(
            sender=self._state.name,
            incarnation=self._incarnation,
            target=order.successor,
            resource=order.resource,
            transfer=order.transfer,
        )
        self._links.send(order.successor, message)

    def send_keys(self, order: control.SendKeys) -> None:
        """Send all keys of a range."""
        key_range = self._state.keys.ranges.get(order.resource, KeyRange())
        now = time.monotonic()
        message = HandedKeys(
            sender=self._state.name,
            incarnation=self._incarnation,
            target=order.successor,
            resource=order.resource,
            transfer=order.transfer,
            history_from=key_range.history_from,
            history_remaining=key_range.history_until - now,
            keys=[_encode_entry(digest, entry, now) for digest, entry in key_range.entries.items()],
        )
        self._links.send(order.successor, message)

    def receive(self, message: PeerMessage) -> bool:
        """Handle a peer's message if it is about keys.

        :returns: whether it was one
        """
        if isinstance(message, HandedKeys):
            self._receive_keys(message)
        elif isinstance(message, KeysTaken):
            self._emit(control.KeysReceived(resource=message.resource, transfer=message.transfer))
        elif isinstance(message, RangeOffer):
            self._receive_offer(message)
        elif isinstance(message, RangeTaken):
            accepted = control.OfferAccepted(
                resource=message.resource,
                transfer=message.transfer,
                incarnation=message.incarnation,
            )
            self._emit(accepted)
        else:
            return False
        return True

    def _receive_offer(self, message: RangeOffer) -> None:
        if message.target != self._state.name or self._state.peers.leaving:
            return
        wall = time.time()
        moment = Moment(now=time.monotonic(), wall=wall)
        self._state.leases.expect_transfer(message.transfer, moment)
        reply = RangeTaken(
            sender=self._state.name,
            incarnation=self._incarnation,
            resource=message.resource,
            transfer=message.transfer,
        )
        self._links.send(message.sender, reply)

    def _receive_keys(self, message: HandedKeys) -> None:
        resource = message.resource
        lease = self._state.leases.leases.get(resource)
        if message.target != self._state.name or lease is None:
            return
        if not self._is_open(resource):
            self._store_keys(message)
            self._state.leases.note_keys_received(resource, message.transfer)
        reply = KeysTaken(
            sender=self._state.name,
            incarnation=self._incarnation,
            resource=resource,
            transfer=message.transfer,
        )
        self._links.send(message.sender, reply)

    def _is_open(self, resource: str) -> bool:
        # Keys that arrive after the range was opened without them are too late.
        tenure = self._state.leases.leases[resource].tenure
        key_range = self._state.keys.ranges.get(resource)
        return tenure is not None and key_range is not None and key_range.tenure == tenure.id

    def _store_keys(self, message: HandedKeys) -> None:
        now = time.monotonic()
        entries = {
            int.from_bytes(key.digest, "big"): _decode_entry(key, now) for key in message.keys
        }
        self._state.keys.ranges[message.resource] = KeyRange(
            tenure=message.transfer,
            history_from=message.history_from,
            history_until=now + message.history_remaining,
            entries=entries,
        )


def _encode_entry(digest: int, entry: KeyEntry, now: float) -> HandedKey:
    stored_answer = (
        _encoder.encode(entry.stored_answer)
        if isinstance(entry.stored_answer, StoredAnswer)
        else None
    )
    return HandedKey(
        digest=digest.to_bytes(DIGEST_BYTES, "big"),
        fingerprint=entry.fingerprint,
        state=entry.state.name,
        age=now - entry.seen_at,
        stored_answer=stored_answer,
        code=entry.refusal.code.number if entry.refusal is not None else 0,
    )


def _decode_entry(key: HandedKey, now: float) -> KeyEntry:
    refusal = None
    if key.code:
        code = codes.CODES_BY_NUMBER.get(key.code, codes.ANSWER_LOST)
        refusal = Refusal(code, "the outcome was not known to an earlier holder")
    return KeyEntry(
        state=KeyState[key.state],
        fingerprint=key.fingerprint,
        seen_at=now - key.age,
        call_id=NO_CALL,
        stored_answer=_answer_decoder.decode(key.stored_answer)
        if key.stored_answer is not None
        else None,
        refusal=refusal,
    )
