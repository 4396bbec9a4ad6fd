"""Subject: configurations on the log, read with gaps."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from dotterelgate_core.chain import Link
from dotterelgate_core.configuration import Configuration, ConfigurationState


@dataclass
class Entry:
    """One record: a publication, or a confirmation by a reader."""

    link: Link
    is_confirmation: bool


@dataclass
class ConfigurationReader:
    """One daemon that follows configurations."""

    is_naive: bool
    state: ConfigurationState = field(default_factory=ConfigurationState)
    read_to: int = 0

    def restart(self, oldest: int) -> None:
        """Restart with empty state."""
        self.state = ConfigurationState()
        self.state.chain.begin(start=oldest)
        self.read_to = oldest

    def read(self, log: list[Entry], oldest: int) -> None:
        """Read all retained records."""
        if oldest > self.read_to:
            self.state.chain.begin(start=oldest)
            self.read_to = oldest
        for entry in log[self.read_to :]:
            if self.is_naive:
                self.state.current = entry.link.body
            elif entry.is_confirmation:
                self.state.read_confirmation(entry.link)
            else:
                self.state.read_publication(entry.link)
        self.read_to = len(log)


@dataclass
class PublicationHistory:
    """A random history, compared with a reader that reads every record."""

    seed: int
    is_naive: bool = False
    faults: list[str] = field(default_factory=list)

    def run(self, steps: int = 60) -> None:
        """Run the history and check every reader at every step."""
        rng = random.Random(self.seed)
        self._log: list[Entry] = []
        retention = rng.choice((4, 8, 1000))
        reference = ConfigurationReader(is_naive=False)
        reference.restart(0)
        self._accepted: dict[str, int] = {}
        readers = [ConfigurationReader(is_naive=self.is_naive) for _ in range(3)]
        for reader in readers:
            reader.restart(0)
        for _ in range(steps):
            oldest = max(0, len(self._log) - retention)
            self._step(rng, readers, oldest)
            reference.read(self._log, 0)
            if reference.state.current is not None:
                self._accepted[reference.state.current.id] = reference.state.current.revision

    def _step(self, rng, readers, oldest) -> None:
        reader = rng.choice(readers)
        before = reader.state.current
        action = rng.random()
        if action < 0.4:
            reader.read(self._log, oldest)
            self._check(reader, before)
        elif action < 0.65:
            self._publish(reader)
        elif action < 0.8:
            self._confirm(reader)
        elif action < 0.9:
            offered = rng.choice(readers).state.current
            if offered is not None and not self.is_naive:
                reader.state.adopt(offered)
            self._check(reader, before)
        elif action < 0.95 and self._log:
            self._repeat(rng.choice(self._log))
        else:
            reader.restart(oldest)

    def _publish(self, reader) -> None:
        chain = reader.state.chain
        if not chain.known:
            return
        if chain.current is None and reader.read_to > 0 and chain.start > 0:
            return
        body = chain.current.body if chain.current is not None else None
        revision = body.revision + 1 if body is not None else 1
        if chain.current is not None and body is None:
            return
        self._append(
            id=f"c{len(self._log)}",
            previous=chain.current.id if chain.current is not None else None,
            revision=revision,
            read_to=reader.read_to,
        )

    def _confirm(self, reader) -> None:
        chain = reader.state.chain
        current = reader.state.current
        if not chain.known or chain.current is None or current is None:
            return
        if chain.current.id == current.id:
            self._append(
                id=current.id,
                previous=None,
                revision=current.revision,
                read_to=reader.read_to,
                is_confirmation=True,
            )

    def _repeat(self, entry: Entry) -> None:
        link = entry.link
        repeated = Link(
            id=link.id,
            previous=link.previous,
            offset=len(self._log),
            read_to=link.read_to,
            oldest=0,
            body=link.body,
        )
        self._log.append(Entry(link=repeated, is_confirmation=entry.is_confirmation))

    def _append(self, *, id, previous, revision, read_to, is_confirmation=False) -> None:
        body = Configuration(id=id, revision=revision, services=())
        link = Link(
            id=id,
            previous=previous,
            offset=len(self._log),
            read_to=read_to,
            oldest=0,
            body=body,
        )
        self._log.append(Entry(link=link, is_confirmation=is_confirmation))

    def _check(self, reader, before) -> None:
        current = reader.state.current
        if before is not None and current is not None and current.revision < before.revision:
            self.faults.append(f"seed {self.seed}: {before.revision} to {current.revision}")
        if current is None:
            return
        full = ConfigurationReader(is_naive=False)
        full.restart(0)
        accepted = set()
        for entry in self._log:
            if not entry.is_confirmation:
                full.state.read_publication(entry.link)
            if full.state.current is not None:
                accepted.add(full.state.current.id)
        if current.id not in accepted:
            self.faults.append(f"seed {self.seed}: {current.id} was never accepted")
