"""Steps on requests that end the backend servers which run them."""

from __future__ import annotations

import re
import threading
import time

import httpx
from behave import given, then, when
from stand_ins.fleet import HOST
from steps.platform_steps import start
from subjects.deadly_requests import IDENTITIES, SuspectingDaemon
from subjects.store_daemon import find

from dotterelgate_bench.fleet import wait_until
from dotterelgate_core import codes, messages
from dotterelgate_core.suspects import ServerRun
from dotterelgate_daemon.identities import compute_identity
from dotterelgate_daemon.request_reader import RequestReader

NAMES = ("front-1", "front-2", "front-3")
PATH = "/orders/x?deadly=1"
BODY_LIMIT = 1000
CODE = f"{codes.ENDS_SERVERS.number} "


@given("the platform with {servers:d} backend servers and 3 daemons")
def start_three(context, servers):
    start(context, servers)
    context.platform.publish(10, "/orders/")
    for name in NAMES:
        context.platform.start_daemon(name)
    for name in NAMES:
        context.platform.wait_ready(name)
        wait_until(lambda name=name: knows_others(context, name), seconds=5, what="peers")


def knows_others(context, name):
    address = context.platform.settings[name]["endpoint"]
    try:
        status = httpx.get(f"http://{address}/status").json()
    except httpx.TransportError:
        return False
    return len(status["peers"]) >= len(NAMES) - 1


def send_deadly(context, name, body=b"x"):
    """Send the deadly write through a daemon."""
    url = f"http://{context.platform.settings[name]['callers']}{PATH}"
    headers = {
        "host": HOST,
        "request-id": f"d{time.monotonic_ns()}",
        "request-deadline-ms": "2000",
    }
    return httpx.post(url, headers=headers, content=body, timeout=5)


def count_crashes(context):
    return sum(len(each) for each in context.platform.read_crashes().values())


@when("a deadly write comes {times:d} times, {seconds:g} s apart, to each daemon in turn")
def send_often(context, times, seconds):
    context.answers = []
    for number in range(times):
        context.answers.append(send_deadly(context, NAMES[number % len(NAMES)]))
        time.sleep(seconds)


@then("at most {most:d} backend servers ended")
def check_crashes(context, most):
    crashes = count_crashes(context)
    assert 1 <= crashes <= most, (crashes, [each.status_code for each in context.answers])


@then("the last {count:d} of its attempts were refused as not run, with the time at which to retry")
def check_last(context, count):
    for answer in context.answers[-count:]:
        assert answer.status_code == 503 and answer.text.startswith(CODE), answer.text
        assert 30 < float(answer.headers["retry-after"]) <= 120, answer.headers


@then("a deadly write with another body is not refused before it ended a server")
def check_other(context):
    before = count_crashes(context)
    assert send_deadly(context, "front-1", b"other").status_code == 502
    assert count_crashes(context) == before + 1


@when("the operator clears the deadly write at front-2")
def clear(context):
    address = context.platform.settings["front-2"]["endpoint"]
    suspects = httpx.get(f"http://{address}/status").json()["suspects"]
    (refused,) = (each for each in suspects if each["refused_seconds"] > 0)
    for query, status in ((f"identity={refused['identity']}", 200), ("identity=x", 400)):
        answer = httpx.post(f"http://{address}/clear-suspect?{query}")
        assert answer.status_code == status, answer
    context.crashes = count_crashes(context)


@then("front-1 sends it again within {seconds:g} s")
def check_sent_again(context, seconds):
    wait_until(
        lambda: send_deadly(context, "front-1").status_code == 502,
        seconds=seconds,
        what="the write is sent again",
    )
    assert count_crashes(context) == context.crashes + 1


@then("a deadly write through front-1 is refused and ends no server")
def check_restarted(context):
    context.platform.wait_ready("front-1")
    before = count_crashes(context)
    answer = send_deadly(context, "front-1")
    assert answer.status_code == 503 and answer.text.startswith(CODE), answer.text
    assert count_crashes(context) == before


@when(
    "{callers:d} callers send the same request without pause while {ends:d} servers end, "
    "{seconds:g} s apart"
)
def end_servers(context, callers, ends, seconds):
    context.refusals = []
    stopping = threading.Event()

    def call(worker):
        number = 0
        while not stopping.is_set():
            number += 1
            name = NAMES[(worker + number) % len(NAMES)]
            answer = context.platform.request(name, "/orders/same", f"s{worker}-{number}")
            if answer.text.startswith(CODE):
                context.refusals.append(answer.text)

    workers = [threading.Thread(target=call, args=(each,)) for each in range(callers)]
    for worker in workers:
        worker.start()
    for number in range(ends):
        time.sleep(seconds)
        context.platform.crash(f"i-{number + 1}")
    time.sleep(1.0)
    stopping.set()
    for worker in workers:
        worker.join()


