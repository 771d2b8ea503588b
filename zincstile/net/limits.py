"""Every size, count and time that the network code keeps to: filled once at the start and handed down.

Operators can set each field under `limits` in the configuration, by its name or the key in `KEYS`. A name
ends in its unit; a field without one is a count.
"""

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
    "quota_service_stall_ns": "keeper_stuck_ns",
    "quota_service_idle_ns": "keeper_rest_ns",
    "max_arguments": "words",
    "lingering_close_bytes": "drained_bytes",
    "lingering_close_ns": "drained_ns",
    "unread_answer_bytes": "written_bytes",
    "max_pipelined": "pipelined",
    "accepts_per_iteration": "accepts",
    "client_silence_timeout_ns": "silent_ns",
    "client_idle_timeout_ns": "rest_ns",
    "connection_check_interval_ns": "tend_ns",
    "answer_stall_ns": "answer_ns",
    "backend_idle_timeout_ns": "idle_ns",
    "surplus_answer_wait_ns": "settled_ns",
    "evictable_idle_ns": "spare_ns",
    "new_client_grace_ns": "newcomer_ns",
    "request_transit_ns": "margin_ns",
    "initial_list_wait_ns": "table_first_ns",
    "watch_silence_timeout_ns": "table_silence_ns",
    "watch_answer_timeout_ns": "table_answer_ns",
    "list_call_timeout_ns": "table_patience_ns",
    "list_time_per_gateway_ns": "table_list_ns",
    "first_watch_delay_ns": "table_first_ask_ns",
    "watch_backoff_ns": "table_again_ns",
    "max_watch_backoff_ns": "table_again_most_ns",
    "max_watch_wait_ns": "table_longest_ns",
    "process_stall_ns": "held_up_ns",
    "listing_delay_ns": "start_told_ns",
    "max_backoff_ns": "backoff_most_ns",
    "min_drain_ns": "drain_least_ns",
    "shutdown_ns": "drain_most_ns",
    "stream_read_interval_ns": "stream_pace_ns",
    "stream_small_piece_bytes": "stream_piece_bytes",
    "handover_rewrite_interval_ns": "handover_keep_ns",
    "handover_read_timeout_ns": "handover_read_ns",
    "handover_save_timeout_ns": "handover_kept_ns",
    "handover_poll_interval_ns": "handover_poll_ns",
    "inherit_timeout_ns": "inherit_wait_ns",
    "inherit_poll_interval_ns": "inherit_look_ns",
    "standby_idle_timeout_ns": "standby_rest_ns",
    "admin_request_timeout_ns": "control_call_ns",
    "admin_connections": "control_connections",
}


# What `for_gateway` makes of the settings
MIN_RESERVED: Final = 16  # descriptors: the log, the loop, the listening sockets and some watches need these
RESERVED_PART: Final = 25  # of all descriptors one in so many: peers and watches grow with the gateway
SUPPORTED_DRAIN_NS: Final = (
    3 * SECOND
)  # a longer request isn't waited for: the platform kills 3.7 s after SIGTERM
DRAIN_TAIL_NS: Final = 600 * MS  # after the longest request: then the end, 0.1 s before the platform kills
LAST_ANSWERS_NS: Final = 700 * MS  # so long before the end, no connection is kept for further requests
MAX_BACKOFF_FACTOR: Final = 16  # a lost watch's longest wait, in times of its first

# Of the memory in MB (1 << 20 bytes), in bytes a MB
ANSWER_SHIFT: Final = 14  # a value takes 1/64 of the memory at most
UNREAD_SHIFT: Final = 11  # answers unread on one connection, 1/512
TABLE_LINE_SHIFT: Final = 17  # a line of the endpoint list, 1/8

MIN_SHARED_RATIO: Final = 0.1  # of its descriptors each of two processes has at least, however few there are


