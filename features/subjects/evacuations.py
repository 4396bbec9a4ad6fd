"""Subjects: evacuated zones, at one daemon, over zones of daemons, and under load."""

from __future__ import annotations

import random
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import TYPE_CHECKING

from dotterelgate_core.eras import Position
from dotterelgate_core.evacuations.applying import EvacuationsRead, ServersEvacuated
from dotterelgate_daemon.configuration_following import ConfigurationFollower
from dotterelgate_daemon.keyed_reading import StoreAccess
from dotterelgate_platform.log import make_store_calls
from subjects.limited_zones import LimitedZones
from subjects.reading_zones import ReadingZones
from subjects.restored_store import RestoredStore

if TYPE_CHECKING:
    from subjects.store_daemon import StoreDaemon

KEY = "evacuate/"
ZONES = ("north", "south", "east")
WINDOW_SECONDS = 1.0


def evacuate(daemon: StoreDaemon, zones, offset: int, era: int = 1) -> list:
    """Let a daemon learn a list; returns the orders of both pipelines."""
    position = Position(era=era, offset=offset)
    read = EvacuationsRead(now=daemon.now, zones=frozenset(zones), position=position)
    orders = daemon.run_control(read)
    for order in list(orders):
        if isinstance(order, ServersEvacuated):
            orders += daemon.run(order)
    return orders


class OperatorStore(RestoredStore):
    """The operator's records, and a daemon that follows them."""

    def __init__(self) -> None:
        super().__init__(keys=(), era=1)
        self._oldest = 0
        access = StoreAccess(
            state=self.daemon.state,
            calls=make_store_calls(0.2),
            client=SimpleNamespace(fetch=self._fetch),
            mesh=None,
            emit=self.daemon.run_control,
            era=self.daemon.registry.era,
        )
        self.reader = ConfigurationFollower(access=access)
        self.daemon.now = time.monotonic()
        self.daemon.configure()
        for offset, zone in enumerate(ZONES):
            self.daemon.register(f"i-{offset + 1}", offset=offset, zone=zone)

    def run(self, event: str) -> None:
        """Run one event as the feature names it."""
        action, _, rest = event.partition(" ")
        actions = {
            "evacuate": lambda: self.write(KEY + rest),
            "return": lambda: self.records.append((KEY + rest, b"")),
            "configure": lambda: self.records.append(("config", b"not a document")),
            "register": lambda: self.daemon.register(rest[:3], offset=9, zone=rest[7:]),
            "restore": lambda: self.restore(kept=int(rest)),
            "drop": lambda: setattr(self, "_oldest", len(self.records)),
            "pass": lambda: self._pass_time(float(rest.split()[0])),
            "read": self.begin_read if rest else self._read_now,
            "late": self.answer,
        }
        actions[action]()

    def _read_now(self) -> None:
        late, self.in_transit = self.in_transit, []
        self.complete_read()
        self.in_transit = late

    def _pass_time(self, seconds: float) -> None:
        self.daemon.now = time.monotonic() + seconds
        self.daemon.tick()

    def _serve_tail(self, start: int) -> tuple[int, bytes]:
        return (410, b"{}") if start < self._oldest else super()._serve_tail(start)

    def _serve_page(self, after: str) -> bytes:
        # Records of removed keys are dropped, so a listing lacks these keys.
        kept = self.records
        deleted = {key for key, value in kept if not value} if self._oldest else set()
        self.records = [each if each[0] not in deleted else ("", b"") for each in kept]
        page = super()._serve_page(after)
        self.records = kept
        return page


class EvacuatedReadingZones(ReadingZones):
    """Zones of daemons that follow evacuations as they follow the registry."""

    def __init__(self, **options) -> None:
        super().__init__(**options)
        self._lists: list[tuple[float, frozenset[str]]] = [(self.now, frozenset())]
        self.evacuation_lags: list[float] = []
        self._next_change = float("inf")
        self._draw = random.Random(3)

    def change_zones(self, every: float, seconds: float) -> None:
        """Evacuate and take back random zones."""
        end = self.now + seconds
        while self.now < end:
            zones = frozenset(each for each in ("zone-0", "zone-1") if self._draw.random() < 0.5)
            self._lists.append((self.now, zones))
            self.run(every)

    def _note_read(self, daemon: StoreDaemon, read_at: float) -> None:
        known = [each for each in self._lists if each[0] <= read_at]
        evacuate(daemon, known[-1][1], len(known))

    def _note_update(self, sender: StoreDaemon, receiver: StoreDaemon) -> None:
        evacuations = sender.state.evacuations
        if evacuations.position is not None:
            evacuate(receiver, evacuations.listed, evacuations.position.offset)

    def _note_lags(self) -> None:
        super()._note_lags()
        for name in self.alive:
            position = self.daemons[name].state.evacuations.position
            missed = self._lists[position.offset if position else 0 :][:1]
            self.evacuation_lags += [self.now - at for at, _ in missed]


@dataclass(kw_only=True)
class EvacuatedZones(LimitedZones):
    """Zones under load, one of which is evacuated for a time.

    :param spread: seconds within which the daemons learn of a change
    """

    limited: int = 0
    limit_rate: float = 1.0
    evacuated_at: float = 3.0
    returned_at: float = 8.0
    spread: float = 0.0
    starts: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    _changes: int = 0

    def list_starts(self, begin: float, end: float, *, zone: int) -> list[tuple[float, str]]:
        """List the second and the server of each request that began in a zone."""
        return sorted(
            (at, name)
            for name, starts in self.starts.items()
            for at in starts
            if begin <= at < end and int(name[2:]) % self.zones == zone
        )

    def find_largest_share(self, begin: float, end: float) -> float:
        """Return the largest share of the other zones' requests that one server got."""
        largest = 0.0
        at = begin
        while at + WINDOW_SECONDS <= end:
            counts = Counter(
                name
                for zone in range(1, self.zones)
                for _, name in self.list_starts(at, at + WINDOW_SECONDS, zone=zone)
            )
            largest = max(largest, max(counts.values()) / counts.total())
            at += WINDOW_SECONDS
        return largest

    def _run_step(self, step: int, second: float) -> None:
        due = (second >= self.evacuated_at) + (second >= self.returned_at)
        if due > self._changes:
            self._changes = due
            zones = ("zone-0",) if due == 1 else ()
            for daemon in self._daemons:
                delay = self._random.uniform(0.0, self.spread)
                self._schedule(
                    delay,
                    lambda daemon=daemon, zones=zones, due=due: self._carry_out(
                        daemon, evacuate(daemon, zones, due)
                    ),
                )
        super()._run_step(step, second)

    def _start(self, key: tuple, name: str) -> None:
        if key in self._dispatched:
            self.starts[name].append(self._second)
        super()._start(key, name)
