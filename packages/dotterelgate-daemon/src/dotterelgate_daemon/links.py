"""Links to the other daemons over pynng, without blocking the loop."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import pynng
import structlog

from dotterelgate_border.handover import decode_message, encode_message
from dotterelgate_daemon.framework import BaseComponent, handler

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_border.handover import PeerMessage
    from dotterelgate_daemon.framework import EPoll
    from dotterelgate_daemon.metrics import Metrics

__all__ = ["LinkService"]

logger = structlog.get_logger("links")

READS_PER_EVENT = 64
OUTBOX_LIMIT = 4096
SEND_BUFFER_MESSAGES = 64
RECEIVE_LIMIT_BYTES = 64 * 1024 * 1024
RECONNECT_MILLISECONDS = 100
RECONNECT_LIMIT_MILLISECONDS = 1000


@dataclass(kw_only=True)
class _Link:
    """The connection to one peer.

    :param outbox: messages that the library does not accept yet
    """

    address: str
    socket: pynng.Push0
    outbox: deque[tuple[int | None, bytes]] = field(default_factory=deque)


class LinkService(BaseComponent):
    """Sends messages to all other daemons and receives theirs.

    :param receive: called with each valid message
    """

    channel = "links"

    def __init__(
        self,
        *,
        address: str,
        poller: EPoll,
        metrics: Metrics,
        receive: Callable[[PeerMessage], None],
    ) -> None:
        super().__init__()
        self._receive = receive
        self._metrics = metrics
        self._links: dict[str, _Link] = {}
        self._inbox = pynng.Pull0(recv_max_size=RECEIVE_LIMIT_BYTES)
        self._inbox.listen(f"tcp://{address}")
        self._poller = poller
        poller.addReader(self, self._inbox.recv_fd)

    def connect_peer(self, name: str, address: str) -> bool:
        """Connect to a peer, or reconnect if its address changed.

        :returns: whether a connection was started
        """
        link = self._links.get(name)
        if link is not None and link.address == address:
            return False
        if link is not None:
            link.socket.close()
        socket = pynng.Push0(
            send_buffer_size=SEND_BUFFER_MESSAGES,
            reconnect_time_min=RECONNECT_MILLISECONDS,
            reconnect_time_max=RECONNECT_LIMIT_MILLISECONDS,
        )
        socket.dial(f"tcp://{address}", block=False)
        self._links[name] = _Link(address=address, socket=socket)
        return True

    def disconnect_peer(self, name: str) -> None:
        """Close the link to a removed peer."""
        link = self._links.pop(name, None)
        if link is not None:
            link.socket.close()

    def send(self, name: str, message: PeerMessage, *, call_id: int | None = None) -> bool:
        """Send a message, or queue it until the link accepts it.

        :param call_id: call that :meth:`drop_unsent` returns while the message is queued
        :returns: whether the message was sent or queued
        """
        link = self._links.get(name)
        if link is None:
            return False
        data = encode_message(message)
        if call_id is None:
            self._metrics.control_bytes.labels(channel="peers").inc(len(data))
        if not link.outbox and self._try_send(link, data):
            return True
        if len(link.outbox) >= OUTBOX_LIMIT:
            return False
        link.outbox.append((call_id, data))
        return True

    def is_full(self, name: str) -> bool:
        """Return whether messages for a peer are queued."""
        link = self._links.get(name)
        return link is not None and bool(link.outbox)

    def drop_unsent(self, name: str) -> set[int]:
        """Drop the messages queued for a peer.

        :returns: ids of the calls that were certainly not sent
        """
        link = self._links.get(name)
        if link is None:
            return set()
        unsent = {call_id for call_id, _ in link.outbox if call_id is not None}
        link.outbox.clear()
        return unsent

    def flush(self) -> None:
        """Send the queued messages, as far as the links accept them."""
        for link in self._links.values():
            while link.outbox and self._try_send(link, link.outbox[0][1]):
                link.outbox.popleft()

    def close(self) -> None:
        """Close all links."""
        self._poller.discard(self._inbox.recv_fd)
        self._inbox.close()
        for link in self._links.values():
            link.socket.close()

    def _try_send(self, link: _Link, data: bytes) -> bool:
        try:
            link.socket.send(data, block=False)
        except pynng.TryAgain:
            return False
        return True

    @handler("_read")
    def _on_read(self, _fd: int) -> None:
        for _ in range(READS_PER_EVENT):
            try:
                data = self._inbox.recv(block=False)
            except pynng.TryAgain:
                return
            message = decode_message(data)
            if message is None:
                logger.warning("links: a message is not valid and is dropped")
                continue
            self._receive(message)
