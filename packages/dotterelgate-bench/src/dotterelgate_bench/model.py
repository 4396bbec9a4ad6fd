"""Simulates daemons, backend servers, log and network on a fake clock."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from dotterelgate_core import codes, messages
from dotterelgate_core.chain import Link
from dotterelgate_core.codes import Refusal
from dotterelgate_core.control import CONFIGURATION_RESOURCE, make_control_pipeline
from dotterelgate_core.control_messages import (
    AppendClaims,
    ControlTicked,
    GrantRead,
    LogRead,
    LogReadStarted,
    PublicationRead,
)
from dotterelgate_core.engine import make_request_pipeline
from dotterelgate_core.keys import KeyTable
from dotterelgate_core.leases import LeaseTable
from dotterelgate_core.messages import Call, Purpose, ServerReport
from dotterelgate_core.peers import Peer, PeerTable
from dotterelgate_core.probing import MEASURING_RESOURCES
from dotterelgate_core.state import DaemonState, Limits, LogPosition

if TYPE_CHECKING:
    from collections.abc import Callable
    from random import Random

    from dotterelgate_bench.clock import FakeClock
    from dotterelgate_core.configuration import Configuration
    from dotterelgate_core.policies import Policy

    Reply = Callable[[Refusal | None, object | None], None]

__all__ = ["ModelDaemon", "ModelLog", "ModelServer", "Network", "Run"]

TICK_SECONDS = 0.02
SILENCE_SECONDS = 0.8  # grace period for a missing answer or an unreachable peer


@dataclass(frozen=True, kw_only=True, slots=True)
class Run:
    """One execution of a request in a backend server's ledger."""

    at: float
    key: str | None
    attempt: str


@dataclass(kw_only=True)
class ModelServer:
    """Backend server with slots and a first-in, first-out queue.

    :param draw: draws the seconds that a request takes if it starts now
    :param enforces_fence: whether it refuses requests that would start after their fence
    """

    clock: FakeClock
    slots: int
    draw: Callable[[ModelServer, Call], float]
    enforces_fence: bool = True
    busy: int = 0
    waiting: deque[Callable[[], None]] = field(default_factory=deque)
    ledger: list[Run] = field(default_factory=list)
    used_seconds: float = 0.0

    def submit(
        self, call: Call, fence: float | None, attempt: str, done: Callable[[bool], None]
    ) -> Callable[[], None]:
        """Start or queue a request; ``done`` gets whether it ran. Returns its cancel function."""
        is_wanted = [True]

        def cancel() -> None:
            is_wanted[0] = False

        def start() -> None:
            if not is_wanted[0]:
                self._start_next()
                return
            if self.enforces_fence and fence is not None and self.clock.now > fence:
                done(False)
                self._start_next()
                return
            self.ledger.append(Run(at=self.clock.now, key=call.key, attempt=attempt))
            seconds = self.draw(self, call)
            self.used_seconds += seconds
            self.clock.schedule(seconds, finish)

        def finish() -> None:
            done(True)
            self._start_next()

        self.start_or_queue(start)
        return cancel

    def start_or_queue(self, start: Callable[[], None]) -> None:
        """Start now, or queue until a slot is free."""
        if self.busy < self.slots:
            self.busy += 1
            start()
        else:
            self.waiting.append(start)

    def _start_next(self) -> None:
        self.busy -= 1
        if self.waiting:
            self.busy += 1
            self.waiting.popleft()()

    def count_requests(self) -> int:
        """Count the running and queued requests."""
        return self.busy + len(self.waiting)


@dataclass(kw_only=True)
class ModelLog:
    """Append-only log with limited retention and outages.

    :param retention: number of records that are retained
    """

    clock: FakeClock
    retention: int = 10_000
    is_down: bool = False
    records: list[Any] = field(default_factory=list)

    @property
    def oldest(self) -> int:
        """Oldest offset that is retained."""
        return max(0, len(self.records) - self.retention)

    def append(self, record: Any) -> bool:
        """Append a record unless the log is down."""
        if self.is_down:
            return False
        self.records.append(record)
        return True


