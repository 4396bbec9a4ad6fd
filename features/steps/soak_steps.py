"""Steps on the soak with random faults."""

from __future__ import annotations

from dataclasses import replace

from behave import given, then, when
from soaking.callers import RequestResult
from soaking.guarantees import Evidence, Span, check_guarantees
from soaking.schedule import SoakRun

LEAVING = "i-1"


@when("the soak runs seed {seed:d} for {seconds:d} seconds")
def soak(context, seed, seconds):
    context.soak = SoakRun(seed=seed, seconds=seconds)
    context.violations = context.soak.run()


@then("no guarantee was violated")
def check_none(context):
    assert not context.violations, [*context.violations, *context.soak.notes]


@then("requests were served")
def check_served(context):
    assert any(each.status == 200 for each in context.soak.evidence.results)


def make_result(request_id, status, *, daemon="front-1"):
    """Build the result that the caller of a write received."""
    return RequestResult(
        request_id=request_id,
        daemon=daemon,
        path="/write/x",
        begun=100.0,
        ended=100.2,
        status=status,
    )


@given("evidence of a write run twice, one refused with 503 that ran and one cut by a planned stop")
def collect_requests(context):
    context.evidence = Evidence(
        results=[make_result("twice", 200), make_result("promised", 503), make_result("cut", None)],
        arrivals={
            "i-2": [("twice", 100.0), ("promised", 100.0), ("cut", 100.0)],
            "i-3": [("twice", 100.1)],
        },
        stops=[Span(subject="front-1", begun=99.9, ended=104.0, what="told to stop")],
    )


@given("evidence of late work for a leaving backend server and of an older configuration")
def collect_others(context):
    context.evidence.arrivals[LEAVING] = [("late", 52.5)]
    context.evidence.leavings = [Span(subject=LEAVING, begun=50.0, ended=54.0, what="leaves")]
    context.evidence.versions = {"front-1 run 1": [4, 5, 4]}


@given("evidence of a write that waited until a planned stop and got no answer")
def collect_unanswered(context):
    waited = replace(make_result("waited", None), ended=103.5)
    # It crossed the close of its connection.
    crossed = replace(make_result("crossed", None), ended=100.1)
    context.evidence.results += [waited, crossed]


@then("each of the {count:d} is reported as a violated guarantee")
def check_reported(context, count):
    violations = check_guarantees(context.evidence)
    assert len(violations) == count, violations
