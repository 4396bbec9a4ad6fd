"""Subject: one or several daemons of an availability zone under load, without a network."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

from dotterelgate_border.datagrams import LoadUpdate
from dotterelgate_core import messages
from dotterelgate_core.control_messages import Probe
from dotterelgate_core.hedging.second_attempts import TickAt
from dotterelgate_core.owners import select_listeners
from dotterelgate_core.slots import (
    DenySlot,
    GrantSlot,
    QueueSlot,
    RequestSlot,
    SlotDenied,
    SlotGranted,
    SlotQueued,
    SlotRequested,
    SlotWithdrawn,
    WithdrawSlot,
)
from dotterelgate_daemon.mesh import build_load_entry, read_load_update
from subjects.noisy import CROWDED_FACTOR, NOISE_SHARE, NoisyServer
from subjects.store_daemon import ZONE, StoreDaemon

STEP_SECONDS = 0.002
TICK_STEPS = 10
HEARTBEAT_STEPS = 120
# From a load change at one daemon until its peers receive it.
LOAD_UPDATE_SECONDS = 0.002
# One-way delay between daemons of the zone.
PEER_NETWORK_SECONDS = 0.001
# One-way delay between a daemon and a backend server.
SERVER_NETWORK_SECONDS = 0.001
# Call ids are unique over all daemons.
CALL_IDS_PER_DAEMON = 100_000
# From a caller to a daemon and back again.
CALLER_ROUND_TRIP_SECONDS = 0.016
TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0


@dataclass(kw_only=True)
class CallerRequest:
    """One caller's request, over all its attempts."""

    first_sent_at: float
    attempts: int = 0
    credential: bytes = b""


