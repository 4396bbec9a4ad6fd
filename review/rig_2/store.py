"""Stand-in of the platform's store: keyed topics, with restores from a copy."""

from __future__ import annotations

import asyncio
import json
import struct
import time
from base64 import b64encode
from urllib.parse import parse_qsl, urlsplit

from rig_2.wire import close_quietly, encode, read_message


class Store:
    """Linearizable; loses only what the pages let a restore lose.

    :param era: sent as ``Store-Era`` in all answers once it is not 0
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.era = 1
        self.topics: dict[str, list[tuple[str, bytes, float]]] = {}
        self.is_away = False
        self.returned_at = float("-inf")
        self.reads: list[tuple[float, str, str]] = []

    async def start(self) -> None:
        """Serve."""
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self._serve, host, int(port))

    def write(self, topic: str, key: str, value: bytes) -> float:
        """Write a record, or delete the key with an empty value; returns the second of the ack."""
        now = time.monotonic()
        self.topics.setdefault(topic, []).append((key, value, now))
        return now

    def restore(self, copied_at: float) -> None:
        """Come back from a copy: later records are gone and their offsets are given out again."""
        self.era += 1
        self.returned_at = time.monotonic()
        for name, records in self.topics.items():
            self.topics[name] = [each for each in records if each[2] <= copied_at]

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                if self.is_away:
                    break
                await asyncio.sleep(0.004)
                status, body = self._answer(request)
                headers = [("Store-Era", str(self.era)), ("Content-Type", "application/json")]
                writer.write(encode(f"HTTP/1.1 {status} X", headers, body))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            # The client has left, or the case has ended.
            pass
        finally:
            close_quietly(writer)

    def _answer(self, request) -> tuple[int, bytes]:
        method, target, _ = request.first.split(" ")
        parts = urlsplit(target)
        query = dict(parse_qsl(parts.query))
        topic = query.get("topic", "")
        records = self.topics.setdefault(topic, [])
        call = parts.path.rpartition("/")[2]
        self.reads.append((time.monotonic(), call, topic))
        if call == "log-append" and method == "POST":
            return self._append(topic, records, request.body)
        if call == "log-newest":
            return 200, self._list_newest(records)
        if call == "log-read":
            start = int(query["from"])
            if start > len(records):
                return 410, json.dumps({"first": 0}).encode()
            body = struct.pack(">QQ", len(records), 0)
            for key, value, _ in records[start:]:
                content = bytes((len(key.encode()),)) + key.encode() + value
                body += struct.pack(">I", len(content)) + content
            return 200, body
        return 404, b"{}"

    def _append(self, topic: str, records: list, body: bytes) -> tuple[int, bytes]:
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b"{}"
        first = len(records)
        at = 0
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            content = body[at + 4 : at + 4 + length]
            key = content[1 : 1 + content[0]].decode()
            records.append((key, content[1 + content[0] :], time.monotonic()))
            at += 4 + length
        return 200, json.dumps({"offset": first, "end": len(records)}).encode()

    @staticmethod
    def _list_newest(records: list) -> bytes:
        newest = {key: (offset, value) for offset, (key, value, _) in enumerate(records)}
        items = [
            {"key": key, "offset": offset, "value": b64encode(value).decode()}
            for key, (offset, value) in sorted(newest.items())
            if value
        ]
        return json.dumps({"items": items, "more": False, "end": len(records)}).encode()