@then("no request was refused for servers that ended")
def check_none_refused(context):
    assert not context.refusals, context.refusals[:3]
    assert count_crashes(context) == 4


@given("a daemon with {servers:d} backend servers")
def start_daemon(context, servers):
    context.daemon = SuspectingDaemon(servers=servers)


@when("a server ends while it has request X")
def end_under_x(context):
    context.daemon.end_under("X")


@when("2 servers end, each while it has the requests X and Y")
def end_under_both(context):
    for _ in range(2):
        context.daemon.end_under("X", "Y")


@when("a server ends while it has request X, and another before the answer to a read with X")
def end_under_read(context):
    daemon = context.daemon
    daemon.end_under("X")
    call_id, server, _ = daemon.send("X")
    broken = messages.DispatchFailed(
        now=daemon.now,
        call_id=call_id,
        server=server,
        sent=True,
        relay_started=False,
        refusal=codes.Refusal(codes.ANSWER_LOST, "the connection broke"),
    )
    daemon.state.suspects.note_broken(ServerRun(name=server, born=1), IDENTITIES["X"], daemon.now)
    daemon.end_server(server)
    context.orders = daemon.run(broken)


@then("that read is answered 502 and not dispatched again")
def check_not_told_as_not_run(context):
    assert find(context.orders, messages.Dispatch) is None, context.orders
    refusal = find(context.orders, messages.RefuseCall).refusal
    assert refusal.code is codes.REPEAT_FAILED, refusal


@when("request X is answered with 500")
def answer_x(context):
    call_id, server, _ = context.daemon.send("X")
    context.daemon.answer(call_id, server, status=500, stored_answer=None)


@then("request {request} is sent to a server when it comes again")
def check_sent(context, request):
    call_id, server, orders = context.daemon.send(request)
    assert server is not None, orders
    context.daemon.run(messages.CallerDisconnected(now=context.daemon.now, call_id=call_id))


@then("request X is refused at once with a retry time of about {seconds:d} s, and request Y is not")
def check_refused(context, seconds):
    refusal = find(context.daemon.send("X")[2], messages.RefuseCall).refusal
    assert refusal.code is codes.ENDS_SERVERS and refusal.outcome is codes.Outcome.NOT_RUN
    assert seconds - 1 <= refusal.retry_after <= seconds + 1e-6, refusal
    check_sent(context, "Y")


@then("the log names both servers and how long request X is refused")
def check_lines(context):
    pattern = r"the request is refused for 60 s; i-\d, i-\d ended while they had it"
    assert re.fullmatch(pattern, context.daemon.lines[-1]), context.daemon.lines


@when("6 connections break under request X, and then {what}")
def break_connections(context, what):
    daemon = context.daemon
    for _ in range(6):
        call_id, server, _ = daemon.send("X")
        if "leave" in what:
            daemon.state.servers.states[server].reports_leaving = True
        elif "go" in what:
            daemon.remove(server, offset=10_000)
        daemon.break_connection(call_id, server)
        if "1.2 s later" in what:
            daemon.now += 1.2
        is_silent = what in ("the servers answer a probe", "probes get no answer")
        ends = daemon.probe(
            server, answered=what == "the servers answer a probe", refused=not is_silent
        )
        for each in ends:
            daemon.note(daemon.run(each))
        if "leave" in what or "go" in what:
            daemon.register(server, offset=int(daemon.now * 1000), born=int(daemon.now * 1000))
        daemon.state.servers.states[server].record_success(daemon.now, 0.1)
        daemon.now += 0.1


@when("{seconds:d} s go by at the daemon")
def pass_time(context, seconds):
    context.daemon.now += seconds


@when("request X waits since all servers are busy, and a server ends while it has request X")
def wait_busy(context):
    daemon = context.daemon
    first, server, _ = daemon.send("X")
    slots = sum(each.count_free() for each in daemon.state.servers.states.values())
    for _ in range(slots):
        daemon.send("Y")
    context.waiting, sent_to, _ = daemon.send("X")
    assert sent_to is None
    daemon.state.suspects.note_broken(ServerRun(name=server, born=1), IDENTITIES["X"], daemon.now)
    context.orders = daemon.end_server(server)


@then("the waiting call is refused at once")
def check_waiting(context):
    refused = find(context.orders, messages.RefuseCall)
    assert refused.call_id == context.waiting, context.orders
    assert refused.refusal.code is codes.ENDS_SERVERS


