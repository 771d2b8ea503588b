"""Every size, count and time that the network code keeps to: filled once at the start and handed down."""

from __future__ import annotations

from dataclasses import dataclass, fields, replace
from typing import Any, Final

MS: Final = 1_000_000  # in nanoseconds
SECOND: Final = 1000 * MS

# The operators' key of a limit (`limits.KEY` in the configuration) is its field's name, but for these.
KEYS: Final = {
    "quota_service_connections": "keeper_connections",
    "quota_service_pipelined": "keeper_pipelined",
    "quota_service_waiting": "keeper_waiting",
    "quota_service_call_ns": "keeper_call_ns",
    "quota_service_stuck_ns": "keeper_stuck_ns",
    "quota_service_idle_ns": "keeper_rest_ns",
}


@dataclass(frozen=True, slots=True)
class Limits:
    # descriptors: what a process may hold, in three parts
    frontend_connections: int = 580
    backend_connections: int = 400
    reserved: int = 40  # what is neither: the log, the loop, listening sockets, peers, watches, operators
    # sizes
    read_bytes: int = 65536  # the one buffer that all connections read into
    value_bytes: int = 65536  # of a command
    answer_bytes: int = 1 << 20  # of a value that a backend server sends: many times a command's were seen
    words: int = 16  # of a command
    line_bytes: int = 1024  # a header line of RESP or HTTP
    command_bytes: int = 131072
    id_bytes: int = 64
    drained_bytes: int = 1 << 20  # thrown away after a client's last answer before the connection is reset
    header_lines: int = 64
    table_bytes: int = 4 << 20  # one line of the endpoint table, at least; more by the memory
    datagram_bytes: int = 256
    # counts
    sessions: int = 20000
    pipelined: int = 64  # unanswered requests on one connection before it is read no further
    written_bytes: int = 262144  # unread answers on one connection before it is read no further
    backlog: int = 512
    accepts: int = 64  # connections taken in one turn
    quota_service_connections: int = 4  # it resets what is over 32
    quota_service_pipelined: int = 32  # calls on one of these that have no answer yet
    quota_service_waiting: int = 512  # calls that wait for a connection; more are not made
    # times
    quota_service_call_ns: int = 50 * MS  # a call to it is given up after this
    quota_service_stuck_ns: int = SECOND  # a connection to it whose next answer is late by this is of no use
    quota_service_idle_ns: int = 8 * SECOND  # an idle one is closed after this: the service does it at 10 s
    connect_ns: int = 250 * MS
    command_ns: int = 10 * SECOND  # a command that is begun has to be whole by then
    command_stall_ns: int = 2200 * MS  # and has to go on within this
    silent_ns: int = 2200 * MS  # a client that has sent no whole command by then is closed
    rest_ns: int = 10 * SECOND  # a client's connection that rested this long is closed
    tend_ns: int = 250 * MS  # how often these are looked at
    drained_ns: int = 500 * MS  # after the last answer, how long the client's close is waited for
    answer_ns: int = 250 * MS  # an answer that is begun has to go on within this
    idle_ns: int = 20 * SECOND  # a resting backend connection is closed after this
    settled_ns: int = 10 * MS  # behind an answer, how long a second one may come that nobody asked for
    spare_ns: int = 2 * SECOND  # a client's connection that rested this long may be closed to make room
    newcomer_ns: int = 100 * MS  # the same for one that never asked, or only once
    margin_ns: int = 2 * MS  # a request's way here, taken off the time that its client waits
    table_first_ns: int = 300 * MS  # how long the start waits for discovery before the known list must do
    table_silence_ns: int = 2600 * MS  # a watch says something every 2 s; one that does not is opened anew
    table_answer_ns: int = 800 * MS  # the same for one that has said nothing yet
    table_patience_ns: int = 0  # a call that a list service took is left out for so long; 0: an agent answers
    table_list_ns: int = 250 * MS  # a whole list may take the service so long, for each gateway of the fleet
    table_first_ask_ns: int = 1  # the first watch is opened within this, where a list is known
    table_again_ns: int = 50 * MS  # a lost watch is opened again within this, then twice, four times it
    table_again_most_ns: int = SECOND  # and within this at most
    table_longest_ns: int = 4500 * MS  # no wait is longer: with a dial and an answer it is told within 6 s
    held_up_ns: int = 150 * MS  # a process that gets no processor for longer says so
    start_told_ns: int = 60 * SECOND  # a server may have started so long before discovery first tells of it
    backoff_ns: int = 50 * MS
    backoff_most_ns: int = SECOND
    drain_quiet_ns: int = 450 * MS  # after SIGTERM, connections are kept until no call came for this
    drain_ns: int = 2900 * MS  # and for this at most
    drain_least_ns: int = 500 * MS  # the front sends new clients for up to 0.4 s after SIGTERM
    drain_margin_ns: int = 100 * MS  # before the end, all has its answer
    drain_most_ns: int = 3600 * MS  # after SIGTERM, the end: the longest deadline and more
    # large values
    stream_bytes: int = 65536  # a value larger than this is passed on as it comes: its first bytes are timed
    stream_stall_ns: int = 10 * SECOND  # one that says nothing this long, past its client's time, is cut
    stream_pace_ns: int = 5 * MS  # a value that comes in small pieces is read at most this often
    stream_piece_bytes: int = 16384  # a piece smaller than this is small
    # the operators' door
    control_connections: int = 16  # callers at once; where more come, the oldest is answered and closed
    control_call_ns: int = 900 * MS  # a call has to be whole by then: its answer is due within 1 s
    handover_poll_ns: int = 50 * MS  # how often the hand-over file is looked at: a ban holds within 250 ms
    handover_keep_ns: int = 10 * SECOND  # how often a living process writes it anew
    handover_read_ns: int = 2 * SECOND  # a start waits so long for a file that can't be read for now
    handover_kept_ns: int = 700 * MS  # a yes waits so long for its word to be in the file
    handover_stale_ns: int = 60 * SECOND  # a file that nobody wrote for this long is not trusted
    inherit_wait_ns: int = 250 * MS  # a new process waits so long for the old one's memory: five looks
    inherit_look_ns: int = 10 * MS  # and looks for it so often
    inherit_bytes: int = 1 << 20  # of the memory that is left: files count as memory
    standby_rest_ns: int = 500 * MS  # in standby, a connection that rested this long is closed

    @classmethod
    def for_gateway(
        cls,
        sockets: int,
        memory_mb: int,
        max_open: int,
        connect_ns: int,
        idle_close_ns: int,
        longest_ns: int,
        given: dict[str, int],
        gateways: int = 1,
        ask_within_ns: int = 0,
        operators: bool = False,
    ) -> Limits:
        """Splits the descriptors: a reserve for what is neither client nor backend, and three to two. Where
        memory is short, large values and unread answers get less of it; where there is more, a line of the
        endpoint table may take an eighth of it. operators: their door is open, and
        its callers are counted in the reserve. ask_within_ns, above 0 where
        discovery has to be asked: then it is one service for all gateways, which is asked the more seldom the
        more there are, and left the time to answer. What is given by name goes before."""
        usual, memory_mb = cls(), max(1, memory_mb)
        reserve = max(16, sockets // 25) + operators * given.get(
            "control_connections", usual.control_connections
        )
        stop_ns = min(longest_ns, 3 * SECOND) + 600 * MS  # 0.1 s before SIGKILL
        rest = max(2, sockets - reserve)
        again_ns = usual.table_again_ns * (gateways if ask_within_ns else 1)
        asked = {
            "table_first_ask_ns": again_ns,
            "table_answer_ns": usual.table_silence_ns,
            "table_patience_ns": max(usual.table_silence_ns, gateways * usual.table_list_ns),
            "table_again_most_ns": max(usual.table_again_most_ns, min(ask_within_ns, again_ns * 16)),
        }
        return cls(
            **{
                "frontend_connections": rest * 3 // 5,
                "backend_connections": rest - rest * 3 // 5,
                "reserved": reserve,
                "answer_bytes": min(usual.answer_bytes, memory_mb << 14),
                "written_bytes": min(usual.written_bytes, memory_mb << 11),
                "table_bytes": cls.table_line_bytes(memory_mb),
                "sessions": max(1, max_open),
                "connect_ns": connect_ns,
                "idle_ns": idle_close_ns * 2 // 3,
                "table_again_ns": again_ns,
                **(asked if ask_within_ns else {}),
                "drain_most_ns": stop_ns,
                "drain_ns": max(stop_ns - 700 * MS, min(usual.drain_least_ns, stop_ns)),
                **given,
            }
        )

    @classmethod
    def table_line_bytes(cls, memory_mb: int) -> int:
        """The longest line of the endpoint table: an eighth of the memory, and 4 MiB at least."""
        return max(cls().table_bytes, memory_mb << 17)

    def shared(self) -> Limits:
        """Of two processes of one gateway during an upgrade, whose descriptors count together: half of what
        the reserve of the second leaves. What each connection may hold is the same, so that the memory for
        them is no more either."""
        rest = self.frontend_connections + self.backend_connections
        part = max(0.1, (rest - self.reserved) / 2 / rest)
        return replace(
            self,
            frontend_connections=max(1, int(self.frontend_connections * part)),
            backend_connections=max(1, int(self.backend_connections * part)),
        )


def read_given(table: dict[str, Any]) -> dict[str, int]:
    """Returns by field the limits that operators set, from the configuration's `limits`.

    ValueError or TypeError where one is no number.
    """
    keys = {field.name: KEYS.get(field.name, field.name) for field in fields(Limits)}
    return {name: int(table[key]) for name, key in keys.items() if key in table}
