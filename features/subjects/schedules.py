"""Subject: keyed requests under random schedules of failures, on a fake clock."""

from __future__ import annotations

import random
import uuid
from dataclasses import dataclass, field, replace

from dotterelgate_bench.clock import FakeClock
from dotterelgate_bench.model import ModelDaemon, ModelLog, ModelServer, Network
from dotterelgate_core.codes import Outcome
from dotterelgate_core.configuration import BackendServer, Configuration, Route, Service
from dotterelgate_core.leases import LeaseTable, Tenure
from dotterelgate_core.messages import Dispatch, Forward

TIMEOUT_SECONDS = 2.0
DAEMONS = ("entry-1", "entry-2", "entry-3")
SERVERS = ("server-1", "server-2")
CLOCK_ERROR = 0.25
TICK_SECONDS = 0.1
POLL_SECONDS = 0.25
LENGTH_SECONDS = 40.0
LEASE_SECONDS = 5.0
RETRY_SECONDS = 0.5
RETRY_WINDOW_SECONDS = 7.0
KEY_RETENTION_SECONDS = 12.0
# A call is forwarded within its time limit, then fenced by the holder's lease.
LATEST_START_SECONDS = TIMEOUT_SECONDS + LEASE_SECONDS + 4 * CLOCK_ERROR


@dataclass(frozen=True, kw_only=True)
class Mechanisms:
    """Which mechanisms are on; tests turn one off to show that the checks detect it.

    :param fence: whether backend servers obey the latest time to start
    :param history: whether a new holder considers what earlier holders may have run
    :param holder: whether a key has one holder
    :param staleness: whether a paused daemon refuses requests that waited unread
    """

    fence: bool = True
    history: bool = True
    holder: bool = True
    staleness: bool = True


class LeasesWithoutHolder(LeaseTable):
    """Leases under which every daemon holds every range."""

    __slots__ = ()

    def holds(self, resource: str, now: float, wall: float) -> bool:
        """Return true for every known resource."""
        if resource not in self.leases:
            return False
        tenure = Tenure(id=self.incarnation, since=0.0, history_known=True, transfer=None)
        self.leases[resource].tenure = tenure
        self.leases[resource].ends_at = now + self.length
        self.leases[resource].ends_wall = wall + self.length
        return True


class LeasesWithoutHistory(LeaseTable):
    """Leases under which a new holder assumes that nothing ran before."""

    __slots__ = ()

    def holds(self, resource: str, now: float, wall: float) -> bool:
        """Return whether the lease holds, with its history marked as known."""
        held = super().holds(resource, now, wall)
        if held:
            lease = self.leases[resource]
            lease.tenure = replace(lease.tenure, history_known=True)
        return held


@dataclass(kw_only=True)
class AttemptResult:
    """The outcome that a caller received for one attempt."""

    at: float
    key: str
    attempt: str
    outcome: Outcome
    code: str


