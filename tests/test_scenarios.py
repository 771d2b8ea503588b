"""Requests, answers and endpoint lists over sockets; tests/scenario.py describes the scenario language."""

from __future__ import annotations

import pytest
from scenario import ANSWERED_CALL, PING, READY, GatewayHarness, run_scenario

VALID_ANSWER = r"*3\r\n$5\r\nhello\r\n$-1\r\n$-1\r\n"
SCENARIOS = {
    "a call is forwarded unchanged and its value is returned": READY
    + """
        send c1 look 1
        expect a1 look 1
        send a1 ok hello
        expect c1 ok hello
        send c1 book 2 body=BODY
        expect a1 book 2
        send a1 ok done
        expect c1 ok done
        wait gw connects=1""",
    "answers are returned in the order of the commands": READY
    + f"""
        send c1 look 1
        send c1 {PING}
        send c1 look 2
        expect a1 look 1
        expect a2 look 2
        send a2 ok second
        send a1 ok first
        expect c1 ok first
        expect c1 +PONG
        expect c1 ok second""",
    "calls and answers that arrive byte by byte, and values of the largest size": READY
    + """
        send c1 slowly look 1
        expect a1 look 1
        send a1 slowly ok hello
        expect c1 ok hello
        send c1 book 2 body=65536
        expect a1 book 2
        send a1 ok 400000
        expect c1 ok 400000""",
    "an answer that arrives in pieces is read to its end": READY
    + r"""
        send c1 book 1
        expect a1 book 1
        send a1 raw *3\r\n$5\r\nhe
        send a1 raw llo\r\n$-1
        send a1 raw \r\n$-1\r\n
        expect c1 ok hello""",
    "a value over the limit ends the client's connection": READY
    + """
        send c1 book 2 body=65537
        expect c1 -ERR*limit*
        expect c1 end"""
    + "\n"
    + ANSWERED_CALL,
    "malformed commands are answered with an error and not forwarded": READY
    + "".join(
        f"""
        send c1 {malformed}
        expect c1 -ERR*"""
        for malformed in (
            r"raw *1\r\n$3\r\nGET\r\n",
            r"raw *2\r\n$8\r\nCALL.GET\r\n$1\r\n1\r\n",
            "look 1 c=none",
            "look 1 t=x",
            "look 1 d=soon",
            "look 1 d=1_0",
            "look 1 d=+5",
            "look 1 first=-1",
            "look 1 d=0",
            "look 1 d=",
            "look 1 units=nan",
            "look 1 units=-1",
            "look 1 spread=0",
            "look 1 units=5",
            "look 1 spread=3",
            "look 1 first=2",
            "look 1 units=inf",
            "look 1 body=B",
            "look 1 c=book",
            "put 1 k=",
            "look 1 c=look,x",
            r"raw *1\r\n$0\r\n\r\n",
            r"raw *5\r\n$9\r\nCALL.POST\r\n$1\r\nz\r\n$1\r\n1\r\n$3\r\nc=a\r\n$0\r\n\r\n",
        )
    )
    + "\n"
    + ANSWERED_CALL,
    "PING fails and calls are rejected before the first endpoint list": f"""
        send c1 {PING}
        expect c1 -ERR not ready
        send c1 look 1
        expect c1 -BUSY
        {READY}
        send c1 {PING}
        expect c1 +PONG""",
    "when a client disconnects, its attempt is cancelled and other clients are served": READY
    + """
        send c1 look 1
        expect a1 look 1
        close c1
        wait gw abandoned=1
        expect a1 end
        send c2 raw *4\\r\\n$8\\r\\nCALL
        close c2
        send c3 look 2
        expect a2 look 2
        send a2 ok hello
        expect c3 ok hello""",
    "a call of a non-idempotent class that may have run fails": READY
    + """
        send c1 book 1
        expect a1 book 1
        close a1
        expect c1 -ERR failed
        wait gw reset=1""",
    "a call of a non-idempotent class that did not run is rejected": READY
    + """
        send c1 book 1
        expect a1 book 1
        send a1 -BUSY inflight=7,queue=2
        expect c1 -BUSY*
        wait gw attempt_rejected=1""",
    "a keyed call that failed is answered with the failure, not rejected": READY
    + """
        send c1 put 1
        expect a1 put 1
        send a1 -ERR failed inflight=7,queue=2
        expect c1 -ERR failed""",
    "a reused connection that ends under a call is stale; the next non-idempotent call gets a new one": READY
    + """
        send c1 look 1
        expect a1 look 1
        send a1 ok one
        expect c1 ok one
        send c1 book 2
        expect a1 book 2
        close a1
        expect c1 -ERR failed
        wait gw stale_connection=1
        wait gw reset=0
        send c1 look 3
        expect a2 look 3
        send a2 ok three
        expect c1 ok three
        send c1 book 4
        expect a3 book 4
        send a3 ok four
        expect c1 ok four
        expect a2 end
        send c1 look 5
        expect a3 look 5""",
    "a call of an idempotent class is retried at another backend": READY
    + """
        send c1 look 1
        expect a1 look 1
        send d1 change b=Ready
        wait gw tables=2
        close a1
        expect b1 look 1
        send b1 ok hello
        expect c1 ok hello""",
    "a refused connection rejects the call": READY
    + """
        close a
        send c1 book 1
        expect c1 -BUSY*
        wait gw connect_failed=1""",
    "malformed answers are counted and reject or fail the call by its class": READY
    + """
        send c1 look 1
        expect a1 look 1
        send a1 raw !what\\r\\n
        expect c1 -BUSY*
        send c1 book 2
        expect a2 book 2
        send a2 raw *3\\r\\n$-1\\r\\n$-1\\r\\n$-1\\r\\n
        expect c1 -ERR failed
        send c1 look 3
        expect a3 look 3
        send a3 raw $5\\r\\nhello\\r\\n
        expect c1 -BUSY*
        send c1 look 4
        expect a4 look 4
        send a4 raw *1\\r\\n$5\\r\\nhello\\r\\n
        expect c1 -BUSY*
        wait gw malformed_response=4""",
    "a valid answer is returned whatever follows it on the connection": READY
    + "".join(
        f"""
        send c1 book {k}
        expect a{k} book {k}
        send a{k} raw {VALID_ANSWER}{trailing}
        expect c1 ok hello
        expect a{k} end"""
        for k, trailing in enumerate((VALID_ANSWER, "noise", "$3", "*3\\r\\n$999999999\\r\\nv"), 1)
    ),
    "bytes after an answer close the connection and are not used as the next answer": READY
    + f"""
        send c1 look 1
        expect a1 look 1
        send a1 raw {VALID_ANSWER}
        expect c1 ok hello
        send a1 raw {VALID_ANSWER}
        expect a1 end
        send c1 look 2
        expect a2 look 2
        send a2 ok two
        expect c1 ok two""",
    "malformed answers to a non-idempotent call fail it, as it may have run": READY
    + "".join(
        f"""
        send c1 book {k}
        expect a{k} book {k}
        send a{k} raw {malformed}
        expect c1 -ERR failed
        expect a{k} end"""
        for k, malformed in enumerate(
            (
                r"*3\r\n+hello\r\n$-1\r\n$-1\r\n",
                r"*3\r\n:5\r\n$-1\r\n$-1\r\n",
                r"+hello\r\n",
                r"*3\r\n$5\r\nhello!\r\n$-1\r\n$-1\r\n",
                r"*3\r\n$10\r\nhello\r\n$-1\r\n$-1\r\n",
                r"*4\r\n$5\r\nhello\r\n$-1\r\n$-1\r\n$-1\r\n",
                r"*3\r\n$3000000000\r\nhello",
                r"*2\r\n$5\r\nhello\r\n$-1\r\n",
                r"-WHAT\r\n",
            ),
            1,
        )
    ),
    "a second call with the id of an open request gets an error, and the first is answered": READY
    + """
        send c1 look 1
        expect a1 look 1
        send c2 look 1
        expect c2 -ERR*id*
        close c2
        send a1 ok one
        expect c1 ok one
        send c1 look 1
        expect a1 look 1
        send a1 ok again
        expect c1 ok again""",
    "the error line reaches a client that has sent more than the gateway reads": READY
    + """
        send c1 book 1 body=900000
        expect c1 -ERR*limit*
        expect c1 end"""
    + "\n"
    + ANSWERED_CALL,
    "calls before an unreadable line are still answered": READY
    + f"""
        send c1 look 1
        expect a1 look 1
        send c1 raw nonsense\\r\\n
        send a1 raw {VALID_ANSWER}
        expect c1 ok hello
        expect c1 -ERR*
        expect c1 end""",
    "a call over the quota is rejected with a time to retry": READY
    + """
        send c1 look 1 t=small
        send c1 look 2 t=small
        expect a1 look 1
        send a1 ok hello
        expect c1 ok hello
        expect c1 -BUSY 700""",
    "a call fails at its deadline and its attempt is cancelled": READY
    + """
        send c1 book 1 d=200
        expect a1 book 1
        expect c1 -ERR failed
        expect a1 end""",
    "a draining backend gets no new calls and finishes the running one": READY
    + """
        send c1 look 1
        expect a1 look 1
        send c2 look 2
        expect a2 look 2
        send a2 ok two
        expect c2 ok two
        send d1 change a=Terminating b=Ready
        expect a2 end
        send c2 look 3
        expect b1 look 3
        send a1 ok one
        expect c1 ok one
        expect a1 end""",
    "a restarted backend gets new connections": READY
    + """
        send c1 look 1
        expect a1 look 1
        send a1 ok one
        expect c1 ok one
        send d1 change a=Ready@1000
        expect a1 end
        send c1 look 2
        expect a2 look 2""",
    "a lost watch leaves the last list in use until the next one arrives": READY
    + """
        close d1
        send c1 look 1
        expect a1 look 1
        send a1 ok one
        expect c1 ok one
        send d2 full b=Ready
        expect a1 end
        send d2 line {"index":"what"}
        send d3 full b=Ready
        send c1 look 2
        expect b1 look 2""",
    "after SIGTERM calls on open connections are still answered": READY
    + """
        send c1 look 1
        send c2 look 2
        expect a1 look *
        expect a2 look *
        send gw TERM
        expect gw stop with 2 sessions
        send c1 look 3
        expect a3 look 3
        send a1 ok all
        send a2 ok all
        send a3 ok all
        expect c1 ok all
        expect c1 ok all
        expect c2 ok all
        expect c2 end
        expect c1 end
        expect gw counters*"served": 3*
        expect gw exit 0""",
    "a reload moves the watch and keeps the endpoint table and all connections": READY
    + """
        send c1 look 1
        expect a1 look 1
        send gw reload e
        expect gw reload discovery at*
        send c1 look 2
        expect a2 look 2
        send d1 change b=Ready
        send e1 full b=Ready
        expect d1 end
        send a1 ok one
        expect c1 ok one
        send a2 ok two
        expect c1 ok two
        send c1 look 3
        expect b1 look 3
        send b1 ok three
        expect c1 ok three
        send gw TERM
        expect gw exit 0""",
    "a reload succeeds although the old watch ends and the first new watch fails": READY
    + """
        send gw reload e
        expect gw reload discovery at*
        close d1
        close d
        close e1
        send e2 full b=Ready
        send c1 look 1
        expect b1 look 1
        send b1 ok one
        expect c1 ok one""",
    "a reload with an invalid file keeps the old configuration": READY
    + """
        send gw reload {"name":
        expect gw reload rejected*not JSON; the old configuration stands
        send gw reload []
        expect gw reload rejected*not an object; the old configuration stands
        send d1 change a=Gone b=Ready
        send c1 look 1
        expect b1 look 1
        send b1 ok one
        expect c1 ok one
        wait gw reloads=0""",
    "a datagram is sent to the peer, and a malformed one is counted and dropped": READY
    + """
        expect p1 message
        send p1 raw hello
        wait gw messages_bad=1"""
    + "\n"
    + ANSWERED_CALL,
}


