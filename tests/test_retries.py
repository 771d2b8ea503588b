"""Retries by the idempotency of the class and the last outcome: in `Policy`, and on sockets."""

from __future__ import annotations

from types import SimpleNamespace

import pytest
from conftest import MS, SECOND, actions_of_type, backend
from scenario import GatewayHarness, settings
from test_scenarios import READY

from zincstile.decisions.messages import AttemptResult, FailRequest, ForwardRequest, RejectRequest
from zincstile.decisions.settings import CustomerPlan, DeduplicationScope, RequestClass
from zincstile.net.backends.attempt import Attempt, Backend
from zincstile.net.backends.connection import BackendConnection
from zincstile.net.limits import Limits

SAFE, UNSAFE, KEYED = 0, 1, 2  # indexes of the classes in conftest's settings
NEVER_RAN = {AttemptResult.REJECTED, AttemptResult.CONNECT_FAILED, AttemptResult.NOT_SENT}
FAILED_RESULTS = [r for r in AttemptResult if r not in (AttemptResult.OK, AttemptResult.CANCELLED)]


@pytest.mark.parametrize("result", FAILED_RESULTS, ids=lambda r: r.name)
@pytest.mark.parametrize("class_index", [SAFE, UNSAFE, KEYED])
def test_a_failed_attempt_is_retried_or_fails_the_request_by_class_and_result(
    policy_harness, class_index, result
):
    """A safe request is always retried, a keyed one within its window, an unsafe one only if it never ran.

    A request that is not retried fails.
    """
    harness = policy_harness()
    number, actions = harness.submit(class_index)
    first = actions_of_type(actions, ForwardRequest)[0].endpoint
    actions = harness.finish_attempt(number, 0, first, result)
    sent, failed = actions_of_type(actions, ForwardRequest), actions_of_type(actions, FailRequest)
    assert len(sent) == (class_index in (SAFE, KEYED) or result in NEVER_RAN)
    assert [s.endpoint for s in sent if s.endpoint == first] == []
    assert len(failed) == (not sent) and not actions_of_type(actions, RejectRequest)
    if sent and class_index == KEYED and result not in NEVER_RAN:
        # its deduplication window begins when the first attempt is sent
        assert sent[0].write_deadline_ns == harness.now - 10 * MS + 500 * MS


@pytest.mark.parametrize("result", FAILED_RESULTS, ids=lambda r: r.name)
@pytest.mark.parametrize(("class_index", "age"), [(KEYED, 499 * MS), (KEYED, 500 * MS), (SAFE, 500 * MS)])
def test_a_keyed_request_is_retried_only_within_its_deduplication_window(
    policy_harness, class_index, age, result
):
    harness = policy_harness({"plans": [CustomerPlan("only", rate=1000.0, burst=2000.0)]})
    number, actions = harness.submit(class_index, timeout_ns=3 * SECOND)
    actions = harness.finish_attempt(
        number, 0, actions_of_type(actions, ForwardRequest)[0].endpoint, result, after=age
    )
    retried = class_index == SAFE or result in NEVER_RAN or age < 500 * MS
    assert (len(actions_of_type(actions, ForwardRequest)), len(actions_of_type(actions, FailRequest))) == (
        retried,
        not retried,
    )


@pytest.mark.parametrize("result", FAILED_RESULTS, ids=lambda r: r.name)
def test_a_keyed_request_that_may_have_run_is_retried_only_in_its_zone(policy_harness, result):
    """Duplicates are dropped within a zone only; the other endpoint is in another zone."""
    harness = policy_harness(backends=0)
    harness.update_endpoints([backend(1, zone=0), backend(2, zone=1)])
    number, actions = harness.submit(KEYED)
    actions = harness.finish_attempt(number, 0, actions_of_type(actions, ForwardRequest)[0].endpoint, result)
    assert bool(actions_of_type(actions, ForwardRequest)) == (result in NEVER_RAN)


@pytest.mark.parametrize(("class_index", "hedge_count"), [(SAFE, 1), (UNSAFE, 0), (KEYED, 1)])
def test_a_hedged_request_is_sent_only_if_the_class_allows_a_retry(policy_harness, class_index, hedge_count):
    """The first attempt stays unanswered; an unsafe request is never hedged."""
    harness = policy_harness(
        {
            "classes": [
                RequestClass(
                    c.name,
                    SECOND,
                    4 * SECOND,
                    c.idempotency,
                    1.0,
                    deduplication_scope=DeduplicationScope.ALL,
                    deduplication_window_ns=4 * SECOND,
                )
                for c in policy_harness().policy.settings.classes
            ]
        }
    )
    number, _ = harness.submit(class_index)
    sent = [s for _ in range(30) for s in actions_of_type(harness.tick(), ForwardRequest)]
    assert len(sent) == hedge_count and all(s.request == number for s in sent)


# ---- on sockets

