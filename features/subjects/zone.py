"""Subject: one or several daemons of an availability zone under load, without a network."""

from __future__ import annotations

import heapq
import itertools
import random
from dataclasses import dataclass, field

from dotterelgate_border.datagrams import LoadUpdate
from dotterelgate_core import messages
from dotterelgate_core.control_messages import Probe
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
from subjects.front import Front
from subjects.noisy import CROWDED_FACTOR, NOISE_SHARE, Noisy

STEP_SECONDS = 0.002
TICK_STEPS = 10
BEAT_STEPS = 120
# From a load change at one daemon until its peers receive it.
NEWS_SECONDS = 0.002
# One-way delay between daemons of the zone.
ASK_SECONDS = 0.001
# One-way delay between a daemon and a backend server.
WAY_SECONDS = 0.001
# Call ids are unique over all daemons.
IDS_APART = 100_000
# From a caller to a daemon and back again.
CALLER_WAY_SECONDS = 0.016
TAIL_SHARE = 0.03
TAIL_FACTOR = 7.0


@dataclass(kw_only=True)
class Asked:
    """One caller's request, over all its attempts."""

    first: float
    tries: int = 0


@dataclass(kw_only=True)
class ZoneCrowd:
    """Callers, daemons and backend servers of one service in one zone.

    :param rate: requests a second, as a function of the second
    :param returns: how often a refused caller retries, each time as advised
    :param noise_share: share of the time in which neighbours slow a backend server
    :param crowded_factor: slowdown of a backend server that is nearly full
    :param tail_share: share of the requests that take far longer than the rest
    :param tick_steps: steps between the ticks of a daemon
    :param loss: share of the datagrams between daemons that are lost
    """

    policy: str
    seed: int
    rate: object
    fronts: int = 6
    servers: int = 6
    slots: int = 3
    work: float = 0.08
    target: float = 0.25
    limit: float = 1.0
    seconds: float = 12.0
    returns: int = 1
    loss: float = 0.0
    noise_share: float = NOISE_SHARE
    crowded_factor: float = CROWDED_FACTOR
    tail_share: float = TAIL_SHARE
    tick_steps: int = TICK_STEPS
    in_target: int = 0
    late: int = 0
    refused: int = 0
    lost: int = 0
    asked: int = 0
    queued_at_server: int = 0
    refusal_seconds: list[float] = field(default_factory=list)
    ran: set = field(default_factory=set)
    told_not_run: set = field(default_factory=set)

    def run(self) -> ZoneCrowd:
        """Run the load to its end."""
        self._random = random.Random(self.seed)
        self._later: list[tuple[float, int, object]] = []
        self._order = itertools.count()
        self._fronts = [
            Front(seed=self.seed * 50 + n, policy=self.policy, name=f"front-{n}")
            for n in range(self.fronts)
        ]
        self._servers = {
            f"i-{n}": Noisy(
                f"i-{n}",
                self.slots,
                random.Random(self.seed * 100 + n),
                noise_share=self.noise_share,
                crowded_factor=self.crowded_factor,
            )
            for n in range(self.servers)
        }
        for front in self._fronts:
            front.configure(target=self.target, timeout=self.limit)
            for offset, name in enumerate(self._servers):
                front.register(name, offset=offset, slots=self.slots)
        self._calls: dict[tuple[int, int], Asked] = {}
        self._at: dict[tuple[int, int], str] = {}
        self.now = begin = self._fronts[0].now
        step = 0
        while self.now - begin < self.seconds + self.limit:
            self._run_step(step, self.now - begin)
            step += 1
            self.now += STEP_SECONDS
            for front in self._fronts:
                front.now = self.now
        return self

    def count_worth(self) -> float:
        """Return the share of useful answers; a late one counts a tenth."""
        return (self.in_target + 0.1 * self.late) / max(1, self.asked)

    def _run_step(self, step: int, second: float) -> None:
        while self._later and self._later[0][0] <= self.now:
            heapq.heappop(self._later)[2]()
        for server in self._servers.values():
            for key in server.step(self.now):
                self._call_later(WAY_SECONDS, lambda key=key, server=server: self._end(key, server))
        for number, front in enumerate(self._fronts):
            if (step + number) % self.tick_steps == 0:
                self._take(front, front.tick())
            if (step + number) % BEAT_STEPS == 0:
                self._beat(front)
            self._tell_changes(front)
        if second < self.seconds:
            expected = self.rate(second) * STEP_SECONDS
            for _ in range(int(expected) + (self._random.random() < expected % 1)):
                self.asked += 1
                self._ask(Asked(first=self.now))

    def _call_later(self, delay: float, call: object) -> None:
        heapq.heappush(self._later, (self.now + delay, next(self._order), call))

    def _ask(self, asked: Asked) -> None:
        front = self._random.choice(self._fronts)
        asked.tries += 1
        front.next_id = front.next_id or IDS_APART * (1 + self._fronts.index(front))
        self._calls[(id(front), front.next_id + 1)] = asked
        left = self.limit - (self.now - asked.first)
        if left <= 0.0:
            self.lost += 1
            return
        _, orders = front.arrive(timeout=left)
        self._take(front, orders)

    def _beat(self, front: Front) -> None:
        counts = {
            name: each.in_flight
            for name, each in front.state.servers.states.items()
            if each.in_flight
        }
        for other in self._fronts:
            if other is not front:
                other.hear_peer(front.state.name, in_flight=counts)

    def _tell_changes(self, front: Front) -> None:
        table = front.state.servers
        names = table.changed | table.sampled
        if not names:
            return
        loads = [build_load_entry(table.states[name], self.now) for name in names]
        table.changed.clear()
        table.sampled.clear()
        update = LoadUpdate(sender=front.state.name, incarnation="a", loads=loads)
        self._call_later(NEWS_SECONDS, lambda: self._spread(front, update))

    def _spread(self, front: Front, update: LoadUpdate) -> None:
        for name in select_listeners(front.state, "s", self.now):
            other = self._find(name)
            if other is not None and not self._is_lost():
                self._take(other, other.tell(read_load_update(update, self.now)))

    def _is_lost(self) -> bool:
        return self.loss > 0.0 and self._random.random() < self.loss

    def _find(self, name: str) -> Front | None:
        return next((each for each in self._fronts if each.state.name == name), None)

    def _send(self, front: Front, order: object) -> None:
        name, message = address_order(front.state.name, order, self.now + ASK_SECONDS)
        other = self._find(name)
        if other is not None and not self._is_lost():
            self._call_later(ASK_SECONDS, lambda: self._take(other, other.run(message)))

    def _take(self, front: Front, orders: list) -> None:
        for order in orders:
            if isinstance(order, messages.SlotFreed):
                self._take(front, front.run(order))
            elif isinstance(order, messages.Dispatch):
                key = (id(front), order.call_id)
                self.ran.add(key)
                self._at[key] = order.server.name
                self._call_later(
                    WAY_SECONDS, lambda key=key, name=order.server.name: self._start(key, name)
                )
            elif isinstance(order, messages.Relay):
                self._count_answer(self._calls[(id(front), order.call_id)])
            elif isinstance(order, messages.RefuseCall):
                self._count_refusal((id(front), order.call_id), order)
            elif isinstance(order, messages.Cancel):
                self._cancel((id(front), order.call_id))
            elif isinstance(order, (RequestSlot, WithdrawSlot, GrantSlot, QueueSlot, DenySlot)):
                self._send(front, order)
            elif isinstance(order, Probe):
                self._call_later(
                    2 * WAY_SECONDS, lambda name=order.server.name: self._probed(front, name)
                )

    def _start(self, key: tuple, name: str) -> None:
        if key not in self._at:
            return
        server = self._servers[name]
        self.queued_at_server += len(server.running) >= server.slots
        tail = TAIL_FACTOR if self._random.random() < self.tail_share else 1.0
        server.start(key, self.now, work=self.work * tail)

    def _end(self, key: tuple, server: Noisy) -> None:
        if self._at.pop(key, None) is None:
            return
        front = next(each for each in self._fronts if id(each) == key[0])
        self._take(front, front.answer(key[1], server.name, load=server.report()))

    def _cancel(self, key: tuple) -> None:
        name = self._at.pop(key, None)
        if name is not None:
            server = self._servers[name]
            server.running.pop(key, None)
            if key in server.queue:
                server.queue.remove(key)

    def _probed(self, front: Front, name: str) -> None:
        answered = self._servers[name].answer_probe(self.now)
        self._take(front, front.tell(answered))

    def _count_answer(self, asked: Asked) -> None:
        if self.now - asked.first + CALLER_WAY_SECONDS <= self.target:
            self.in_target += 1
        else:
            self.late += 1

    def _count_refusal(self, key: tuple, order: messages.RefuseCall) -> None:
        asked = self._calls[key]
        if order.refusal.outcome.value != "not-run":
            self.lost += 1
            return
        self.told_not_run.add(key)
        self.refusal_seconds.append(self.now - asked.first)
        advice = order.refusal.retry_after
        if advice is None or asked.tries > self.returns:
            self.refused += 1
            return
        self._call_later(advice + CALLER_WAY_SECONDS, lambda: self._ask(asked))


def address_order(sender: str, order: object, now: float) -> tuple[str, object]:
    """Turn an order about slots into the message that the other daemon receives.

    :returns: name of the receiver, and the message
    """
    if isinstance(order, RequestSlot):
        asked = SlotRequested(now=now, wall=now, requester=sender, request=order.request)
        return order.owner, asked
    if isinstance(order, WithdrawSlot):
        return order.owner, SlotWithdrawn(now=now, call_id=order.call_id)
    if isinstance(order, GrantSlot):
        granted = SlotGranted(now=now, owner=sender, call_id=order.call_id, grant=order.grant)
        return order.requester, granted
    if isinstance(order, QueueSlot):
        return order.requester, SlotQueued(now=now, call_id=order.call_id)
    assert isinstance(order, DenySlot)
    return order.requester, SlotDenied(now=now, call_id=order.call_id, refusal=order.refusal)
