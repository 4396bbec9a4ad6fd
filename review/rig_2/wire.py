"""Plain HTTP/1.1 over asyncio streams, as far as the stand-ins need it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """One request or answer."""

    first: str
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""

    def find(self, name: str) -> str | None:
        """Return the first value of a header."""
        for each, value in self.headers:
            if each == name:
                return value
        return None

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Read the first line and the headers; ``None`` at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers.append((name.strip().lower(), value.strip()))
    return Message(lines[0], headers)


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes | None:
    """Read a body with a length or in chunks; ``None`` if the connection ends before its end."""
    try:
        if (head.find("transfer-encoding") or "").lower() == "chunked":
            parts = []
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return b"".join(parts)
                parts.append(data[:-2])
        return await reader.readexactly(int(head.find("content-length") or 0))
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError):
        return None


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole message; ``None`` if the connection ends before its end."""
    head = await read_head(reader)
    if head is None:
        return None
    body = await read_body(reader, head)
    if body is None:
        return None
    head.body = body
    return head


def encode(first: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    """Encode a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def close_quietly(writer: asyncio.StreamWriter) -> None:
    """Close a connection, also while the loop ends."""
    try:
        writer.close()
    except RuntimeError:
        pass