@pytest.mark.parametrize("name", SCENARIOS)
def test_scenario(name, tmp_path):
    run_scenario(tmp_path, SCENARIOS[name])


def test_a_silent_watch_is_replaced_and_closed_once_the_new_one_delivers(tmp_path):
    """A watch is silent if its first list does not come in time, or if later no line comes for some time. The
    old watch stays open until the new one has delivered, so that no change is missed in between."""
    run_scenario(
        tmp_path,
        "expect d1 request\nsend d2 full a=Ready\nexpect gw ready*from discovery\nexpect d1 end\n"
        + ANSWERED_CALL,
        limits={"table_answer_ns": 2 * 10**8, "table_silence_ns": 10**12},
    )
    run_scenario(
        tmp_path / "b",
        READY + "send d2 full b=Ready\nexpect d1 end\nsend c1 look 1\nexpect b1 look 1",
        limits={"table_answer_ns": 10**12, "table_silence_ns": 2 * 10**8},
    )


def test_the_endpoints_of_the_configuration_are_used_while_discovery_is_silent(tmp_path):
    run_scenario(tmp_path, "expect gw ready*cached\n" + ANSWERED_CALL, known_servers="a")


def test_an_attempt_that_waits_for_a_connection_to_a_draining_backend_is_cancelled(tmp_path):
    """The accept backlog is full, so that connects hang, and their timeout is far away."""
    settings = {"limits": {"connect_timeout_ns": 10**12}}
    harness = GatewayHarness(tmp_path, {"settings": settings})
    try:
        harness.run(
            "fill_backlog a"
            + "\n"
            + READY
            + """
            send c1 book 1 d=90000
            wait gw connects=1
            send d1 change a=Terminating
            expect c1 -BUSY*
            wait gw attempts=0"""
        )
    finally:
        harness.tear_down()