@given("3 daemons with 5 backend servers, of which two saw a server each end under request X")
def start_several(context):
    context.daemons = [SuspectingDaemon(servers=5, name=name) for name in NAMES]
    for number, daemon in enumerate(context.daemons[:2]):
        for _ in range(number):
            # Another server than the first daemon's.
            daemon.send("Y")
        daemon.end_under("X")
        daemon.now = 100.5
    context.daemons[2].now = 100.5


@when("each sends the others what it knows, the first update is lost and all others come twice")
def exchange(context):
    first, second, third = context.daemons
    for receiver, sender in (
        (third, second),
        (third, second),
        (second, first),
        (third, first),
        (first, second),
        (second, first),
        (first, second),
        (third, first),
    ):
        receiver.receive_update(sender.build_update())


@then("request X is refused at once by all")
def check_refused_by_all(context):
    for daemon in context.daemons:
        orders = daemon.send("X")[2]
        assert find(orders, messages.RefuseCall).refusal.code is codes.ENDS_SERVERS, orders


@when("request X is answered at one of them after its refusal, and all send what they know again")
def answer_and_exchange(context):
    for daemon in context.daemons:
        daemon.now += 61.0
    answerer = context.daemons[2]
    call_id, server, _ = answerer.send("X")
    answerer.answer(call_id, server)
    for receiver in context.daemons:
        for sender in context.daemons:
            if sender is not receiver:
                receiver.receive_update(sender.build_update())


@then("request X is suspected by none of them")
def check_cleared_by_all(context):
    for daemon in context.daemons:
        assert daemon.state.suspects.list_suspected() == []


@when(
    "a server's connections break under {breaks:d} requests and {ends:d} of them end a server each"
)
def fill(context, breaks, ends):
    table = context.daemon.state.suspects
    run = ServerRun(name="i-1", born=1)
    for identity in range(1, breaks + 1):
        table.note_broken(run, identity, 100.0 + identity * 1e-6)
    for identity in range(1, ends + 1):
        ended = ServerRun(name=f"gone-{identity}", born=1)
        table.note_broken(ended, identity, 200.0)
        table.note_ended(ended, 200.0)


@then("at most {suspects:d} suspects and {broken:d} broken connections of a server are known")
def check_bounds(context, suspects, broken):
    table = context.daemon.state.suspects
    assert len(table.suspects) == suspects, len(table.suspects)
    assert all(len(each) <= broken for each in table.broken.values())
    assert len(table.broken) <= 1 and len(table.checks) <= 1


@given("a daemon with 5 backend servers and a peer that hears nothing of it")
def start_with_peer(context):
    start_daemon(context, 5)
    context.daemon.receive_heartbeat("front-2")
    context.peer = SuspectingDaemon(servers=5, name="front-2")


@when("the peer can be reached again and is reminded")
@when("the peer is reminded again")
def remind(context):
    context.peer.now = context.daemon.now
    reminders = context.daemon.remind()
    assert len(reminders) == 1, reminders
    context.peer.receive_update(reminders[0])


@then("the peer refuses request X")
def check_peer(context):
    refusal = find(context.peer.send("X")[2], messages.RefuseCall).refusal
    assert refusal.code is codes.ENDS_SERVERS, refusal


@when("61 s go by at both and request X is answered at the daemon")
def clear_by_answer(context):
    context.daemon.now += 61.0
    call_id, server, _ = context.daemon.send("X")
    context.daemon.answer(call_id, server)


@then("request X is suspected by neither")
def check_neither(context):
    for daemon in (context.daemon, context.peer):
        assert daemon.state.suspects.list_suspected() == []


def read_identity(text):
    """Read a request like ``POST /a of user with body`` as a caller sends it; return its digest."""
    method, target, *rest = text.split()
    options = dict(zip(rest[::2], rest[1::2], strict=True))
    body = options.get("with", "").encode("ascii")
    head = f"{method} {target} HTTP/1.1\r\nHost: {options.get('at', HOST)}\r\n"
    if "of" in options:
        head += f"Authorization: Bearer {options['of']}\r\n"
    # The id of the request is another one each time.
    head += f"Request-Id: {time.monotonic_ns():x}\r\nContent-Length: {len(body)}\r\n\r\n"
    heads = []
    reader = RequestReader(
        head_limit=BODY_LIMIT,
        begin=heads.append,
        body=lambda part: None,
        end=lambda: None,
        refuse=lambda code, reason: None,
    )
    reader.feed(head.encode("ascii") + body)
    return compute_identity(heads[0], bytearray(body), BODY_LIMIT)


@when("{one} and {other} are read from callers")
def read_both(context, one, other):
    context.identities = read_identity(one), read_identity(other)


@then("their identities are {relation}")
def check_identities(context, relation):
    one, other = context.identities
    assert (one == other) == (relation == "equal"), context.identities