@dataclass(kw_only=True)
class KeyedSchedule:
    """One random schedule, fully determined by its seed."""

    seed: int
    mechanisms: Mechanisms = field(default_factory=Mechanisms)
    results: list[AttemptResult] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)
    keys: list[str] = field(default_factory=list)

    def run(self) -> None:
        """Run the schedule to its end and check it."""
        self._random = random.Random(self.seed)
        self._clock = FakeClock()
        self._network = Network(clock=self._clock, random=self._random)
        self._log = ModelLog(clock=self._clock, retention=self._random.choice((40, 10_000)))
        self._servers = {name: self._make_server() for name in SERVERS}
        self._attempts = 0
        self._accepted: dict[str, float] = {}
        self._runs = dict.fromkeys(DAEMONS, 0)
        self._daemons = {name: self._make_daemon(name) for name in DAEMONS}
        self._meet()
        for number in range(12):
            self._clock.schedule(self._random.uniform(1, 30), lambda n=number: self._start_key(n))
        for _ in range(5):
            self._clock.schedule(self._random.uniform(1, 32), self._inject_fault)
        self._clock.schedule(LENGTH_SECONDS - 5, self._restore_all)
        self._clock.run_until(LENGTH_SECONDS + 25)
        self._check()

    def _make_server(self) -> ModelServer:
        def draw(server, call):
            return self._random.expovariate(20) + 0.001

        enforces_fence = self.mechanisms.fence
        return ModelServer(clock=self._clock, slots=2, draw=draw, enforces_fence=enforces_fence)

    def _make_daemon(self, name: str) -> ModelDaemon:
        self._runs[name] += 1
        daemon = ModelDaemon(
            name=name,
            run=self._runs[name],
            clock=self._clock,
            network=self._network,
            log=self._log,
            servers=self._servers,
            random=self._random,
            lease_length=LEASE_SECONDS,
            key_retention=KEY_RETENTION_SECONDS,
            clock_error=CLOCK_ERROR,
            skew=self._random.uniform(-CLOCK_ERROR / 2, CLOCK_ERROR / 2),
        )
        daemon.freeze_before_orders = lambda orders: self._freeze_at_random(daemon, orders)
        daemon.configure(self._build_configuration())
        self._disable_mechanisms(daemon)
        daemon.start(tick=TICK_SECONDS, poll=POLL_SECONDS)
        return daemon

    def _disable_mechanisms(self, daemon: ModelDaemon) -> None:
        if not self.mechanisms.holder:
            daemon.state.leases.__class__ = LeasesWithoutHolder
        elif not self.mechanisms.history:
            daemon.state.leases.__class__ = LeasesWithoutHistory

    def _build_configuration(self) -> Configuration:
        servers = tuple(
            BackendServer(name=name, address="", slots=2, connections=50) for name in SERVERS
        )
        route = Route(prefix="/", idempotent=False, timeout=TIMEOUT_SECONDS)
        service = Service(name="orders", servers=servers, routes=(route,))
        return Configuration(id="c", revision=1, services=(service,))

    def _meet(self) -> None:
        for daemon in self._daemons.values():
            daemon.add_peers(list(self._daemons.values()))

    def _freeze_at_random(self, daemon: ModelDaemon, orders) -> bool:
        if not any(isinstance(order, (Dispatch, Forward)) for order in orders):
            return False
        if self._random.random() > 0.03:
            return False
        self._freeze(daemon)
        return True

    def _freeze(self, daemon: ModelDaemon) -> None:
        if daemon.is_dead or daemon.is_frozen:
            return
        daemon.is_frozen = True
        length = self._random.choice((0.3, 2.0, 6.0, 12.0))
        self._clock.schedule(length, daemon.thaw)

    def _inject_fault(self) -> None:
        name = self._random.choice(DAEMONS)
        daemon = self._daemons[name]
        fault = self._random.choice(("freeze", "freeze", "kill", "outage", "cut", "gone"))
        if fault == "freeze":
            self._freeze(daemon)
        elif fault in ("kill", "gone"):
            self._kill(name, is_removed=fault == "gone")
        elif fault == "outage":
            self._log.is_down = True
            self._clock.schedule(self._random.choice((1, 8)), self._restore_log)
        else:
            pair = frozenset((name, self._random.choice(DAEMONS)))
            self._network.partitions.add(pair)
            self._clock.schedule(4, lambda: self._network.partitions.discard(pair))

    def _kill(self, name: str, *, is_removed: bool) -> None:
        if self._daemons[name].is_dead:
            return
        self._daemons[name].is_dead = True
        if is_removed:
            for other in self._daemons.values():
                other.state.peers.removed.add(name)
        self._clock.schedule(self._random.uniform(0.5, 8), lambda: self._restart(name))

    def _restart(self, name: str) -> None:
        if not self._daemons[name].is_dead:
            return
        for other in self._daemons.values():
            other.state.peers.removed.discard(name)
        self._daemons[name] = self._make_daemon(name)
        self._meet()

    def _restore_log(self) -> None:
        self._log.is_down = False

    def _restore_all(self) -> None:
        self._restore_log()
        self._network.partitions.clear()

    def _start_key(self, number: int) -> None:
        key = str(uuid.UUID(int=self._random.getrandbits(128), version=4))
        if number % 2:
            key = self._make_timed_key()
        self.keys.append(key)
        self._attempt(key, self._clock.now + RETRY_WINDOW_SECONDS)

    def _make_timed_key(self) -> str:
        # Callers' clocks may be off by more than the daemons' clock error.
        wall = max(0.0, self._clock.now + self._random.choice((-3.0, 0.0, 0.0, 0.2, 3.0)))
        value = int(wall * 1000) << 80 | 7 << 76 | 2 << 62 | self._random.getrandbits(62)
        return str(uuid.UUID(int=value))

    def _attempt(self, key: str, until: float) -> None:
        if self._clock.now >= until:
            return
        self._attempts += 1
        attempt = f"{key}#{self._attempts}"
        daemon = self._daemons[self._random.choice(DAEMONS)]
        is_answered = [False]

        def reply(refusal, stored_answer):
            if is_answered[0]:
                return
            is_answered[0] = True
            outcome = Outcome.RAN if refusal is None else refusal.outcome
            self.results.append(
                AttemptResult(
                    at=self._clock.now,
                    key=key,
                    attempt=attempt,
                    outcome=outcome,
                    code="ok" if refusal is None else refusal.code.name,
                )
            )
            if outcome is not Outcome.RAN:
                self._clock.schedule(RETRY_SECONDS, lambda: self._attempt(key, until))

        def time_out():
            if not is_answered[0]:
                is_answered[0] = True
                self._attempt(key, until)

        fields = {"method": "POST", "host": "", "path": "/o", "key": key, "fingerprint": 1}

        sent_at = self._clock.now

        def send():
            self._accepted[attempt] = self._clock.now
            unread_wait = self._clock.now - sent_at if self.mechanisms.staleness else 0.0
            daemon.call({**fields, "unread_wait": unread_wait}, attempt, reply)

        daemon.receive(send)
        self._clock.schedule(3.0, time_out)
        if self._random.random() < 0.2:
            # An impatient caller sends the same key through another daemon at once.
            self._clock.schedule(0.01, lambda: self._attempt(key, until))

    def _check(self) -> None:
        runs = [run for server in self._servers.values() for run in server.ledger]
        self._check_runs(runs)
        for result in self.results:
            self._check_result(result, runs)

    def _check_runs(self, runs) -> None:
        for key in self.keys:
            count = sum(run.key == key for run in runs)
            if count > 1:
                self.faults.append(f"seed {self.seed}: key {key} ran {count} times")
        for run in runs:
            waited = run.at - self._accepted[run.attempt]
            if waited > LATEST_START_SECONDS:
                self.faults.append(f"seed {self.seed}: {run} started after {waited:.1f} s")

    def _check_result(self, result, runs) -> None:
        attempt_ran = any(run.attempt == result.attempt for run in runs)
        key_had_run = any(run.key == result.key and run.at < result.at for run in runs)
        is_false = (
            (result.outcome in (Outcome.NOT_RUN, Outcome.ATTEMPT_NOT_RUN) and attempt_ran)
            or (result.outcome is Outcome.NOT_RUN and key_had_run)
            or (result.outcome is Outcome.RAN and not key_had_run)
        )
        if is_false:
            self.faults.append(f"seed {self.seed}: {result} is false")

    def count_run_keys(self) -> int:
        """Count the keys that ran."""
        runs = {run.key for server in self._servers.values() for run in server.ledger}
        return len(runs)
