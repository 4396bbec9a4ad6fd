"""Addresses and options of sockets."""

from __future__ import annotations

import socket

__all__ = ["bind_to", "set_options", "set_unacknowledged_limit"]

# A connection whose remote side stops responding is closed after about two seconds,
# within the time in which a change must be in force.
KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 2
UNACKNOWLEDGED_MILLISECONDS = 3000
# The kernel counts a closed window like a lost remote side. Readers that pause are judged by
# their pace after 15 s (intake), so this one only has to be longer.
UNREAD_MILLISECONDS = 20_000


def bind_to(sock: socket.socket, address: str) -> None:
    """Bind a socket to ``IP:port``.

    :raises OSError: with the address, when it cannot be used
    """
    host, port = address.rsplit(":", 1)
    try:
        sock.bind((host, int(port)))
    except OSError as error:
        raise OSError(error.errno, f"{address}: {error.strerror}") from error


def set_options(sock: socket.socket) -> None:
    """Send small writes at once, and detect a remote side that stops responding."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    set_unacknowledged_limit(sock, may_pause=False)


def set_unacknowledged_limit(sock: socket.socket, *, may_pause: bool) -> None:
    """Set how long sent bytes may stay unacknowledged before the connection ends.

    :param may_pause: whether so much was sent that the remote side may keep its window closed
    """
    limit = UNREAD_MILLISECONDS if may_pause else UNACKNOWLEDGED_MILLISECONDS
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, limit)
