"""Steps on the timers of an idle daemon."""

from __future__ import annotations

from unittest import mock

from behave import given, then, when

from dotterelgate_core.heartbeats import HEARTBEAT_SECONDS
from dotterelgate_daemon import common_parts, prober, store_assembly, timers

STEP_SECONDS = 0.005
# The system wakes a process slightly late.
LATENESS_SECONDS = 0.0001


class FakeClock:
    """A clock that moves when told; its timers run as it moves."""

    def __init__(self):
        self.now = 1000.0
        self.wake_ups = 0
        with self.patch():
            self.timers = timers.TimerService()

    def patch(self):
        """Put the clock in the place of the system's."""
        return mock.patch.object(timers.time, "monotonic", lambda: self.now)

    def run(self, seconds):
        """Let time pass."""
        with self.patch():
            until = self.now + seconds
            while self.now < until:
                wait = self.timers.run_due()
                if wait > until - self.now:
                    break
                self.wake_ups += 1
                self.now += wait + LATENESS_SECONDS
            self.now = until


@given("a timer every 0.02 s that is due every 0.06 s while idle")
def subscribe(context):
    context.clock = FakeClock()
    context.calls = []
    context.is_idle = True
    with context.clock.patch():
        context.hasten = context.clock.timers.subscribe(
            interval=0.02,
            call=lambda: context.calls.append(context.clock.now),
            idle_interval=0.06,
            is_idle=lambda: context.is_idle,
        )


@when("1.2 s go by on the timers' clock while it is idle")
def run(context):
    context.clock.run(1.2)


@when("work arrives right after a call")
def arrive(context):
    context.clock.run(0.06 - (context.clock.now - context.calls[-1]) + STEP_SECONDS)
    context.is_idle = False
    context.arrived = context.clock.now
    with context.clock.patch():
        context.hasten()
        context.hasten()
    context.clock.run(0.2)


@then("it was called {least:d} to {most:d} times, with at most {longest:g} s between the calls")
def check_rare(context, least, most, longest):
    assert least <= len(context.calls) <= most, len(context.calls)
    assert max(list_gaps(context.calls)) <= longest


@then("its next calls come after at most 0.02 s each, and none is made twice")
def check_hastened(context):
    calls = [context.arrived, *(at for at in context.calls if at > context.arrived)]
    gaps = list_gaps(calls)
    assert 9 <= len(gaps) <= 11, gaps
    assert max(gaps) <= 0.021, gaps
    assert min(gaps[1:]) >= 0.015, gaps


def list_gaps(calls):
    return [later - earlier for earlier, later in zip(calls, calls[1:], strict=False)]


@given("the timers of an idle daemon")
def subscribe_all(context):
    context.clock = FakeClock()
    intervals = (
        common_parts.IDLE_TICK_SECONDS,
        common_parts.PAUSE_CHECK_SECONDS,
        common_parts.LOG_WRITE_SECONDS,
        common_parts.HOUSEKEEPING_SECONDS,
        prober.SWEEP_SECONDS,
        store_assembly.RELAY_SECONDS,
        HEARTBEAT_SECONDS,
    )
    with context.clock.patch():
        for each in intervals:
            context.clock.timers.subscribe(interval=each, call=lambda: None)


@then("it wakes up at most {most:d} times in a second")
def check_wake_ups(context, most):
    context.clock.run(0.5)
    context.clock.wake_ups = 0
    context.clock.run(10.0)
    assert context.clock.wake_ups <= 10 * most, context.clock.wake_ups
