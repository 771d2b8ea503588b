"""Requests, answers and the server table over sockets; tests/scenario.py tells what the lines mean."""

from __future__ import annotations

import pytest
from scenario import ANSWERED_CALL, PING, READY, GatewayHarness, run_scenario

GOOD = r"*3\r\n$5\r\nhello\r\n$-1\r\n$-1\r\n"
SCENARIOS = {
    "a call goes on unchanged and its value comes back": READY
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
    "answers come in the order of the commands": READY
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
    "pieces and the largest values": READY
    + """
        send c1 slowly look 1
        expect a1 look 1
        send a1 slowly ok hello
        expect c1 ok hello
        send c1 book 2 body=65536
        expect a1 book 2
        send a1 ok 400000
        expect c1 ok 400000""",
    "an answer in pieces is waited for while it goes on": READY
    + r"""
        send c1 book 1
        expect a1 book 1
        send a1 raw *3\r\n$5\r\nhe
        send a1 raw llo\r\n$-1
        send a1 raw \r\n$-1\r\n
        expect c1 ok hello""",
    "a value past the limit ends the client's connection": READY
    + """
        send c1 book 2 body=65537
        expect c1 -ERR*limit*
        expect c1 end"""
    + "\n"
    + ANSWERED_CALL,
    "odd commands are answered and go no further": READY
    + "".join(
        f"""
        send c1 {odd}
        expect c1 -ERR*"""
        for odd in (
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
    "no client is ready for PING before the table": f"""
        send c1 {PING}
        expect c1 -ERR not ready
        send c1 look 1
        expect c1 -BUSY
        {READY}
        send c1 {PING}
        expect c1 +PONG""",
    "a client that leaves is owed nothing": READY
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
    "an unsafe call that may have run fails": READY
    + """
        send c1 book 1
        expect a1 book 1
        close a1
        expect c1 -ERR failed
        wait gw reset=1""",
    "an unsafe call that never ran is refused": READY
    + """
        send c1 book 1
        expect a1 book 1
        send a1 -BUSY inflight=7,queue=2
        expect c1 -BUSY*
        wait gw attempt_rejected=1""",
    "a keyed call that failed is not refused": READY
    + """
        send c1 put 1
        expect a1 put 1
        send a1 -ERR failed inflight=7,queue=2
        expect c1 -ERR failed""",
    "a kept connection that ends beneath a call is no reset; the next unsafe call gets a new one": READY
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
    "a safe call goes to another backend server": READY
    + """
        send c1 look 1
        expect a1 look 1
        send d1 change b=Ready
        wait gw tables=2
        close a1
        expect b1 look 1
        send b1 ok hello
        expect c1 ok hello""",
    "nobody listens there": READY
    + """
        close a
        send c1 book 1
        expect c1 -BUSY*
        wait gw connect_failed=1""",
    "an answer that is none": READY
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
    "a good answer counts whatever comes behind it": READY
    + "".join(
        f"""
        send c1 book {k}
        expect a{k} book {k}
        send a{k} raw {GOOD}{more}
        expect c1 ok hello
        expect a{k} end"""
        for k, more in enumerate((GOOD, "noise", "$3", "*3\\r\\n$999999999\\r\\nv"), 1)
    ),
    "what comes late behind an answer is not taken for the next one's": READY
    + f"""
        send c1 look 1
        expect a1 look 1
        send a1 raw {GOOD}
        expect c1 ok hello
        send a1 raw {GOOD}
        expect a1 end
        send c1 look 2
        expect a2 look 2
        send a2 ok two
        expect c1 ok two""",
    "spoilt answers are not served, and may have run": READY
    + "".join(
        f"""
        send c1 book {k}
        expect a{k} book {k}
        send a{k} raw {odd}
        expect c1 -ERR failed
        expect a{k} end"""
        for k, odd in enumerate(
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
    "the id of an open request, copied, is turned away and disturbs nobody": READY
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
    "the error line comes through, however much is left unread": READY
    + """
        send c1 book 1 body=900000
        expect c1 -ERR*limit*
        expect c1 end"""
    + "\n"
    + ANSWERED_CALL,
    "what was asked before a line that can't be read is still answered": READY
    + f"""
        send c1 look 1
        expect a1 look 1
        send c1 raw nonsense\\r\\n
        send a1 raw {GOOD}
        expect c1 ok hello
        expect c1 -ERR*
        expect c1 end""",
    "beyond the quota": READY
    + """
        send c1 look 1 t=small
        send c1 look 2 t=small
        expect a1 look 1
        send a1 ok hello
        expect c1 ok hello
        expect c1 -BUSY 700""",
    "the time is up": READY
    + """
        send c1 book 1 d=200
        expect a1 book 1
        expect c1 -ERR failed
        expect a1 end""",
    "a draining backend server gets nothing new": READY
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
    "a backend server that started anew gets new connections": READY
    + """
        send c1 look 1
        expect a1 look 1
        send a1 ok one
        expect c1 ok one
        send d1 change a=Ready@1000
        expect a1 end
        send c1 look 2
        expect a2 look 2""",
    "a lost watch leaves the last list standing": READY
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
    "a stop answers what still comes on open connections": READY
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
    "a reload moves the watch while the table and all connections stand": READY
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
    "a reload outlives the end of the old watch and a first try that fails": READY
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
    "an unusable file at a reload leaves the old configuration": READY
    + """
        send gw reload {"name":
        expect gw reload rejected*invalid JSON; the old configuration stays in use
        send gw reload []
        expect gw reload rejected*top level is not a JSON object; the old configuration stays in use
        send d1 change a=Gone b=Ready
        send c1 look 1
        expect b1 look 1
        send b1 ok one
        expect c1 ok one
        wait gw reloads=0""",
    "datagrams of peers and others": READY
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


def test_a_watch_that_says_nothing_is_opened_anew(tmp_path):
    """At first it is owed the list at once, later a line now and then. It ends when the new one has spoken,
    and no sooner: else there would be a while in which nothing could be heard."""
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


def test_the_known_list_serves_while_discovery_is_silent(tmp_path):
    run_scenario(tmp_path, "expect gw ready*cached\n" + ANSWERED_CALL, known_servers="a")


def test_what_waits_for_a_connection_is_withdrawn_from_a_draining_backend_server(tmp_path):
    """The listener's line is full, so that connections never come up; the limit for that is far off."""
    limits = {"limits": {"connect_timeout_ns": 10**12}}
    harness = GatewayHarness(tmp_path, {"settings": limits})
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
