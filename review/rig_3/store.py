"""Stand-in for the platform's store: keyed topics over HTTP."""

from __future__ import annotations

import base64
import json
import struct
import time
from urllib.parse import parse_qsl, urlsplit

from .wire import read_request, write_answer

CONFIGURATION = "keyed.op"
SERVERS = "keyed.servers"


class Store:
    """Keeps the records of each topic; the newest record of each key can be listed.

    :param on_read: called after a read of a topic was answered, with the topic's name
    """

    def __init__(self) -> None:
        self.topics: dict[str, list[tuple[str, bytes]]] = {}
        self.on_read = lambda topic: None
        self.era = 1

    def write(self, topic: str, key: str, value: object) -> float:
        """Accept a record, as the operator or a backend writes it.

        :returns: the monotonic second of the ack
        """
        data = b"" if value is None else json.dumps(value).encode()
        self.topics.setdefault(topic, []).append((key, data))
        return time.monotonic()

    async def serve(self, reader, writer) -> None:
        """Answer the calls of one connection."""
        try:
            while (request := await read_request(reader)) is not None:
                parts = urlsplit(request.target)
                query = dict(parse_qsl(parts.query))
                status, body = self._answer(parts.path, query, request.body)
                write_answer(writer, status, body, [("Store-Era", str(self.era))])
                await writer.drain()
                if parts.path.endswith("/log-read") or parts.path.endswith("/log-newest"):
                    self.on_read(query["topic"])
        except (ConnectionError, TimeoutError):
            pass
        finally:
            writer.close()

    def _answer(self, path: str, query: dict[str, str], body: bytes) -> tuple[int, bytes]:
        records = self.topics.setdefault(query.get("topic", ""), [])
        if path == "/dotterelgate/log-append":
            offset = len(records)
            at = 0
            while at + 4 <= len(body):
                (length,) = struct.unpack_from(">I", body, at)
                content = body[at + 4 : at + 4 + length]
                end = 1 + content[0]
                records.append((content[1:end].decode(), content[end:]))
                at += 4 + length
            return 200, json.dumps({"offset": offset, "end": len(records)}).encode()
        if path == "/dotterelgate/log-newest":
            newest: dict[str, tuple[int, bytes]] = {}
            for offset, (key, value) in enumerate(records):
                newest[key] = (offset, value)
            items = [
                {"key": key, "offset": offset, "value": base64.b64encode(value).decode()}
                for key, (offset, value) in sorted(newest.items())
                if value and key > query.get("after", "")
            ]
            return 200, json.dumps({"items": items, "more": False, "end": len(records)}).encode()
        if path == "/dotterelgate/log-read":
            start = int(query["from"])
            if start > len(records):
                return 410, json.dumps({"first": 0}).encode()
            data = struct.pack(">QQ", len(records), 0)
            for key, value in records[start:]:
                content = bytes((len(key.encode()),)) + key.encode() + value
                data += struct.pack(">I", len(content)) + content
            return 200, data
        return 404, b"{}"
