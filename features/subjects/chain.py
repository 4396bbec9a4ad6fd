"""Subject: the order of competing records on the log."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from dotterelgate_core.chain import Chain, Link


@dataclass
class Reader:
    """One reader of the log that may claim."""

    chain: Chain
    read_to: int
    oldest: int = 0

    def read(self, log: list[Link], oldest: int) -> None:
        """Read all retained records, starting over after a gap."""
        if oldest > self.read_to:
            self.chain.begin(start=oldest)
            self.read_to = oldest
        for offset in range(self.read_to, len(log)):
            self.chain.read(log[offset])
        self.read_to = len(log)
        self.oldest = oldest
        self.chain.expire(oldest=oldest)

    def may_claim(self) -> bool:
        """Return whether a claim may be written from what this reader has read."""
        return self.chain.known or not self.chain.undecided


@dataclass
class ChainHistory:
    """A random history of claims by readers that read the log late and in part."""

    seed: int
    claims_checked: bool = True
    steps: int = 40
    log: list[Link] = field(default_factory=list)
    disagreements: list[str] = field(default_factory=list)
    accepted: int = 0

    def run(self) -> None:
        """Run the history and compare every reader with one that read everything."""
        rng = random.Random(self.seed)
        reference = Reader(chain=Chain(), read_to=0)
        reference.chain.begin(start=0)
        readers = [self._make_reader() for _ in range(3)]
        retention = rng.choice((3, 5, 8, 1000))
        for _ in range(self.steps):
            oldest = max(0, len(self.log) - retention)
            self._step(rng, readers, oldest)
            reference.read(self.log, 0)
        for reader in readers:
            reader.read(self.log, max(0, len(self.log) - retention))
            self._compare(reader, reference)
        self.accepted += reference.chain.current is not None

    def _make_reader(self) -> Reader:
        chain = Chain()
        chain.begin(start=0)
        return Reader(chain=chain, read_to=0)

    def _step(self, rng: random.Random, readers: list[Reader], oldest: int) -> None:
        action = rng.random()
        chosen = rng.randrange(len(readers))
        reader = readers[chosen]
        if action < 0.4:
            reader.read(self.log, oldest)
        elif action < 0.85:
            self._claim(reader)
        elif action < 0.9 and self.log:
            # A writer that did not get the answer to its append repeats it.
            repeated = rng.choice(self.log[-6:])
            self.log.append(replace(repeated, offset=len(self.log)))
        else:
            restarted = Reader(chain=Chain(), read_to=oldest, oldest=oldest)
            restarted.chain.begin(start=oldest)
            readers[chosen] = restarted
            restarted.read(self.log, oldest)

    def _claim(self, reader: Reader) -> None:
        # A frozen claimer appends long after its last read, so the record carries read_to.
        if self.claims_checked and not reader.may_claim():
            return
        current = reader.chain.current
        link = Link(
            id=f"claim-{len(self.log)}",
            previous=current.id if current is not None else None,
            offset=len(self.log),
            read_to=reader.read_to,
            oldest=reader.oldest,
            body=None,
        )
        self.log.append(link)

    def _compare(self, reader: Reader, reference: Reader) -> None:
        if not reader.chain.known:
            return
        found = reader.chain.current.id if reader.chain.current else None
        expected = reference.chain.current.id if reference.chain.current else None
        if found != expected:
            self.disagreements.append(f"seed {self.seed}: {found} instead of {expected}")
