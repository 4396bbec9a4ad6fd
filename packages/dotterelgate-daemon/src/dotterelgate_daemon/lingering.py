"""Closing of connections whose remote side may still be sending."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from dotterelgate_daemon.streams import Stream

__all__ = ["close_in_steps"]

# The largest send buffer of the kernel (4 MB) takes 6.7 s on a link of 5 Mbit/s.
LINGER_SECONDS = 7.0
# What such a link brings in that time.
READ_LIMIT_BYTES = 4_375_000


def close_in_steps(stream: Stream, *, call_after: Callable[..., None]) -> None:
    """Send what was written, shut down the sending side, read on, then close (RFC 9112, 9.6).

    Closing with unread bytes resets the connection, and the remote side loses what it has not
    read. Bytes that arrive are dropped. They are read so that a remote side which reads only
    after it has sent everything gets there; beyond a limit they stay unread until the end.

    :param call_after: calls a function after a delay
    """
    unread = READ_LIMIT_BYTES

    def drop(data: bytes) -> None:
        nonlocal unread
        unread -= len(data)
        if unread <= 0:
            stream.pause()

    def shut_down() -> None:
        stream.end_sending()
        call_after(delay=LINGER_SECONDS, call=stream.close)

    stream.receive = drop
    stream.drained = None
    stream.resume()
    stream.call_when_sent(shut_down)
