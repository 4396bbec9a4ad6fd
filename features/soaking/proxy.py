"""Loopback proxy that can delay or reset a link, or drop its bytes one way or both ways."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import threading
from dataclasses import dataclass, field
from enum import Enum

from dotterelgate_bench.fleet import find_free_address
from dotterelgate_daemon.socket_options import bind_to

__all__ = ["FaultProxy", "Link", "LinkFault"]

READ_BYTES = 65_536
DELAY_SECONDS = 0.15


class LinkFault(Enum):
    """Fault injected into the connections of a link."""

    NONE = "none"
    DELAYED = "delayed"
    RESET = "reset"
    CUT_TO_TARGET = "cut to target"
    CUT_TO_CALLER = "cut to caller"
    SILENT = "silent"


DROPS_TO_TARGET = {LinkFault.CUT_TO_TARGET, LinkFault.SILENT}
DROPS_TO_CALLER = {LinkFault.CUT_TO_CALLER, LinkFault.SILENT}


@dataclass
class Link:
    """Connections to one target.

    :param address: where the proxy listens for this target
    """

    name: str
    target: str
    address: str = ""
    fault: LinkFault = LinkFault.NONE
    writers: set = field(default_factory=set)


class FaultProxy:
    """Serves all links from an event loop on a thread of its own."""

    def __init__(self) -> None:
        self.links: dict[str, Link] = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        self._thread.start()

    def add(self, name: str, target: str) -> str:
        """Add a link; returns the address to use instead of the target."""
        link = Link(name=name, target=target)
        link.address = find_free_address()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bind_to(sock, link.address)

        async def serve() -> None:
            await asyncio.start_server(lambda r, w: self._accept(link, r, w), sock=sock)

        asyncio.run_coroutine_threadsafe(serve(), self._loop).result()
        self.links[name] = link
        return link.address

    def set_fault(self, name: str, fault: LinkFault) -> None:
        """Set the fault of a link; a connection that lost bytes stays silent until it ends."""
        link = self.links[name]
        link.fault = fault
        if fault is LinkFault.RESET:
            self._loop.call_soon_threadsafe(reset_all, link)

    def stop(self) -> None:
        """End all connections, the loop and its thread."""

        async def end() -> None:
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run_coroutine_threadsafe(end(), self._loop).result()
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    async def _accept(
        self, link: Link, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        link.writers.add(writer)
        if link.fault is LinkFault.RESET:
            reset(writer)
            return
        host, port = link.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            reset(writer)
            return
        link.writers.add(target_writer)
        # Stopping the proxy cancels both directions.
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                pump(link, reader, target_writer, DROPS_TO_TARGET),
                pump(link, target_reader, writer, DROPS_TO_CALLER),
            )
        link.writers -= {writer, target_writer}


async def pump(
    link: Link,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    dropping_faults: set[LinkFault],
) -> None:
    """Forward bytes one way until either side ends."""
    is_silent = False
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_BYTES):
            if link.fault is LinkFault.DELAYED:
                await asyncio.sleep(DELAY_SECONDS)
            is_silent = is_silent or link.fault in dropping_faults
            if not is_silent:
                writer.write(data)
                await writer.drain()
    with contextlib.suppress(OSError):
        writer.close()


def reset_all(link: Link) -> None:
    """Reset all connections of a link."""
    for writer in list(link.writers):
        reset(writer)
    link.writers.clear()


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    writer.transport.abort()
