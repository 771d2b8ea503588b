"""Lists and watches, cut, odd or in pieces, on real sockets; docs/crossings.md tells the rows."""

from __future__ import annotations

import json

import pytest
from scenario import World
from test_scenarios import READY, play


def chunk(text):
    data = text.encode()
    return (b"%x\r\n%b\r\n" % (len(data), data)).decode()


def test_lists_may_come_indented_in_pieces_and_behind_each_other(tmp_path):
    world = World(tmp_path)
    try:
        line = world.line("d1")
        line.head = [line.file.readline() for _ in range(3)]
        first = json.dumps({"index": 1, "snapshot": True, "endpoints": [world.entry("a=Ready")]}, indent=2)
        second = json.dumps({"index": 2, "snapshot": False, "endpoints": [world.entry("b=Ready")]}, indent=4)
        third = json.dumps({"index": 3, "snapshot": False, "endpoints": [world.entry("a=Terminating")]})
        line.sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for part in [first[:40], first[40:], "\n\n", second + "\n" + third, "\n"]:
            line.sock.sendall(chunk(part).encode())
        world.play("""
            wait gw tables=3
            send c1 look 1
            expect b1 look 1
            send b1 ok hello
            expect c1 ok hello
            wait gw watches=1""")
    finally:
        world.end()


def test_a_list_that_stops_half_way_is_no_list(tmp_path):
    """The last list stands; what was cut counts for nothing, and the watch is opened anew."""
    play(tmp_path, READY + """
        send d1 say {"index": 9, "snapshot": true, "endpoints": [
        close d1
        send d2 change
        send c1 look 1
        expect a1 look 1
        send a1 ok hello
        expect c1 ok hello
        wait gw watches=2""")


@pytest.mark.parametrize("odd", ["[1, 2]", "}", '{"index": Infinity, "snapshot": true, "endpoints": []}',
                                 "nonsense", '{"index": 1} tail', "[" * 3000 + "]" * 3000],
                         ids=["array", "closed twice", "infinite", "nonsense", "tail", "deep"])
def test_a_line_that_is_no_list_costs_the_watch_alone(tmp_path, odd):
    play(tmp_path, READY + f"""
        send d1 say {odd}
        expect d1 end
        send d2 full b=Ready
        send c1 look 1
        expect b1 look 1
        send b1 ok hello
        expect c1 ok hello""")
