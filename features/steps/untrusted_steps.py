"""Steps on clients that nobody controls."""

from __future__ import annotations

from behave import given, then, when
from subjects.untrusted import CROWDS, DAEMON, SETTINGS, UntrustedClients

ANSWER_SECONDS = 20


@given("a daemon on a small VM")
def start(context):
    context.clients = UntrustedClients()
    context.cleanups.append(context.clients.stop)
    context.clients.start()


@when("a crowd of clients sends {what}")
def send(context, what):
    context.clients.send(CROWDS[what])


@then("the daemon lives and stays within the VM's memory and descriptors")
def check_resources(context):
    clients = context.clients
    assert clients.is_alive, "the daemon has ended"
    clients.count_descriptors()
    memory, descriptors = clients.read_most_memory(), clients.most_descriptors
    print(f"largest: {memory} bytes, {descriptors} descriptors")
    assert memory <= SETTINGS["memory_limit"], f"{memory} bytes, {descriptors} descriptors"
    assert descriptors <= SETTINGS["descriptor_limit"], f"{descriptors} descriptors"


@then("an ordinary request is answered while the crowd's connections stay open")
def check_answer(context):
    context.clients.platform.wait_for_status(DAEMON, "/orders/z", 200, ANSWER_SECONDS)
    assert context.clients.is_alive, "the daemon has ended"
