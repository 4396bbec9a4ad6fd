"""Subject: a crowd of clients that nobody controls, and the daemon that they connect to."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from dataclasses import dataclass, field
from pathlib import Path

from stand_ins.fleet import HOST, PlatformPath

__all__ = ["CROWDS", "DAEMON", "LIMITS", "SETTINGS", "Crowd", "UntrustedClients"]

DAEMON = "front-1"
LIMITS = {
    "max-header-bytes": 16_384,
    "max-body-bytes": 67_108_864,
    "header-timeout": 3.0,
    "idle-timeout": 15.0,
}
# The VM that the daemon is told of; memory and descriptors may not exceed these.
SETTINGS = {"memory_limit": 120_000_000, "descriptor_limit": 700}
SENDING_SECONDS = 5.0
WRITE_BYTES = 65_536
RECEIVE_BUFFER_BYTES = 4096
HEAD_BYTES = 16_000
LARGE_BODY_BYTES = 1_000_000
SHORT_BODY_BYTES = 250_000


def encode_head(target: str = "/orders/a", *lines: bytes) -> bytes:
    """Encode a request head that ends after ``lines``."""
    first = f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\n".encode()
    return first + b"".join(line + b"\r\n" for line in lines) + b"\r\n"


def repeat(lines: bytes, size: int) -> bytes:
    """Repeat lines to about ``size`` bytes."""
    return lines * (size // len(lines))


def with_length(length: int, target: str = "/orders/a") -> bytes:
    """Encode a head that states the body's length."""
    return encode_head(target, b"Content-Length: %d" % length)


@dataclass(frozen=True, kw_only=True)
class Crowd:
    """Clients that all send the same.

    :param size: number of connections
    :param payload: bytes that each sends
    :param repeats: how often it sends them
    :param reads: whether it reads what comes back
    """

    size: int
    payload: bytes
    repeats: int = 1
    reads: bool = True


def with_lines(lines: bytes) -> bytes:
    """Encode a request of legal size with many header lines, whose body lacks its last byte."""
    head = with_length(10).removesuffix(b"\r\n")
    return head + repeat(lines, HEAD_BYTES) + b"\r\n123456789"


ODD_LINES = b"a:\r\nB: \r\nc!:\t\r\n*: \x80\r\nTE:,\r\n"
CHUNKS = repeat(b"10\r\n0123456789abcdef\r\n", LARGE_BODY_BYTES)
BEHIND_SLOW = with_length(1, "/orders/a?ms=1500") + b"x"
BEHIND_SLOW += 7 * (with_length(SHORT_BODY_BYTES) + bytes(SHORT_BODY_BYTES))

CROWDS = {
    "short header lines": Crowd(size=300, payload=with_lines(b"ab:cd\r\n")),
    "odd header lines": Crowd(size=400, payload=with_lines(ODD_LINES)),
    "a head without end": Crowd(
        size=160, payload=encode_head().removesuffix(b"\r\n") + repeat(b"ab:cd\r\n", 32_000)
    ),
    "a head over the limit": Crowd(
        size=200, payload=encode_head().removesuffix(b"\r\n") + repeat(b"ab:cd\r\n", 1_000_000)
    ),
    "empty lines without end": Crowd(size=200, payload=bytes(b"\r\n" * 32_768), repeats=32),
    "large bodies with a length": Crowd(
        size=500, payload=with_length(LARGE_BODY_BYTES) + bytes(LARGE_BODY_BYTES)
    ),
    "large bodies in chunks": Crowd(
        size=500, payload=encode_head("/orders/a", b"Transfer-Encoding: chunked") + CHUNKS
    ),
    "bodies that stop short": Crowd(
        size=500, payload=with_length(SHORT_BODY_BYTES + 1) + bytes(SHORT_BODY_BYTES)
    ),
    "bodies behind a slow request": Crowd(size=80, payload=BEHIND_SLOW),
    "large answers that are not read": Crowd(
        size=40,
        payload=with_length(1, "/orders/a?bytes=200000") + b"x",
        repeats=40,
        reads=False,
    ),
    "nothing": Crowd(size=800, payload=b""),
}


@dataclass
class UntrustedClients:
    """One daemon, its backend servers, and the connections of a crowd."""

    platform: PlatformPath = field(default_factory=PlatformPath)
    most_descriptors: int = 0
    _sockets: list[socket.socket] = field(default_factory=list)

    def start(self) -> None:
        """Start the processes."""
        self.platform.start(servers=3)
        self.platform.publish(10, "/orders/", limits=LIMITS)
        self.platform.start_daemon(DAEMON, **SETTINGS)
        self.platform.wait_ready(DAEMON)

    def stop(self) -> None:
        """Close all connections and kill the processes."""
        for sock in self._sockets:
            sock.close()
        self.platform.stop()

    def send(self, crowd: Crowd) -> None:
        """Let a crowd send until it is done or its time is over; its connections stay open."""
        asyncio.run(self._send_all(crowd))

    async def _send_all(self, crowd: Crowd) -> None:
        host, port = self.platform.settings[DAEMON]["callers"].split(":")
        clients = []
        for _ in range(crowd.size):
            sock = socket.socket()
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            sock.setblocking(False)
            self._sockets.append(sock)
            clients.append(asyncio.create_task(self._send(sock, (host, int(port)), crowd)))
        watch = asyncio.create_task(self._watch())
        await asyncio.wait(clients, timeout=SENDING_SECONDS)
        await asyncio.sleep(1.0)
        for task in [*clients, watch]:
            task.cancel()
        await asyncio.gather(*clients, watch, return_exceptions=True)

    @staticmethod
    async def _send(sock: socket.socket, address: tuple[str, int], crowd: Crowd) -> None:
        loop = asyncio.get_running_loop()
        # To refuse such a client or to close its connection is allowed.
        with contextlib.suppress(OSError):
            await loop.sock_connect(sock, address)
            for _ in range(crowd.repeats):
                for start in range(0, len(crowd.payload), WRITE_BYTES):
                    await loop.sock_sendall(sock, crowd.payload[start : start + WRITE_BYTES])
            while crowd.reads and await loop.sock_recv(sock, WRITE_BYTES):
                pass
            if not crowd.reads:
                await asyncio.sleep(SENDING_SECONDS)

    async def _watch(self) -> None:
        while True:
            self.count_descriptors()
            await asyncio.sleep(0.05)

    def count_descriptors(self) -> None:
        """Count the daemon's open descriptors."""
        count = len(os.listdir(f"/proc/{self._pid}/fd"))
        self.most_descriptors = max(self.most_descriptors, count)

    def read_most_memory(self) -> int:
        """Read the largest resident size that the daemon had, in bytes."""
        status = Path(f"/proc/{self._pid}/status").read_text(encoding="ascii")
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) * 1024

    @property
    def is_alive(self) -> bool:
        """Return whether the daemon has not ended."""
        return not self.platform.daemons[DAEMON].has_ended()

    @property
    def _pid(self) -> int:
        popen = self.platform.daemons[DAEMON].popen
        assert popen is not None
        return popen.pid