@dataclass(frozen=True, slots=True)
class Machine:
    """What limits are made from: the machine's part for this gateway, and the settings of the service."""

    sockets: int  # descriptors of the process
    memory_mb: int
    sessions: int  # requests at once
    connect_ns: int  # a connection to a backend server has to be open within this
    idle_close_ns: int  # a backend server closes an idle connection after this
    longest_request_ns: int
    gateways: int = 1  # of the fleet
    poll_interval_ns: int = 0  # above 0 where discovery is a service that all gateways poll
    has_admin_endpoint: bool = False  # the admin endpoint is open


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of one process; two that serve beside each other have `shared` ones."""

    # descriptors: what a process may hold, in three parts
    frontend_connections: int = 580
    backend_connections: int = 400
    reserved: int = 40  # what is neither: the log, the loop, listening sockets, peers, watches, operators
    # sizes
    read_bytes: int = 65536  # the one buffer that all connections read into
    value_bytes: int = 65536  # of a command
    answer_bytes: int = 1 << 20  # of a value that a backend server sends: many times a command's were seen
    max_arguments: int = 16  # arguments of a command, its name counted
    line_bytes: int = 1024  # a header line of RESP or HTTP
    command_bytes: int = 131072
    id_bytes: int = 64
    lingering_close_bytes: int = (
        1 << 20
    )  # thrown away after a client's last answer before the connection is reset
    header_lines: int = 64
    table_bytes: int = 4 << 20  # one line of the endpoint table, at least; more by the memory
    datagram_bytes: int = 256
    # counts
    sessions: int = 20000
    max_pipelined: int = 64  # unanswered requests on one connection before it is read no further
    unread_answer_bytes: int = 262144  # unread answers on one connection before it is read no further
    backlog: int = 512
    accepts_per_iteration: int = 64  # connections taken in one iteration of the loop
    quota_service_connections: int = 4  # it resets what is over 32
    quota_service_pipelined: int = 32  # calls on one of these that have no answer yet
    quota_service_waiting: int = 512  # calls that wait for a connection; more are not made
    # times
    quota_service_call_ns: int = 50 * MS  # a call to it is given up after this
    quota_service_stall_ns: int = SECOND  # a connection to it whose next answer is late by this is of no use
    quota_service_idle_ns: int = 8 * SECOND  # an idle one is closed after this: the service does it at 10 s
    connect_ns: int = 250 * MS
    command_ns: int = 10 * SECOND  # a command that is begun has to be complete within this
    command_stall_ns: int = 2200 * MS  # and has to go on within this
    client_silence_timeout_ns: int = 2200 * MS  # a client that has sent no complete command by then is closed
    client_idle_timeout_ns: int = 10 * SECOND  # a client's connection that was idle this long is closed
    connection_check_interval_ns: int = 250 * MS  # how often connections are checked for the above
    lingering_close_ns: int = 500 * MS  # after the last answer, how long the client's close is waited for
    answer_stall_ns: int = 250 * MS  # an answer that is begun has to go on within this
    backend_idle_timeout_ns: int = 20 * SECOND  # an idle backend connection is closed after this
    surplus_answer_wait_ns: int = (
        10 * MS
    )  # after an answer, how long a second one may come that no request is for
    evictable_idle_ns: int = 2 * SECOND  # a client's connection idle this long may be closed to make room
    new_client_grace_ns: int = 100 * MS  # the same for one that sent no request, or only one
    request_transit_ns: int = 2 * MS  # a request's way here, taken off the time that its client waits
    initial_list_wait_ns: int = (
        300 * MS
    )  # how long the start waits for discovery before the known list must do
    watch_silence_timeout_ns: int = (
        2600 * MS
    )  # a watch sends an event every 2 s; one that does not is opened anew
    watch_answer_timeout_ns: int = 800 * MS  # the same for one that has sent nothing yet
    list_call_timeout_ns: int = (
        0  # a call that a list service took is left out for so long; 0: an agent answers
    )
    list_time_per_gateway_ns: int = (
        250 * MS
    )  # a whole list may take the service so long, for each gateway of the fleet
    first_watch_delay_ns: int = 1  # the first watch is opened within this, where a list is known
    watch_backoff_ns: int = 50 * MS  # a lost watch is opened again within this, then twice, four times it
    max_watch_backoff_ns: int = SECOND  # and within this at most
    max_watch_wait_ns: int = (
        4500 * MS
    )  # no wait is longer: with a connect and an answer, the list is here within 6 s
    process_stall_ns: int = 150 * MS  # a process that gets no processor for longer logs it
    listing_delay_ns: int = 60 * SECOND  # a server may have started so long before discovery first lists it
    backoff_ns: int = 50 * MS
    max_backoff_ns: int = SECOND
    drain_quiet_ns: int = 450 * MS  # after SIGTERM, connections are kept until no call came for this
    drain_ns: int = 2900 * MS  # and for this at most
    min_drain_ns: int = 500 * MS  # the balancer sends new clients for up to 0.4 s after SIGTERM
    drain_margin_ns: int = 100 * MS  # all has its answer so long before the end
    shutdown_ns: int = 3600 * MS  # after SIGTERM, the end: the longest deadline and more
    # large values
    stream_bytes: int = 65536  # a larger value is forwarded as it comes: its first bytes are timed
    stream_stall_ns: int = 10 * SECOND  # one that sends nothing this long, past its client's time, is cut off
    stream_read_interval_ns: int = 5 * MS  # a value that comes in small pieces is read at most this often
    stream_small_piece_bytes: int = 16384  # a piece smaller than this is small
    # operators
    admin_connections: int = 16  # callers at once; where more come, the oldest is answered and closed
    admin_request_timeout_ns: int = (
        900 * MS
    )  # a request has to be complete by then: its response is due within 1 s
    handover_poll_interval_ns: int = (
        50 * MS
    )  # the hand-over file is polled so often: maintenance holds within 250 ms
    handover_rewrite_interval_ns: int = 10 * SECOND  # how often a running process writes it anew
    handover_read_timeout_ns: int = 2 * SECOND  # a start waits so long for a file that can't be read for now
    handover_save_timeout_ns: int = 700 * MS  # a yes waits so long for the file to hold it
    handover_stale_ns: int = 60 * SECOND  # a file that nobody wrote for this long is not trusted
    inherit_timeout_ns: int = 250 * MS  # a new process waits so long for the old one's memory: five polls
    inherit_poll_interval_ns: int = 10 * MS  # and polls for it so often
    inherit_bytes: int = 1 << 20  # of the memory that is left: files count as memory
    standby_idle_timeout_ns: int = 500 * MS  # in standby, a connection idle this long is closed

    @classmethod
    def for_gateway(cls, machine: Machine, given: dict[str, int]) -> Limits:
        """Returns the limits of a gateway; `given`, by field, goes before all that is made here.

        The descriptors are split: a reserve for what is neither client nor backend, and the rest three to
        two. Where memory is short, large values and unread answers get less of it; where there is more, a
        line of the endpoint list may take an eighth of it.
        """
        usual = cls()
        memory_mb = max(1, machine.memory_mb)
        reserved = max(MIN_RESERVED, machine.sockets // RESERVED_PART)
        if machine.has_admin_endpoint:
            reserved += given.get("admin_connections", usual.admin_connections)
        connections = max(2, machine.sockets - reserved)
        frontend_connections = connections * 3 // 5
        made = {
            "frontend_connections": frontend_connections,
            "backend_connections": connections - frontend_connections,
            "reserved": reserved,
            "answer_bytes": min(usual.answer_bytes, memory_mb << ANSWER_SHIFT),
            "unread_answer_bytes": min(usual.unread_answer_bytes, memory_mb << UNREAD_SHIFT),
            "table_bytes": cls.table_line_bytes(memory_mb),
            "sessions": max(1, machine.sessions),
            "connect_ns": machine.connect_ns,
            "backend_idle_timeout_ns": machine.idle_close_ns * 2 // 3,  # well before the server closes it
        }
        return cls(**(made | _polling(usual, machine) | _draining(usual, machine) | given))

    @classmethod
    def table_line_bytes(cls, memory_mb: int) -> int:
        """Returns the longest line of the endpoint list: an eighth of the memory, and 4 MiB at least."""
        return max(cls().table_bytes, memory_mb << TABLE_LINE_SHIFT)

    def shared(self) -> Limits:
        """Returns the limits of each of two processes of one gateway during an upgrade.

        Their descriptors count together: each has half of what the reserve of the second leaves. What each
        connection may hold is the same, so that the memory for them is no more either.
        """
        connections = self.frontend_connections + self.backend_connections
        ratio = max(MIN_SHARED_RATIO, (connections - self.reserved) / 2 / connections)
        return replace(
            self,
            frontend_connections=max(1, int(self.frontend_connections * ratio)),
            backend_connections=max(1, int(self.backend_connections * ratio)),
        )


def _polling(usual: Limits, machine: Machine) -> dict[str, int]:
    """Returns the limits of the calls to a discovery that all gateways poll.

    It is one service: the more gateways there are, the more seldom each calls it, and the longer it may
    take to answer.
    """
    if not machine.poll_interval_ns:
        return {}
    again_ns = usual.watch_backoff_ns * machine.gateways
    longest_backoff_ns = min(machine.poll_interval_ns, again_ns * MAX_BACKOFF_FACTOR)
    return {
        "watch_backoff_ns": again_ns,
        "first_watch_delay_ns": again_ns,
        "watch_answer_timeout_ns": usual.watch_silence_timeout_ns,
        "list_call_timeout_ns": max(
            usual.watch_silence_timeout_ns, machine.gateways * usual.list_time_per_gateway_ns
        ),
        "max_watch_backoff_ns": max(usual.max_watch_backoff_ns, longest_backoff_ns),
    }


def _draining(usual: Limits, machine: Machine) -> dict[str, int]:
    """Returns the limits of a graceful shutdown: as long as the longest request, within bounds."""
    stop_ns = min(machine.longest_request_ns, SUPPORTED_DRAIN_NS) + DRAIN_TAIL_NS
    return {
        "shutdown_ns": stop_ns,
        "drain_ns": max(stop_ns - LAST_ANSWERS_NS, min(usual.min_drain_ns, stop_ns)),
    }


def read_given(table: dict[str, Any]) -> dict[str, int]:
    """Returns by field the limits that operators set, from the configuration's `limits`.

    ValueError or TypeError where one is no number.
    """
    keys = {field.name: KEYS.get(field.name, field.name) for field in fields(Limits)}
    return {name: int(table[key]) for name, key in keys.items() if key in table}
