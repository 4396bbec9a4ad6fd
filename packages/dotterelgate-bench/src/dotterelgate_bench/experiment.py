"""Runs the decision cores of a user's daemons against simulated backend servers."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from random import Random
from typing import TYPE_CHECKING

import numpy as np

from dotterelgate_bench.clock import FakeClock
from dotterelgate_bench.model import ModelDaemon, ModelLog, ModelServer, Network
from dotterelgate_core.configuration import BackendServer, Configuration, Route, Service
from dotterelgate_core.policies import Policy

if TYPE_CHECKING:
    from dotterelgate_core.codes import Refusal
    from dotterelgate_core.messages import Call

__all__ = ["POLICIES", "SIZES", "Experiment", "Figures", "Plan", "Size", "run_experiment"]

MEAN_WORK_SECONDS = 0.02
SIGMA = 0.5  # of the lognormal distribution of the work
STRAGGLER_FACTOR = 25.0
NOISE_FACTOR = 3.0
NOISE_SECONDS = 0.2
QUIET_SECONDS = 1.8
TIMEOUT_SECONDS = 5.0
WARM_UP_SECONDS = 1.0
QUEUE_LIMIT_SECONDS = 0.5
CREST_QUEUE_LIMIT_SECONDS = 0.1
ORACLE = "oracle"
POLICIES = (
    "random",
    "round_robin",
    "two_choices",
    "least_reported",
    "least_in_flight",
    "local_queue",
    "owner_queue",
    ORACLE,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class Size:
    """The daemons and backend servers of one user.

    :param servers: backend servers of each service
    """

    daemons: int
    servers: tuple[int, ...]
    slots: int


SIZES = {
    "bakery": Size(daemons=15, servers=(10, 6, 12), slots=3),
    "safety": Size(daemons=16, servers=(12, 6, 12), slots=6),
}


@dataclass(frozen=True, kw_only=True, slots=True)
class Plan:
    """Parameters of one experiment.

    :param load: share of the slots that the work fills
    :param stragglers: share of requests that unexpectedly run 25 times longer
    :param long_share: share of requests on a route declared long, which run 25 times longer
    :param crest: whether the load rises fivefold for two seconds
    """

    user: str
    policy: str
    load: float
    seed: int
    seconds: float = 8.0
    stragglers: float = 0.01
    long_share: float = 0.0
    noise: bool = True
    crest: bool = False


@dataclass(kw_only=True)
class Figures:
    """Figures of one experiment; times in milliseconds.

    :param useful_share: slot time of answered requests in the crest over the capacity
    :param refusal_ms: 99th percentile of the time until a refusal
    :param recovery_s: seconds after the crest until the tail is normal again
    """

    plan: dict
    answered: int
    refused: int
    p50: float
    p99: float
    p999: float
    long_p99: float | None = None
    useful_share: float | None = None
    refusal_ms: float | None = None
    recovery_s: float | None = None
    decisions: int = 0


@dataclass(kw_only=True, slots=True)
class _Result:
    arrived: float
    ended: float
    is_long: bool
    is_refused: bool
    work: float


@dataclass(kw_only=True)
class Experiment:
    """State of one experiment."""

    plan: Plan
    clock: FakeClock = field(default_factory=FakeClock)
    results: list[_Result] = field(default_factory=list)
    slowdowns: dict[int, float] = field(default_factory=dict)
    work_seconds: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.random = Random(self.plan.seed)
        self.size = SIZES[self.plan.user]
        self.servers: dict[str, ModelServer] = {}
        services = tuple(
            self._build_service(number, count) for number, count in enumerate(self.size.servers)
        )
        configuration = Configuration(id="c", revision=1, services=services)
        self.daemons = self._build_daemons(configuration)
        for number, service in enumerate(services):
            self._schedule_arrivals(number, service)

    def run(self) -> None:
        """Run to the end, with time for the requests in progress to finish."""
        self.clock.run_until(self.plan.seconds + TIMEOUT_SECONDS)

    def _build_service(self, number: int, count: int) -> Service:
        pool = []
        for each in range(count):
            name = f"server-{number}-{each}"
            server = ModelServer(clock=self.clock, slots=self.size.slots, draw=self._draw_seconds)
            self.servers[name] = server
            self.slowdowns[id(server)] = 1.0
            if self.plan.noise:
                self._schedule_noise(server)
            pool.append(
                BackendServer(name=name, address="", slots=self.size.slots, connections=200)
            )
        limit = CREST_QUEUE_LIMIT_SECONDS if self.plan.crest else QUEUE_LIMIT_SECONDS
        routes = (
            Route(prefix="/", idempotent=True, timeout=TIMEOUT_SECONDS),
            Route(prefix="/long", idempotent=True, timeout=TIMEOUT_SECONDS, long=True),
        )
        return Service(
            name=f"service-{number}",
            hosts=frozenset((f"host-{number}",)),
            servers=tuple(pool),
            routes=routes,
            policy=self.plan.policy,
            queue_limit=limit,
        )

    def _build_daemons(self, configuration: Configuration) -> list[ModelDaemon]:
        count = 1 if self.plan.policy == ORACLE else self.size.daemons
        network = Network(clock=self.clock, random=self.random)
        oracle = Policy(name=ORACLE, owned=False, late=True, choose=self._choose_fastest)
        daemons = [
            ModelDaemon(
                name=f"entry-{number}",
                run=1,
                clock=self.clock,
                network=network,
                log=ModelLog(clock=self.clock),
                servers=self.servers,
                random=self.random,
                policies={ORACLE: oracle},
            )
            for number in range(count)
        ]
        for daemon in daemons:
            daemon.add_peers(daemons)
            daemon.configure(configuration)
            daemon.start()
        return daemons

    def _choose_fastest(self, states, *_):  # type: ignore[no-untyped-def]
        def rank(state):  # type: ignore[no-untyped-def]
            server = self.servers[state.server.name]
            return self.slowdowns[id(server)], state.in_flight

        return min(states, key=rank)

    def _schedule_noise(self, server: ModelServer) -> None:
        def begin() -> None:
            self.slowdowns[id(server)] = NOISE_FACTOR
            self.clock.schedule(self.random.expovariate(1 / NOISE_SECONDS), end)

        def end() -> None:
            self.slowdowns[id(server)] = 1.0
            self.clock.schedule(self.random.expovariate(1 / QUIET_SECONDS), begin)

        self.clock.schedule(self.random.expovariate(1 / QUIET_SECONDS), begin)

    def _draw_seconds(self, server: ModelServer, call: Call) -> float:
        return self.work_seconds[call.method] * self.slowdowns[id(server)]

    def _schedule_arrivals(self, number: int, service: Service) -> None:
        slots = sum(server.slots for server in service.servers)
        rate = self.plan.load * slots / self.compute_mean_work()
        count = 0

        def arrive() -> None:
            nonlocal count
            if self.clock.now >= self.plan.seconds:
                return
            count += 1
            self._send(number, f"{number}.{count}")
            self.clock.schedule(self.random.expovariate(rate * self._find_rate_factor()), arrive)

        self.clock.schedule(self.random.expovariate(rate), arrive)

    def compute_mean_work(self) -> float:
        """Compute the mean slot seconds of a request, noise included."""
        noisy = NOISE_SECONDS / (NOISE_SECONDS + QUIET_SECONDS) if self.plan.noise else 0.0
        long = self.plan.stragglers + self.plan.long_share
        mean = MEAN_WORK_SECONDS * (1 + long * (STRAGGLER_FACTOR - 1))
        return mean * (1 + noisy * (NOISE_FACTOR - 1))

    def _find_rate_factor(self) -> float:
        if not self.plan.crest:
            return 1.0
        begin, end = find_crest(self.plan)
        return 5.0 if begin <= self.clock.now < end else 1.0

    def _send(self, number: int, request: str) -> None:
        is_long = self.random.random() < self.plan.long_share
        work = MEAN_WORK_SECONDS * self.random.lognormvariate(-SIGMA * SIGMA / 2, SIGMA)
        if is_long or self.random.random() < self.plan.stragglers:
            work *= STRAGGLER_FACTOR
        # The method carries the request's name, by which _draw_seconds finds its work.
        self.work_seconds[request] = work
        arrived = self.clock.now

        def reply(refusal: Refusal | None, _stored_answer: object | None) -> None:
            result = _Result(
                arrived=arrived,
                ended=self.clock.now,
                is_long=is_long,
                is_refused=refusal is not None,
                work=work,
            )
            self.results.append(result)

        daemon = self.random.choice(self.daemons)
        path = "/long" if is_long else "/"
        fields = {"method": request, "host": f"host-{number}", "path": path}
        daemon.call(fields, request, reply)


def find_crest(plan: Plan) -> tuple[float, float]:
    """Find the start and the end of the crest in seconds."""
    return plan.seconds * 0.4, plan.seconds * 0.4 + 2.0


def run_experiment(plan: Plan) -> Figures:
    """Run one experiment and compute its figures."""
    experiment = Experiment(plan=plan)
    experiment.run()
    measured = [each for each in experiment.results if each.arrived >= WARM_UP_SECONDS]
    short = [each for each in measured if not (each.is_long or each.is_refused)]
    short_ms = [(each.ended - each.arrived) * 1000 for each in short if _is_short(each)]
    long_ms = [
        (each.ended - each.arrived) * 1000
        for each in measured
        if each.is_long and not each.is_refused
    ]
    refused = [each for each in measured if each.is_refused]
    figures = Figures(
        plan=asdict(plan),
        answered=len(short),
        refused=len(refused),
        p50=float(np.percentile(short_ms, 50)),
        p99=float(np.percentile(short_ms, 99)),
        p999=float(np.percentile(short_ms, 99.9)),
        long_p99=float(np.percentile(long_ms, 99)) if long_ms else None,
        decisions=sum(daemon.decisions for daemon in experiment.daemons),
    )
    if plan.crest:
        _add_crest_figures(figures, experiment, measured)
    return figures


def _is_short(result: _Result) -> bool:
    return result.work < MEAN_WORK_SECONDS * STRAGGLER_FACTOR / 4


def _add_crest_figures(figures: Figures, experiment: Experiment, measured: list[_Result]) -> None:
    begin, end = find_crest(experiment.plan)
    slots = sum(server.slots for server in experiment.servers.values())
    useful_seconds = sum(
        each.work for each in measured if not each.is_refused and begin + 0.2 <= each.ended < end
    )
    noise_factor = experiment.compute_mean_work() / (
        MEAN_WORK_SECONDS * (1 + experiment.plan.stragglers * (STRAGGLER_FACTOR - 1))
    )
    figures.useful_share = useful_seconds * noise_factor / (slots * (end - begin - 0.2))
    refusals = [(each.ended - each.arrived) * 1000 for each in measured if each.is_refused]
    figures.refusal_ms = float(np.percentile(refusals, 99)) if refusals else None
    figures.recovery_s = _find_recovery(measured, begin, end)


def _find_recovery(measured: list[_Result], begin: float, end: float) -> float:
    before = [
        each.ended - each.arrived
        for each in measured
        if each.arrived < begin and not each.is_refused and _is_short(each)
    ]
    normal_p99 = float(np.percentile(before, 99))
    step = 0.1
    window_start = end
    while window_start < end + 3.0:
        window = [each for each in measured if window_start <= each.arrived < window_start + 0.3]
        slow = sum(
            each.is_refused or (_is_short(each) and each.ended - each.arrived > normal_p99)
            for each in window
        )
        if window and slow <= max(1, len(window) * 0.03):
            return window_start - end
        window_start += step
    return window_start - end