@dataclass(kw_only=True)
class ZoneLoad:
    """Callers, daemons and backend servers of one service in one zone.

    :param rate: requests a second, as a function of the second
    :param caller_retries: how often a refused caller retries, each time as advised
    :param noise_share: share of the time in which neighbours slow a backend server
    :param crowded_factor: slowdown of a backend server that is nearly full
    :param tail_share: share of the requests that take far longer than the rest
    :param tick_steps: steps between the ticks of a daemon
    :param organisations: organisations of the configuration, ``None`` for none
    :param loss: share of the datagrams between daemons that are lost
    """

    policy: str
    seed: int
    rate: object
    daemons: int = 6
    servers: int = 6
    slots: int = 3
    work: float = 0.08
    target: float = 0.25
    limit: float = 1.0
    seconds: float = 12.0
    caller_retries: int = 1
    loss: float = 0.0
    noise_share: float = NOISE_SHARE
    crowded_factor: float = CROWDED_FACTOR
    tail_share: float = TAIL_SHARE
    tick_steps: int = TICK_STEPS
    organisations: tuple | None = None
    in_target: int = 0
    late: int = 0
    refused: int = 0
    lost: int = 0
    requests: int = 0
    queued_at_server: int = 0
    refusal_seconds: list[float] = field(default_factory=list)
    ran: set = field(default_factory=set)
    refused_not_run: set = field(default_factory=set)

    def run(self) -> ZoneLoad:
        """Run the load to its end."""
        self._random = random.Random(self.seed)
        self._events: list[tuple[float, int, object]] = []
        self._sequence = itertools.count()
        self._daemons = [self._build_daemon(n) for n in range(self.daemons)]
        self._servers = {
            f"i-{n}": NoisyServer(
                f"i-{n}",
                self.slots,
                random.Random(self.seed * 100 + n),
                noise_share=self.noise_share,
                crowded_factor=self.crowded_factor,
            )
            for n in range(self.servers)
        }
        for daemon in self._daemons:
            daemon.configure(
                target=self.target, timeout=self.limit, organisations=self.organisations
            )
            for offset, name in enumerate(self._servers):
                zone = self._find_server_zone(offset)
                daemon.register(name, offset=offset, slots=self.slots, zone=zone)
        self._calls: dict[tuple[int, int], CallerRequest] = {}
        # By the id of the daemon, the id of the call and the backend server.
        self._dispatched: set[tuple[int, int, str]] = set()
        self.now = begin = self._daemons[0].now
        step = 0
        while self.now - begin < self.seconds + self.limit:
            self._run_step(step, self.now - begin)
            step += 1
            self.now += STEP_SECONDS
            for daemon in self._daemons:
                daemon.now = self.now
        return self

    def compute_useful_share(self) -> float:
        """Return the share of useful answers; a late one counts a tenth."""
        return (self.in_target + 0.1 * self.late) / max(1, self.requests)

    def _build_daemon(self, number: int) -> StoreDaemon:
        seed = self.seed * 50 + number
        return StoreDaemon(seed=seed, policy=self.policy, name=f"front-{number}")

    def _find_server_zone(self, _number: int) -> str:
        return ZONE

    def _run_step(self, step: int, second: float) -> None:
        while self._events and self._events[0][0] <= self.now:
            heapq.heappop(self._events)[2]()
        for server in self._servers.values():
            for key in server.step(self.now):
                self._schedule(
                    SERVER_NETWORK_SECONDS, lambda key=key, server=server: self._end(key, server)
                )
        for number, daemon in enumerate(self._daemons):
            if (step + number) % self.tick_steps == 0:
                self._carry_out(daemon, daemon.tick())
            if (step + number) % HEARTBEAT_STEPS == 0:
                self._send_heartbeat(daemon)
            self._announce_loads(daemon)
        if second < self.seconds:
            expected = self.rate(second) * STEP_SECONDS
            for _ in range(int(expected) + (self._random.random() < expected % 1)):
                self.requests += 1
                self._send_request(self._build_request(second))

    def _build_request(self, _second: float) -> CallerRequest:
        return CallerRequest(first_sent_at=self.now)

    def _schedule(self, delay: float, call: object) -> None:
        heapq.heappush(self._events, (self.now + delay, next(self._sequence), call))

    def _send_request(self, request: CallerRequest) -> None:
        daemon = self._random.choice(self._daemons)
        request.attempts += 1
        daemon.next_id = daemon.next_id or CALL_IDS_PER_DAEMON * (1 + self._daemons.index(daemon))
        self._calls[(id(daemon), daemon.next_id + 1)] = request
        remaining = self.limit - (self.now - request.first_sent_at)
        if remaining <= 0.0:
            self.lost += 1
            return
        _, orders = daemon.arrive(timeout=remaining, credential=request.credential)
        self._carry_out(daemon, orders)

    def _send_heartbeat(self, daemon: StoreDaemon) -> None:
        counts = {
            name: each.in_flight
            for name, each in daemon.state.servers.states.items()
            if each.in_flight
        }
        for other in self._daemons:
            if other is not daemon:
                other.receive_heartbeat(daemon.state.name, in_flight=counts)

    def _announce_loads(self, daemon: StoreDaemon) -> None:
        table = daemon.state.servers
        names = table.changed | table.sampled
        if not names:
            return
        loads = [build_load_entry(table.states[name], self.now) for name in names]
        table.changed.clear()
        table.sampled.clear()
        update = LoadUpdate(sender=daemon.state.name, incarnation="a", loads=loads)
        self._schedule(LOAD_UPDATE_SECONDS, lambda: self._deliver_loads(daemon, update))

    def _deliver_loads(self, daemon: StoreDaemon, update: LoadUpdate) -> None:
        for name in select_listeners(daemon.state, "s", self.now):
            other = self._find(name)
            if other is not None and not self._is_lost():
                self._carry_out(other, other.run_control(read_load_update(update, self.now)))

    def _is_lost(self) -> bool:
        return self.loss > 0.0 and self._random.random() < self.loss

    def _find(self, name: str) -> StoreDaemon | None:
        return next((each for each in self._daemons if each.state.name == name), None)

    def _send_datagram(self, daemon: StoreDaemon, order: object) -> None:
        name, message = address_order(daemon.state.name, order, self.now + PEER_NETWORK_SECONDS)
        other = self._find(name)
        if other is not None and not self._is_lost():
            self._schedule(PEER_NETWORK_SECONDS, lambda: self._carry_out(other, other.run(message)))

    def _carry_out(self, daemon: StoreDaemon, orders: list) -> None:
        for order in orders:
            if isinstance(order, messages.SlotFreed):
                self._carry_out(daemon, daemon.run(order))
            elif isinstance(order, messages.Dispatch):
                self.ran.add((id(daemon), order.call_id))
                key = (id(daemon), order.call_id, order.server.name)
                self._dispatched.add(key)
                self._schedule(
                    SERVER_NETWORK_SECONDS,
                    lambda key=key, name=order.server.name: self._start(key, name),
                )
            elif isinstance(order, messages.Relay):
                self._count_answer(self._calls[(id(daemon), order.call_id)])
            elif isinstance(order, messages.RefuseCall):
                self._count_refusal((id(daemon), order.call_id), order)
            elif isinstance(order, messages.Cancel):
                self._cancel((id(daemon), order.call_id, order.server))
            elif isinstance(order, TickAt):
                self._schedule(order.at - self.now, lambda: self._tick(daemon))
            elif isinstance(order, (RequestSlot, WithdrawSlot, GrantSlot, QueueSlot, DenySlot)):
                self._send_datagram(daemon, order)
            elif isinstance(order, Probe):
                self._schedule(
                    2 * SERVER_NETWORK_SECONDS,
                    lambda name=order.server.name: self._end_probe(daemon, name),
                )

    def _tick(self, daemon: StoreDaemon) -> None:
        self._carry_out(daemon, daemon.run(messages.Ticked(now=self.now)))

    def _start(self, key: tuple, name: str) -> None:
        if key not in self._dispatched:
            return
        server = self._servers[name]
        self.queued_at_server += len(server.running) >= server.slots
        server.start(key, self.now, work=self.work * self._draw_tail(key))

    def _draw_tail(self, _key: tuple) -> float:
        return TAIL_FACTOR if self._random.random() < self.tail_share else 1.0

    def _end(self, key: tuple, server: NoisyServer) -> None:
        if key not in self._dispatched:
            return
        self._dispatched.remove(key)
        daemon = next((each for each in self._daemons if id(each) == key[0]), None)
        if daemon is not None:
            self._carry_out(daemon, self._answer(daemon, key[1], server))

    def _answer(self, daemon: StoreDaemon, call_id: int, server: NoisyServer) -> list:
        return daemon.answer(call_id, server.name, load=server.report())

    def _cancel(self, key: tuple) -> None:
        if key in self._dispatched:
            self._dispatched.remove(key)
            server = self._servers[key[2]]
            server.running.pop(key, None)
            if key in server.queue:
                server.queue.remove(key)

    def _end_probe(self, daemon: StoreDaemon, name: str) -> None:
        probe_ended = self._servers[name].answer_probe(self.now)
        self._carry_out(daemon, daemon.run_control(probe_ended))

    def _count_answer(self, request: CallerRequest) -> None:
        if self.now - request.first_sent_at + CALLER_ROUND_TRIP_SECONDS <= self.target:
            self.in_target += 1
        else:
            self.late += 1

    def _count_refusal(self, key: tuple, order: messages.RefuseCall) -> None:
        request = self._calls[key]
        if order.refusal.outcome.value != "not-run":
            self.lost += 1
            return
        self.refused_not_run.add(key)
        self.refusal_seconds.append(self.now - request.first_sent_at)
        advice = order.refusal.retry_after
        if advice is None or request.attempts > self.caller_retries:
            self.refused += 1
            return
        self._schedule(advice + CALLER_ROUND_TRIP_SECONDS, lambda: self._send_request(request))


def address_order(sender: str, order: object, now: float) -> tuple[str, object]:
    """Turn an order about slots into the message that the other daemon receives.

    :returns: name of the receiver, and the message
    """
    if isinstance(order, RequestSlot):
        requested = SlotRequested(now=now, wall=now, requester=sender, request=order.request)
        return order.owner, requested
    if isinstance(order, WithdrawSlot):
        return order.owner, SlotWithdrawn(now=now, call_id=order.call_id)
    if isinstance(order, GrantSlot):
        granted = SlotGranted(now=now, owner=sender, call_id=order.call_id, grant=order.grant)
        return order.requester, granted
    if isinstance(order, QueueSlot):
        return order.requester, SlotQueued(now=now, call_id=order.call_id)
    assert isinstance(order, DenySlot)
    return order.requester, SlotDenied(now=now, call_id=order.call_id, refusal=order.refusal)