NEVER_RAN_ON_SOCKET, MAY_HAVE_RUN = True, False  # whether the attempt never ran
FAILURES = {
    "busy": ("send a1 -BUSY", NEVER_RAN_ON_SOCKET),
    "error": ("send a1 -ERR failed", MAY_HAVE_RUN),
    "ended": ("close a1", MAY_HAVE_RUN),
    "reset": ("reset a1", MAY_HAVE_RUN),
    "half an answer, then ended": (r"send a1 raw *3\r\n$5\r\nhe" + "\nclose a1", MAY_HAVE_RUN),
    "half an answer, then reset": (r"send a1 raw *3\r\n$5\r\nhe" + "\nreset a1", MAY_HAVE_RUN),
    "half an answer and no more": (r"send a1 raw *3\r\n$5\r\nhe", MAY_HAVE_RUN),
    "malformed": (r"send a1 raw !what\r\n", MAY_HAVE_RUN),
}


@pytest.mark.parametrize("failure", FAILURES)
@pytest.mark.parametrize("class_name", ["look", "put", "book"])
def test_a_failed_attempt_on_sockets_is_retried_or_fails_the_request(tmp_path, class_name, failure):
    script, never_ran = FAILURES[failure]
    harness = GatewayHarness(tmp_path, {"limits": {"answer_ns": 100 * MS}})
    try:
        harness.run(
            READY
            + f"""
            send c1 {class_name} 1
            expect a1 {class_name} 1
            send d1 change b=Ready
            wait gw tables=2
            {script}"""
        )
        if class_name != "book" or never_ran:
            harness.run(
                f"expect b1 {class_name} 1\nsend b1 ok second\nexpect c1 ok second\nwait gw attempts=2"
            )
        else:
            harness.run("expect c1 -ERR failed\nwait gw attempts=1\nwait gw connects=1")
    finally:
        harness.tear_down()


@pytest.mark.parametrize("class_name", ["look", "put", "book"])
def test_a_request_of_any_class_is_sent_to_another_endpoint_after_a_refused_connection(tmp_path, class_name):
    """A request that was not sent never ran, whatever its class."""
    harness = GatewayHarness(tmp_path)
    try:
        harness.run(f"""
            refuse a
            send d1 full a=Ready
            expect gw ready*from discovery
            send c1 {class_name} 1
            expect c1 -BUSY*
            send d1 change b=Ready
            wait gw tables=2
            send c1 {class_name} 2
            expect b1 {class_name} 2
            send b1 ok hello
            expect c1 ok hello""")
    finally:
        harness.tear_down()


def test_a_keyed_request_is_not_retried_after_its_deduplication_window(tmp_path):
    """The first attempt may have run, and its connection is seen to break only after the window."""
    classes = [c | {"window_ns": 1} for c in settings()["classes"]]
    harness = GatewayHarness(tmp_path, {"settings": {"classes": classes}})
    try:
        harness.run(
            READY
            + """
            send c1 put 1
            expect a1 put 1
            send d1 change b=Ready
            wait gw tables=2
            reset a1
            expect c1 -ERR failed
            wait gw attempts=1"""
        )
    finally:
        harness.tear_down()


# ---- whether an attempt may have run, by what was written


class Owner:
    """Records the outcomes of the attempts on one connection."""

    def __init__(self):
        self.dispatcher = SimpleNamespace(limits=Limits(), now_ns=lambda: 0)
        self.buffer = memoryview(bytearray(64))
        self.connector = SimpleNamespace(on_connected=lambda connection: None)
        self.pool = SimpleNamespace(on_connection_lost=lambda connection: None)
        self.results = []

    def finish(self, attempt, result):
        self.results.append(result)

    on_request_written = on_answer_started = lambda self, attempt: None


@pytest.mark.parametrize(
    ("events", "reused", "result"),
    [
        (["pause_writing"], False, AttemptResult.CONNECT_FAILED),
        (["pause_writing"], True, AttemptResult.CONNECT_FAILED),
        ([], False, AttemptResult.RESET),
        ([], True, AttemptResult.STALE_CONNECTION),
        (["pause_writing", "resume_writing"], False, AttemptResult.RESET),
        (["pause_writing", "resume_writing"], True, AttemptResult.STALE_CONNECTION),
        (["half"], True, AttemptResult.RESET),
    ],
)
def test_an_attempt_whose_connection_breaks_before_it_is_written_never_ran(events, reused, result):
    """A reused connection that breaks before the first byte of an answer counts as stale."""
    owner = Owner()
    connection = BackendConnection(owner, Backend(1, ("", 0), 0, True), None)
    connection.connection_made(
        SimpleNamespace(set_write_buffer_limits=lambda high: None, write=lambda data: None)
    )
    connection.send(
        Attempt(None, 0, connection.backend, 0, SECOND, SECOND), b"*1\r\n$4\r\nPING\r\n", reused=reused
    )
    for event in events:
        if event == "half":
            owner.buffer[:3] = b"*3\r"
            connection.buffer_updated(3)
        else:
            getattr(connection, event)()
    connection.connection_lost(None)
    assert owner.results == [result]
