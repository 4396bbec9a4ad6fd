"""Subjects: readers of what a broken peer or store sends without end."""

from __future__ import annotations

import itertools
import zlib
from types import SimpleNamespace

from dotterelgate_core.eras import StoreEra
from dotterelgate_daemon.configuration_parts import ConfigurationParts, InvalidPartsError
from dotterelgate_daemon.keyed_reading import KeyedReader, ReadOutcome, StoreAccess
from dotterelgate_daemon.store import Listing, StoreRecord, StoreRequest, Topic

PART_BYTES = 32_000
MESSAGES = 2_000
PAGE_RECORDS = 500
DOCUMENT = b'{"config-version": 7}'


def list_parts(what):
    """List what a peer sends: the fields of each part."""
    part = {"sender": "peer", "revision": 1, "part": 0, "count": 2, "body": bytes(PART_BYTES)}
    numbers = range(MESSAGES)
    return {
        "parts of ever newer configurations": lambda: ({**part, "revision": n} for n in numbers),
        "parts with ever higher numbers": lambda: (
            {**part, "part": n, "count": MESSAGES + 1} for n in numbers
        ),
        "a part behind the last one": lambda: ({**part, "part": n + 2} for n in numbers),
        "parts under ever other names": lambda: ({**part, "sender": f"p-{n}"} for n in numbers),
        "a part of 200 MB of zeros, compressed": lambda: (
            {**part, "count": 1, "body": zlib.compress(bytes(200_000_000))},
        ),
    }[what]()


class PeerParts:
    """The parts of configurations that peers send."""

    def __init__(self):
        self.parts = ConfigurationParts()
        self.refused = 0

    def receive(self, what):
        """Receive what a peer sends; each part is a datagram of its own."""
        for fields in list_parts(what):
            try:
                assert self.parts.add(**{**fields, "body": bytes(fields["body"])}) is None
            except InvalidPartsError:
                self.refused += 1

    def measure(self):
        """Measure the bytes of parts that are kept."""
        held = (body for _, parts in self.parts._parts.values() for body in parts.values())
        return sum(map(len, held))

    def receive_sound(self):
        """Receive a sound configuration in two parts; returns the document."""
        body = zlib.compress(DOCUMENT)
        halves = (body[:10], body[10:])
        added = [
            self.parts.add(sender="front-2", revision=9, part=number, count=2, body=half)
            for number, half in enumerate(halves)
        ]
        return added[-1]


def make_pages(goes_on):
    """Build the function that returns the keys of the page after a key."""
    counter = itertools.count()
    if "repeat" in goes_on:
        return lambda after: ["key"]
    return lambda after: [f"{next(counter):09d}" for _ in range(PAGE_RECORDS)]


class EndlessListing:
    """A reader of a topic whose store never ends the listing."""

    def __init__(self, goes_on):
        self.keys, self.failures, self.done = set(), [], []
        self._requests = []
        list_page = make_pages(goes_on)

        def decode(status, body):
            records = [StoreRecord(key=key, offset=0, value=b"") for key in list_page(body)]
            return Listing(records=records, end=1, is_last=False)

        access = StoreAccess(
            state=None,
            calls=SimpleNamespace(
                list_newest=lambda topic, after: StoreRequest(method="GET", path=after),
                decode_listing=decode,
                read_era=lambda headers: 0,
            ),
            client=SimpleNamespace(fetch=lambda **fields: self._requests.append(fields)),
            mesh=None,
            emit=lambda message: None,
            era=StoreEra(),
        )
        self._reader = KeyedReader(
            topic=Topic.REGISTRY,
            access=access,
            on_records=lambda records: self.keys.update(each.key for each in records),
        )

    def read(self, most_pages):
        """Read until the read ends, or some pages were answered."""
        outcome = ReadOutcome(on_done=lambda: self.done.append(1), on_failure=self.failures.append)
        self._reader.read(outcome)
        for _ in range(most_pages):
            if not self._requests:
                return
            request = self._requests.pop()
            answer = SimpleNamespace(status=200, headers=[], body=request["path"].encode())
            request["on_answer"](answer)
