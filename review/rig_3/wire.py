"""HTTP/1.1 for the stand-ins: heads, bodies with a length or in chunks."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


@dataclass
class Message:
    """A request or an answer as it was read; header names in lower case."""

    first: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def method(self) -> str:
        return self.first.split(" ")[0]

    @property
    def target(self) -> str:
        return self.first.split(" ")[1]

    @property
    def status(self) -> int:
        return int(self.first.split(" ")[1])


async def _read_head(reader: asyncio.StreamReader) -> Message | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def _read_body(reader: asyncio.StreamReader, message: Message) -> bytes:
    if "chunked" in message.headers.get("transfer-encoding", "").lower():
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                return body
            body += part[:-2]
    return await reader.readexactly(int(message.headers.get("content-length", "0")))


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole request; ``None`` when the connection has ended."""
    message = await _read_head(reader)
    if message is not None:
        try:
            message.body = await _read_body(reader, message)
        except asyncio.IncompleteReadError:
            return None
    return message


async def read_answer(reader: asyncio.StreamReader) -> Message | None:
    """Read a whole answer; ``None`` when the connection ended before."""
    return await read_request(reader)


def write_answer(writer, status: int, body: bytes, headers: list[tuple[str, str]] = ()) -> None:
    """Write an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    writer.write("\r\n".join(lines).encode("latin-1") + body)