@dataclass(kw_only=True)
class Network:
    """Network with random delays; pairs in ``partitions`` cannot reach each other."""

    clock: FakeClock
    random: Random
    delay: float = 0.0004
    partitions: set[frozenset[str]] = field(default_factory=set)

    def send(self, source: str, target: str, deliver: Callable[[], None]) -> None:
        """Deliver after a delay unless the two cannot reach each other."""
        if frozenset((source, target)) not in self.partitions:
            self.clock.schedule(self.delay * self.random.uniform(0.8, 1.5), deliver)


@dataclass(kw_only=True)
class _Pending:
    call: Call
    attempt: str
    reply: Reply
    cancel: Callable[[], None] | None = None
    handed: int = 0


class ModelDaemon:
    """The decision pipelines of one daemon on the fake clock.

    :param skew: seconds by which its wall clock is ahead of the true time
    :param policies: policies besides the built-in ones
    """

    def __init__(
        self,
        *,
        name: str,
        run: int,
        clock: FakeClock,
        network: Network,
        log: ModelLog,
        servers: dict[str, ModelServer],
        random: Random,
        key_ranges: int = 4,
        lease_length: float = 5.0,
        key_retention: float = 60.0,
        clock_error: float = 0.25,
        skew: float = 0.0,
        policies: dict[str, Policy] | None = None,
    ) -> None:
        self.name = name
        self.incarnation = f"{name}.{run}"
        self.clock = clock
        self.network = network
        self.log = log
        self.servers = servers
        self.random = random
        self.skew = skew
        self.peers: dict[str, ModelDaemon] = {}
        self.is_frozen = False
        self.is_dead = False
        self.freeze_before_orders: Callable[[Any], bool] = lambda orders: False
        self.decisions = 0
        self._inbox: deque[Callable[[], None]] = deque()
        self._pending: dict[int, _Pending] = {}
        self._next_id = run * 1_000_000
        self._read_to: int | None = None
        self.state = DaemonState(
            name=name,
            limits=Limits(key_ranges=key_ranges, clock_error=clock_error),
            peers=PeerTable(name=name),
            leases=LeaseTable(
                holder=name, incarnation=self.incarnation, address="", length=lease_length
            ),
            keys=KeyTable(retention=key_retention, limit=100_000),
        )
        self.position = LogPosition(confirm_interval=60.0)
        keys = [f"keys/{number}" for number in range(key_ranges)]
        resources = [*keys, *MEASURING_RESOURCES, CONFIGURATION_RESOURCE]
        self._control = make_control_pipeline(self.state, self.position, resources)
        self._decide = make_request_pipeline(self.state, random, policies)
        self.sinks: dict[type, Callable[[Any], None]] = {
            messages.Dispatch: self._dispatch,
            messages.Forward: self._forward,
            messages.Cancel: self._cancel,
            messages.Relay: lambda order: self._answer(order.call_id, None, "answer"),
            messages.Replay: lambda order: self._answer(order.call_id, None, order.stored_answer),
            messages.RefuseCall: self._refuse,
            messages.ReleaseCall: self._release,
            AppendClaims: self._append_claims,
        }

    def start(self, *, tick: float = TICK_SECONDS, poll: float | None = None) -> None:
        """Start the ticks and, if ``poll`` is given, read the log every ``poll`` seconds."""
        self.clock.repeat(tick, lambda: self.receive(self._tick))
        if poll is not None:
            self.clock.repeat(poll, lambda: self.receive(self.poll))

    def add_peers(self, others: list[ModelDaemon]) -> None:
        """Add other daemons as peers."""
        for other in others:
            if other.name != self.name:
                self.peers[other.name] = other
                self.state.peers.listed[other.name] = Peer(name=other.name, address="")

    def configure(self, configuration: Configuration) -> None:
        """Put a configuration in force."""
        link = Link(
            id=configuration.id,
            previous=None,
            offset=0,
            read_to=0,
            oldest=0,
            body=configuration,
        )
        self.state.configuration.chain.begin(start=0)
        self.run_control(PublicationRead(now=self.clock.now, link=link))

    def receive(self, work: Callable[[], None]) -> None:
        """Do work at once, after the freeze, or never if the daemon is dead."""
        if self.is_dead:
            return
        if self.is_frozen:
            self._inbox.append(work)
        else:
            work()

    def thaw(self) -> None:
        """End a freeze and process what arrived during it."""
        self.is_frozen = False
        while self._inbox and not self.is_frozen:
            self._inbox.popleft()()

    def call(self, call_fields: dict[str, Any], attempt: str, reply: Reply) -> int:
        """Accept a request from a caller or a peer; returns its call id on this daemon."""
        self._next_id += 1
        call = Call(id=self._next_id, **call_fields)
        self._pending[call.id] = _Pending(call=call, attempt=attempt, reply=reply)
        self._run(messages.CallArrived(now=self.clock.now, wall=self.wall(), call=call))
        return call.id

    def note_disconnect(self, call_id: int) -> None:
        """Note that the caller disconnected."""
        self._run(messages.CallerDisconnected(now=self.clock.now, call_id=call_id))

    def wall(self) -> float:
        """Return the time of this daemon's wall clock."""
        return self.clock.now + self.skew

    def poll(self) -> None:
        """Read the log, then run the control tick."""
        if not self.log.is_down:
            self._read_log()
        self.run_control(ControlTicked(now=self.clock.now, wall=self.wall()))

    def _tick(self) -> None:
        for name, peer in self.peers.items():
            if not (peer.is_dead or peer.is_frozen or self._is_cut_off(peer)):
                self.state.peers.note_heartbeat(name, peer.incarnation, self.clock.now)
        self._run(messages.Ticked(now=self.clock.now))

    def _read_log(self) -> None:
        oldest = self.log.oldest
        if self._read_to is None or oldest > self._read_to:
            self.run_control(LogReadStarted(now=self.clock.now, start=oldest))
            self._read_to = oldest
        for offset in range(self._read_to, len(self.log.records)):
            for claim, read_to, seen_oldest in self.log.records[offset]:
                link = Link(
                    id=claim.id,
                    previous=claim.previous,
                    offset=offset,
                    read_to=read_to,
                    oldest=seen_oldest,
                    body=claim.grant,
                )
                self.run_control(GrantRead(now=self.clock.now, link=link))
        self._read_to = len(self.log.records)
        read = LogRead(now=self.clock.now, read_to=self._read_to, oldest=oldest)
        self.run_control(read)

    def _run(self, message: Any) -> None:
        self.decisions += 1
        self._execute(self._decide(message))

    def run_control(self, message: Any) -> None:
        """Run a message through the control pipeline."""
        self._execute(self._control(message))

    def _execute(self, orders: Any) -> None:
        def act() -> None:
            for order in orders:
                sink = self.sinks.get(type(order))
                if sink is not None:
                    sink(order)

        if orders and self.freeze_before_orders(orders):
            self._inbox.appendleft(act)
            return
        act()

    def _append_claims(self, order: AppendClaims) -> None:
        record = [(claim, order.read_to, order.oldest) for claim in order.claims]
        delay = self.network.delay * self.random.uniform(1, 20)

        def append() -> None:
            self.log.append(record)

        self.clock.schedule(delay, append)

    def _dispatch(self, order: messages.Dispatch) -> None:
        pending = self._pending.get(order.call_id)
        server = self.servers[order.server.name]
        name = order.server.name
        assert pending is not None
        cancelled = [False]

        def answer(ran: bool) -> None:
            report = ServerReport(in_flight=server.count_requests())
            if not cancelled[0]:
                self._receive_from(
                    name,
                    lambda: messages.ServerAnswered(
                        now=self.clock.now,
                        wall=self.wall(),
                        call_id=order.call_id,
                        server=name,
                        status=200,
                        ran=ran,
                        report=report,
                        stored_answer="answer",
                    ),
                )

        def submit() -> None:
            cancel_on_server = server.submit(pending.call, order.fence, pending.attempt, answer)

            def cancel() -> None:
                cancelled[0] = True
                self.network.send(self.name, name, cancel_on_server)

            pending.cancel = cancel

        self.network.send(self.name, name, submit)
        self.clock.schedule(
            order.deadline - self.clock.now + SILENCE_SECONDS,
            lambda: self.receive(lambda: self._note_lost_answer(order.call_id, name)),
        )

    def _receive_from(self, source: str, build: Callable[[], Any]) -> None:
        def deliver() -> None:
            self.receive(lambda: self._run(build()))

        self.network.send(source, self.name, deliver)

    def _note_lost_answer(self, call_id: int, server: str) -> None:
        call_state = self.state.calls.states.get(call_id)
        if call_state is None or call_state.server != server:
            return
        refusal = Refusal(codes.ANSWER_LOST, "no answer")
        self._run(
            messages.DispatchFailed(
                now=self.clock.now,
                call_id=call_id,
                server=server,
                sent=True,
                relay_started=False,
                refusal=refusal,
            )
        )

    def _forward(self, order: messages.Forward) -> None:
        pending = self._pending[order.call_id]
        peer = self.peers[order.peer]
        fields: dict[str, Any] = {
            "method": pending.call.method,
            "host": pending.call.host,
            "path": pending.call.path,
            "key": pending.call.key,
            "fingerprint": pending.call.fingerprint,
            "timeout": order.deadline - self.clock.now,
            "purpose": Purpose(order.purpose),
            "holder": self.name if order.fence is not None else None,
            "fence": order.fence,
        }
        answered = [False]

        def reply(refusal: Refusal | None, stored_answer: object | None) -> None:
            def build() -> messages.PeerAnswered:
                answered[0] = True
                return messages.PeerAnswered(
                    now=self.clock.now,
                    call_id=order.call_id,
                    peer=order.peer,
                    refusal=refusal,
                    stored_answer=stored_answer,
                )

            self._receive_from(order.peer, build)

        def accept() -> None:
            if peer.wall() <= order.expires + self.state.limits.clock_error:
                set_cancel(peer.call(fields, pending.attempt, reply))

        def deliver() -> None:
            peer.receive(accept)

        def set_cancel(remote_id: int) -> None:
            pending.cancel = lambda: self.network.send(
                self.name, order.peer, lambda: peer.receive(lambda: peer.note_disconnect(remote_id))
            )

        def check_peer() -> None:
            if not answered[0] and (peer.is_dead or peer.is_frozen or self._is_cut_off(peer)):
                self._run(
                    messages.PeerFailed(
                        now=self.clock.now, call_id=order.call_id, peer=order.peer, sent=True
                    )
                )
            elif not answered[0] and order.call_id in self.state.calls.states:
                self.clock.schedule(SILENCE_SECONDS, lambda: self.receive(check_peer))

        self.network.send(self.name, order.peer, deliver)
        self.clock.schedule(SILENCE_SECONDS, lambda: self.receive(check_peer))

    def _is_cut_off(self, peer: ModelDaemon) -> bool:
        return frozenset((self.name, peer.name)) in self.network.partitions

    def _cancel(self, order: messages.Cancel) -> None:
        pending = self._pending.get(order.call_id)
        if pending is not None and pending.cancel is not None:
            pending.cancel()

    def _refuse(self, order: messages.RefuseCall) -> None:
        pending = self._pending.get(order.call_id)
        if pending is None:
            return
        if not order.awaits_answer:
            del self._pending[order.call_id]
        pending.reply(order.refusal, None)

    def _release(self, order: messages.ReleaseCall) -> None:
        self._pending.pop(order.call_id, None)

    def _answer(self, call_id: int, refusal: Refusal | None, stored_answer: object | None) -> None:
        pending = self._pending.pop(call_id, None)
        if pending is not None:
            pending.reply(refusal, stored_answer)
