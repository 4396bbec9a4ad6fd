"""Subject: the reader of one topic, with a store that the test restores from a copy."""

from __future__ import annotations

import json
from base64 import b64encode
from types import SimpleNamespace

from dotterelgate_daemon.keyed_reading import KeyedReader, ReadOutcome, StoreAccess
from dotterelgate_daemon.platform import PlatformAnswer
from dotterelgate_daemon.store import Topic
from dotterelgate_platform.log import ERA_HEADER, TAIL_HEADER, encode_record, make_store_calls
from subjects.store_daemon import StoreDaemon

PAGE = 2


class RestoredStore:
    """Records of one topic, and the reader that follows them.

    Answers are built when the read begins and delivered by ``answer``.
    """

    def __init__(self, *, keys, era):
        self.records = [(key, key.encode("ascii")) for key in keys]
        self.era = era
        self.read = []
        self.ends = []
        self.in_transit = []
        self.listed = []
        self.listings = 0
        self.daemon = StoreDaemon()
        access = StoreAccess(
            state=self.daemon.state,
            calls=make_store_calls(0.2),
            client=SimpleNamespace(fetch=self._fetch),
            mesh=None,
            emit=self.daemon.run_control,
            era=self.daemon.registry.era,
        )
        self.reader = KeyedReader(
            topic=Topic.REGISTRY,
            access=access,
            on_records=lambda records: self.read.extend(each.key for each in records),
            on_listed=lambda keys, end: self.listed.append((sorted(keys), end.offset)),
        )

    def restore(self, *, kept, rises=1):
        """Drop all records but the first ones."""
        del self.records[kept:]
        self.era += rises

    def write(self, *keys):
        """Write records."""
        self.records += [(key, key.encode("ascii")) for key in keys]

    def begin_read(self):
        """Let the reader begin a read, which the store serves at once."""
        self.read.clear()
        outcome = ReadOutcome(
            on_done=lambda: self.ends.append("read"), on_failure=lambda reason: self._fail(reason)
        )
        self.reader.read(outcome)

    def answer(self, status=None):
        """Deliver the first answer in transit; a status replaces it by a refusal."""
        deliver, answer = self.in_transit.pop(0)
        if status is not None:
            answer = PlatformAnswer(status=status, headers=answer.headers, body=b"{}")
        deliver(answer)

    def complete_read(self):
        """Read to the end."""
        self.begin_read()
        while self.in_transit:
            self.answer()

    def _fail(self, reason):
        self.ends.append(reason)

    def _fetch(self, *, method, path, body, on_answer, on_failure):
        query = dict(each.split("=") for each in path.partition("?")[2].split("&"))
        if "from" in query:
            status, document = self._serve_tail(int(query["from"]))
        else:
            self.listings += "after" not in query
            status, document = 200, self._serve_page(query.get("after", ""))
        headers = [(ERA_HEADER, b"%d" % self.era)] if self.era else []
        answer = PlatformAnswer(status=status, headers=headers, body=document)
        self.in_transit.append((on_answer, answer))

    def _serve_tail(self, start):
        if start > len(self.records):
            return 410, b"{}"
        records = b"".join(encode_record(key, value) for key, value in self.records[start:])
        return 200, TAIL_HEADER.pack(len(self.records), 0) + records

    def _serve_page(self, after):
        newest = {key: (offset, value) for offset, (key, value) in enumerate(self.records)}
        keys = sorted(key for key in newest if key > after)
        items = [
            {"key": key, "offset": newest[key][0], "value": b64encode(newest[key][1]).decode()}
            for key in keys[:PAGE]
        ]
        page = {"items": items, "more": len(keys) > PAGE, "end": len(self.records)}
        return json.dumps(page).encode("ascii")
