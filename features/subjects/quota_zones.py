"""Subject: daemons of several zones that share the quotas of organisations, on a fake clock."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import defaultdict
from dataclasses import dataclass, field

from dotterelgate_border.datagrams import decode_datagram, encode_datagram
from dotterelgate_core import messages
from dotterelgate_core.allowances.messages import BorrowTokens, LendTokens, ReturnTokens
from dotterelgate_core.configuration import BackendServer, Configuration, Organisation
from dotterelgate_core.heartbeats import HEARTBEAT_SECONDS, plan_heartbeats
from dotterelgate_core.store_control import ConfigurationStored
from dotterelgate_daemon.quota_exchange import (
    build_grant,
    build_request,
    read_grant,
    read_request,
)
from subjects.store_daemon import StoreDaemon

WINDOW_SECONDS = 5.0
TICK_SECONDS = 0.02
IDLE_TICKS = 3
TIME_LIMIT_SECONDS = 2.0
CALL_IDS_PER_DAEMON = 1_000_000
RANK_EXPONENT = 1.2
QUOTA_FACTOR = 1.6


def rank_organisations(count, total):
    """Build organisations whose usual rates fall with their rank and sum to a total."""
    shares = [rank**-RANK_EXPONENT for rank in range(1, count + 1)]
    rates = [QUOTA_FACTOR * total * share / sum(shares) for share in shares]
    return {f"o-{n}": (rate, max(5.0, rate)) for n, rate in enumerate(rates, 1)}


@dataclass(kw_only=True)
class QuotaZones:
    """Callers of organisations, and daemons that apply their quotas.

    :param quotas: rate and burst of each organisation
    :param load: requests a second of each organisation, relative to its rate
    :param loss: share of the datagrams between daemons that are lost
    :param first_call: second from which on callers send; buckets fill before
    :param choose_zone: the zone that callers reach at a second, ``None`` for any
    """

    quotas: dict[str, tuple[float, float]]
    load: dict[str, float]
    daemons: int = 125
    zones: int = 3
    seed: int = 1
    seconds: float = 8.0
    first_call: float = 1.0
    loss: float = 0.0
    choose_zone: object = lambda second: None  # noqa: E731
    arrivals: dict[str, list[float]] = field(default_factory=lambda: defaultdict(list))
    offered: dict[str, list[tuple[float, bool]]] = field(default_factory=lambda: defaultdict(list))
    retry_after: list[float] = field(default_factory=list)
    longest_wait: float = 0.0
    datagrams: int = 0
    remote_bytes: int = 0

    def __post_init__(self):
        self.random = random.Random(self.seed)
        self.now = self.begin = 100.0
        self._events = []
        self._sequence = itertools.count()
        self._calls = {}
        self._groups = {}
        self._stopped = set()
        names = [f"front-{n}" for n in range(self.daemons)]
        self.running = {name: self._build(name, names) for name in names}
        for name in names:
            self.add_server(name, "i-1")
            self._greet(name)
        for name in names:
            self.at(self.random.uniform(0, HEARTBEAT_SECONDS), lambda n=name: self._beat(n, 0))
            self.at(self.random.uniform(0, TICK_SECONDS), lambda n=name: self._tick(n, 0))
        for organisation in self.quotas:
            self._schedule_call(organisation, self.first_call)

    def at(self, second, call):
        """Call a function at a second of the run."""
        heapq.heappush(self._events, (self.begin + second, next(self._sequence), call))

    def run(self):
        """Run to the end, with time for the last calls."""
        while self._events and self._events[0][0] < self.begin + self.seconds + 0.5:
            self.now, _, call = heapq.heappop(self._events)
            call()
        return self

    def divide(self, groups):
        """Let only daemons of the same group reach each other; an empty table ends this."""
        self._groups = groups

    def divide_zones(self):
        """Cut all zones off from each other."""
        self.divide({name: self._find_zone(name) for name in self.running})

    def lower(self, share):
        """Lower all quotas to a share, and check what arrives from now on."""
        self.load = {name: load / share for name, load in self.load.items()}
        self.quotas = {name: (rate * share, b * share) for name, (rate, b) in self.quotas.items()}
        self.arrivals.clear()
        for daemon in self.running.values():
            self._configure(daemon, 3)

    def stop(self, name):
        """Let a daemon announce that it stops; it still has callers."""
        self.running[name].state.peers.leaving = True
        for other in self.running:
            if other != name and self._reaches(name, other):
                self._receive_heartbeat(other, name, HEARTBEAT_SECONDS)

    def kill(self, name):
        """End a daemon."""
        self._stopped.add(name)

    def restart(self, name):
        """Start a daemon anew, with what it can learn now."""
        self._stopped.discard(name)
        self.running[name] = self._build(name, list(self.running))
        self.add_server(name, "i-1")
        self._greet(name)

    def find_lender(self, organisation, zone=0):
        """Find the daemon that lends an organisation's tokens in a zone."""
        for name, daemon in self.running.items():
            lends = organisation in daemon.state.quotas.lent and name not in self._stopped
            if lends and self._find_zone(name) == f"zone-{zone}":
                return name
        raise AssertionError(f"no daemon lends tokens of {organisation}")

    def list_excess(self):
        """List the organisations of which more requests arrived in some window than may."""
        excess = []
        for name, times in self.arrivals.items():
            rate, burst = self.quotas[name]
            most = (rate * WINDOW_SECONDS + burst) * 1.1 + 20
            first = 0
            for last, at in enumerate(times):
                while times[first] <= at - WINDOW_SECONDS:
                    first += 1
                if last - first + 1 > most:
                    excess.append(f"{name}: {last - first + 1} of {most:.0f}")
                    break
        return excess

    def count_wrongly_refused(self):
        """Count by organisation the refused calls that a single bucket has a token for."""
        wrongly = {}
        for name, calls in self.offered.items():
            rate, burst = self.quotas[name]
            # The first lenders have no burst, as any successor.
            level, filled_at = 1.0, self.begin
            for at, passed in sorted(calls):
                level = min(max(1.0, burst), level + rate * (at - filled_at))
                filled_at = at
                fits = level >= 1.0
                level -= fits
                if fits and not passed:
                    wrongly[name] = wrongly.get(name, 0) + 1
        return wrongly

    def compute_use(self, organisation):
        """Compute the share of its rate and burst that an organisation got."""
        rate, burst = self.quotas[organisation]
        return len(self.arrivals[organisation]) / (rate * (self.seconds - self.first_call) + burst)

    def _find_zone(self, name):
        return f"zone-{int(name.partition('-')[2]) % self.zones}"

    def _build(self, name, names):
        daemon = StoreDaemon(name=name, seed=self.random.random())
        daemon.now = self.now
        daemon.state.zone = self._find_zone(name)
        daemon.state.quotas.view.entries = frozenset(names)
        daemon.next_id = (1 + names.index(name)) * CALL_IDS_PER_DAEMON + next(self._sequence)
        daemon.configure()
        self._configure(daemon, 2)
        return daemon

    def _configure(self, daemon, revision):
        organisations = tuple(
            Organisation(name=each, credentials=frozenset((each.encode(),)), rate=r, burst=b)
            for each, (r, b) in self.quotas.items()
        )
        plain = daemon.state.configuration.current
        configuration = Configuration(
            id=str(revision),
            revision=revision,
            services=plain.services,
            organisations=organisations,
        )
        daemon.run_control(
            ConfigurationStored(now=self.now, configuration=configuration, source="a test")
        )

    def _greet(self, name):
        for other in self.running:
            if other != name and self._reaches(name, other):
                self._receive_heartbeat(other, name, 0.0)
                self._receive_heartbeat(name, other, 0.0)

    def _reaches(self, sender, receiver):
        if self._stopped & {sender, receiver}:
            return False
        return self._groups.get(sender) == self._groups.get(receiver)

    def _send(self, sender, receiver, call):
        if self._reaches(sender, receiver) and self.random.random() >= self.loss:
            delay = self.random.uniform(0.0001, 0.003)
            later = self.now - self.begin + delay
            self.at(later, lambda: self._reaches(sender, receiver) and call())

    def _beat(self, name, number):
        self.at(self.now - self.begin + HEARTBEAT_SECONDS, lambda: self._beat(name, number + 1))
        if name in self._stopped:
            return
        for planned in plan_heartbeats(self.running[name].state, self.now, number):
            other = planned.peer.name
            self._send(
                name,
                other,
                lambda o=other, i=planned.interval: self._receive_heartbeat(o, name, i),
            )

    def _receive_heartbeat(self, name, sender, interval):
        daemon = self.running[name]
        daemon.now = self.now
        daemon.receive_heartbeat(sender, zone=self._find_zone(sender), interval=interval)
        is_leaving = self.running[sender].state.peers.leaving
        daemon.state.peers.listed[sender].leaving = is_leaving

    def _tick(self, name, number):
        self.at(self.now - self.begin + TICK_SECONDS, lambda: self._tick(name, number + 1))
        if name in self._stopped:
            return
        daemon = self.running[name]
        if number % IDLE_TICKS == 0 or daemon.state.calls.has_queued():
            self._carry_out(name, daemon.run(messages.Ticked(now=self.now)))

    def _schedule_call(self, organisation, second):
        rate = self.quotas[organisation][0] * self.load.get(organisation, self.load.get("all", 0))
        if rate and second < self.seconds:
            second += self.random.expovariate(rate)
            self.at(second, lambda: self._call(organisation, second))

    def _call(self, organisation, second):
        self._schedule_call(organisation, second)
        zone = self.choose_zone(second)
        names = [
            each
            for each in self.running
            if each not in self._stopped and zone in (None, self._find_zone(each))
        ]
        name = self.random.choice(names)
        self._carry_out(name, self.send(organisation, name))

    def send(self, organisation, name):
        """Let a call arrive at a daemon; returns the orders."""
        daemon = self.running[name]
        daemon.next_id += 1
        self._calls[daemon.next_id] = (organisation, self.now)
        call = messages.Call(
            id=daemon.next_id,
            method="GET",
            host="h",
            path="/read/x",
            timeout=TIME_LIMIT_SECONDS,
            credential=organisation.encode(),
        )
        return daemon.run(messages.CallArrived(now=self.now, wall=self.now, call=call))

    def add_server(self, name, server):
        """Let a daemon know a backend server."""
        added = BackendServer(name=server, address="10.0.0.9:1", slots=10**6, connections=9)
        self.running[name].state.servers.add_or_update("s", added)

    def _carry_out(self, name, orders):
        for order in orders:
            if isinstance(order, (BorrowTokens, ReturnTokens)):
                self._exchange(name, order.lender, build_request(name, order), read_request)
            elif isinstance(order, LendTokens):
                self._exchange(name, order.borrower, build_grant(name, order), read_grant)
            elif isinstance(order, messages.Dispatch):
                self._settle(order.call_id, is_passed=True)
                self._carry_out(name, self.running[name].answer(order.call_id, "i-1"))
            elif isinstance(order, messages.RefuseCall):
                assert order.refusal.code.number == 207, order
                self.retry_after.append(order.refusal.retry_after)
                self._settle(order.call_id, is_passed=False)

    def _exchange(self, sender, receiver, message, read):
        def receive():
            daemon = self.running[receiver]
            daemon.now = self.now
            self._carry_out(receiver, daemon.run(read(decode_datagram(data), self.now)))

        data = encode_datagram(message)
        self.datagrams += 1
        if self._find_zone(sender) != self._find_zone(receiver):
            self.remote_bytes += len(data)
        self._send(sender, receiver, receive)

    def _settle(self, call_id, *, is_passed):
        organisation, begun = self._calls.pop(call_id)
        self.longest_wait = max(self.longest_wait, self.now - begun)
        self.offered[organisation].append((begun, is_passed))
        if is_passed:
            self.arrivals[organisation].append(self.now)
