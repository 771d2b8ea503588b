"""The sizes, counts and times that bound the network code; computed once at the start and passed down.

Operators can set each field under `limits` in the configuration, by its key in `KEYS` or else by its name. A
name ends in its unit; a field without one is a count.
"""

from __future__ import annotations

from dataclasses import dataclass, fields, replace
from typing import Any, Final

MS: Final = 1_000_000  # in nanoseconds
SECOND: Final = 1000 * MS

# Maps a field to its key under `limits` in the configuration; other fields are set by their own names.
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


# How `for_gateway` derives limits from the settings

# Descriptors reserved at least: for the log, the event loop, the listening sockets and some watches.
MIN_RESERVED: Final = 16
# One in this many descriptors is reserved: the sockets of peers and watches grow with the gateway.
RESERVED_PART: Final = 25
# The longest request that shutdown waits for; the platform kills the process 3.7 s after SIGTERM.
SUPPORTED_DRAIN_NS: Final = 3 * SECOND
# After the longest request, how long the process may still run; it ends 0.1 s before the platform kills it.
DRAIN_TAIL_NS: Final = 600 * MS
# How long before the end of the process connections stop being kept for further requests.
LAST_ANSWERS_NS: Final = 700 * MS
MAX_BACKOFF_FACTOR: Final = 16  # the longest backoff of a lost watch, as a multiple of its first

# Sizes derived from the memory: the memory in MB, shifted left by this, gives bytes.
ANSWER_SHIFT: Final = 14  # a value takes at most 1/64 of the memory
UNREAD_SHIFT: Final = 11  # unread answers on one connection take at most 1/512
FORWARDED_VALUES_PART: Final = 3  # forwarded large values take at most one in this many bytes
BUFFERED_VALUES_PART: Final = 6  # buffered large values take at most one in this many bytes
TABLE_LINE_SHIFT: Final = 17  # a line of the endpoint list takes at most 1/8

MIN_SHARED_RATIO: Final = 0.1  # each of two processes has at least this part of the connections of one


@dataclass(frozen=True, slots=True)
class Machine:
    """The input of `for_gateway`: this gateway's part of the machine, and settings of the service."""

    sockets: int  # descriptors of the process
    memory_mb: int
    sessions: int  # concurrent requests
    connect_ns: int  # timeout of a connect to a backend server
    idle_close_ns: int  # a backend server closes an idle connection after this
    longest_request_ns: int
    gateways: int = 1  # in the fleet
    poll_interval_ns: int = 0  # above 0 where discovery is a service that all gateways poll
    has_admin_endpoint: bool = False  # it needs descriptors of its own


@dataclass(frozen=True, slots=True)
class Limits:
    """The limits of one process; two processes of a gateway during an upgrade have `shared` ones."""

    # descriptors: a process divides its own between these three
    frontend_connections: int = 580
    backend_connections: int = 400
    reserved: int = 40  # for the log, the event loop, listening sockets, peers, watches and operators
    # sizes
    read_bytes: int = 65536  # the one buffer that all connections read into
    value_bytes: int = 65536  # of an argument of a command
    # of a value that a backend server sends: far larger than a command's were seen
    answer_bytes: int = 1 << 20
    max_arguments: int = 16  # of a command, its name included
    line_bytes: int = 1024  # a header line of RESP or HTTP
    command_bytes: int = 131072
    id_bytes: int = 64
    # after the last answer to a client, discarded before its connection is reset
    lingering_close_bytes: int = 1 << 20
    header_lines: int = 64
    table_bytes: int = 4 << 20  # a line of the endpoint list; more where there is more memory
    datagram_bytes: int = 256
    # counts
    sessions: int = 20000
    max_pipelined: int = 64  # unanswered requests on one connection before reading from it pauses
    unread_answer_bytes: int = 262144  # unread answers on one connection before reading from it pauses
    backlog: int = 512
    accepts_per_iteration: int = 64  # connections accepted in one iteration of the event loop
    quota_service_connections: int = 4  # the service resets connections beyond 32
    quota_service_pipelined: int = 32  # unanswered calls on one of these connections
    quota_service_waiting: int = 512  # calls that wait for a connection; further ones are not made
    # times
    quota_service_call_ns: int = 50 * MS  # timeout of a call to the quota service
    quota_service_stall_ns: int = SECOND  # a connection to it is closed once its next answer is late by this
    # an idle connection is closed after this: the service closes it at 10 s
    quota_service_idle_ns: int = 8 * SECOND
    connect_ns: int = 250 * MS
    command_ns: int = 10 * SECOND  # a command that has begun must be complete within this
    command_stall_ns: int = 2200 * MS  # and its next bytes must arrive within this
    client_silence_timeout_ns: int = 2200 * MS  # a client that has sent no complete command by then is closed
    client_idle_timeout_ns: int = 10 * SECOND  # a client's connection that has been idle this long is closed
    # after a backend has ended all its connections, how long discovery may take to tell of another process
    replacement_notice_ns: int = 6 * SECOND
    connection_check_interval_ns: int = 250 * MS  # how often the timeouts of connections are checked
    lingering_close_ns: int = 500 * MS  # after the last answer, how long the client may take to close
    answer_stall_ns: int = 250 * MS  # the next bytes of an answer that has begun must arrive within this
    backend_idle_timeout_ns: int = 20 * SECOND  # an idle backend connection is closed after this
    # after an answer, how long an unrequested second one may still arrive
    surplus_answer_wait_ns: int = 10 * MS
    # a client's connection idle this long may be closed to make room for another
    evictable_idle_ns: int = 2 * SECOND
    new_client_grace_ns: int = 100 * MS  # the same for a client that has sent no request, or only one
    request_transit_ns: int = 2 * MS  # network time of a request, subtracted from the client's timeout
    # how long a start waits for discovery before it uses the cached list
    initial_list_wait_ns: int = 300 * MS
    # a watch sends an event every 2 s; a silent one is opened again
    watch_silence_timeout_ns: int = 2600 * MS
    watch_answer_timeout_ns: int = 800 * MS  # the same for a watch that has not sent anything yet
    # how long a call accepted by a list service stays open; 0: an agent answers
    list_call_timeout_ns: int = (
        0  # a call that a list service took is left out for so long; 0: an agent answers
    )
    # how long the service may take for a full list, per gateway of the fleet
    list_time_per_gateway_ns: int = 250 * MS
    first_watch_delay_ns: int = 1  # the first watch is opened within this, where a list is cached
    watch_backoff_ns: int = 50 * MS  # a lost watch is reopened within this, then within 2 and 4 times it
    max_watch_backoff_ns: int = SECOND  # upper bound of that backoff
    max_watch_wait_ns: int = 4500 * MS  # with a connect and an answer after it, the list is here within 6 s
    process_stall_ns: int = 150 * MS  # a longer delay in which the process gets no CPU is logged
    listing_delay_ns: int = 60 * SECOND  # how long before discovery first lists it a server may have started
    backoff_ns: int = 50 * MS
    max_backoff_ns: int = SECOND
    drain_quiet_ns: int = 450 * MS  # after SIGTERM, connections are kept until no call has come for this
    drain_ns: int = 2900 * MS  # and for this at most
    min_drain_ns: int = 500 * MS  # the balancer sends new clients for up to 0.4 s after SIGTERM
    drain_margin_ns: int = 100 * MS  # every request is answered this long before the end
    shutdown_ns: int = 3600 * MS  # from SIGTERM to the end of the process: more than the longest deadline
    # large values
    # a larger value is forwarded while it arrives, since clients time the first bytes
    stream_bytes: int = 65536
    # a value without new bytes for this long, past its client's deadline, is cut off
    stream_stall_ns: int = 10 * SECOND
    # a client that receives nothing more of a value that is being forwarded is closed after this
    forwarding_stall_ns: int = 60 * SECOND
    stream_read_interval_ns: int = 5 * MS  # a value that arrives in small pieces is read at most this often
    stream_small_piece_bytes: int = 16384  # a piece smaller than this is small
    # of all large values that are buffered until they are complete, as other requests wait behind them
    buffered_value_bytes: int = 32 << 20
    forwarded_value_bytes: int = 32 << 20  # of all large values that are forwarded
    # operators
    admin_connections: int = 16  # callers at once; beyond this the oldest is answered and closed
    # a request must be complete by then: its response is due within 1 s
    admin_request_timeout_ns: int = 900 * MS
    # how often the handover file is read: maintenance applies within 250 ms
    handover_poll_interval_ns: int = 50 * MS
    handover_rewrite_interval_ns: int = 10 * SECOND  # how often a running process rewrites the file
    handover_read_timeout_ns: int = 2 * SECOND  # how long a start retries a file that can't be read
    handover_save_timeout_ns: int = 700 * MS  # how long a confirmation waits until the file holds the change
    handover_stale_ns: int = 60 * SECOND  # a file not written for this long is not trusted
    # how long a new process waits for the state of the old one: five polls
    inherit_timeout_ns: int = 250 * MS
    inherit_poll_interval_ns: int = 10 * MS  # and how often it looks for it
    inherit_bytes: int = 1 << 20  # of the inherited state: files in $TMPDIR count as memory
    standby_idle_timeout_ns: int = 500 * MS  # in standby, a connection idle this long is closed

    @classmethod
    def for_gateway(cls, machine: Machine, configured: dict[str, int]) -> Limits:
        """Returns the limits of a gateway; values in `configured`, by field name, take precedence.

        Some descriptors are reserved; clients and backend servers share the others three to two. Where memory
        is short, large values and unread answers get less of it; where there is more, a line of the endpoint
        list may take an eighth of it.
        """
        default = cls()
        memory_mb = max(1, machine.memory_mb)
        reserved = max(MIN_RESERVED, machine.sockets // RESERVED_PART)
        if machine.has_admin_endpoint:
            reserved += configured.get("admin_connections", default.admin_connections)
        connections = max(2, machine.sockets - reserved)
        frontend_connections = connections * 3 // 5
        derived = {
            "frontend_connections": frontend_connections,
            "backend_connections": connections - frontend_connections,
            "reserved": reserved,
            "answer_bytes": min(default.answer_bytes, memory_mb << ANSWER_SHIFT),
            "unread_answer_bytes": min(default.unread_answer_bytes, memory_mb << UNREAD_SHIFT),
            "table_bytes": cls.table_line_bytes(memory_mb),
            "buffered_value_bytes": (memory_mb << 20) // BUFFERED_VALUES_PART,
            "forwarded_value_bytes": (memory_mb << 20) // FORWARDED_VALUES_PART,
            "sessions": max(1, machine.sessions),
            "connect_ns": machine.connect_ns,
            "backend_idle_timeout_ns": machine.idle_close_ns * 2 // 3,  # well before the server closes it
        }
        return cls(**(derived | _polling(default, machine) | _draining(default, machine) | configured))

    @classmethod
    def table_line_bytes(cls, memory_mb: int) -> int:
        """Returns the maximum line of the endpoint list: an eighth of the memory, but at least 4 MiB."""
        return max(cls().table_bytes, memory_mb << TABLE_LINE_SHIFT)

    def shared(self) -> Limits:
        """Returns the limits of each of two processes of one gateway during an upgrade.

        Both count towards the descriptors of one: each gets half of what remains after the reserve of the
        second. A connection has the same bounds as before, so that both use no more memory for connections.
        """
        connections = self.frontend_connections + self.backend_connections
        ratio = max(MIN_SHARED_RATIO, (connections - self.reserved) / 2 / connections)
        return replace(
            self,
            frontend_connections=max(1, int(self.frontend_connections * ratio)),
            backend_connections=max(1, int(self.backend_connections * ratio)),
            buffered_value_bytes=self.buffered_value_bytes // 2,
            forwarded_value_bytes=self.forwarded_value_bytes // 2,
        )


def _polling(default: Limits, machine: Machine) -> dict[str, int]:
    """Returns the limits of calls to discovery where it is one service that all gateways poll.

    The more gateways there are, the less often each calls it, and the longer it may take to answer.
    """
    if not machine.poll_interval_ns:
        return {}
    backoff_ns = default.watch_backoff_ns * machine.gateways
    max_backoff_ns = min(machine.poll_interval_ns, backoff_ns * MAX_BACKOFF_FACTOR)
    return {
        "watch_backoff_ns": backoff_ns,
        "first_watch_delay_ns": backoff_ns,
        "watch_answer_timeout_ns": default.watch_silence_timeout_ns,
        "list_call_timeout_ns": max(
            default.watch_silence_timeout_ns, machine.gateways * default.list_time_per_gateway_ns
        ),
        "max_watch_backoff_ns": max(default.max_watch_backoff_ns, max_backoff_ns),
    }


def _draining(default: Limits, machine: Machine) -> dict[str, int]:
    """Returns the limits of a graceful shutdown, which depend on the longest request."""
    stop_ns = min(machine.longest_request_ns, SUPPORTED_DRAIN_NS) + DRAIN_TAIL_NS
    return {
        "shutdown_ns": stop_ns,
        "drain_ns": max(stop_ns - LAST_ANSWERS_NS, min(default.min_drain_ns, stop_ns)),
    }


def read_configured(table: dict[str, Any]) -> dict[str, int]:
    """Returns the limits that the configuration's `limits` sets, by field name.

    Raises ValueError or TypeError if a value is not a number.
    """
    keys = {field.name: KEYS.get(field.name, field.name) for field in fields(Limits)}
    return {name: int(table[key]) for name, key in keys.items() if key in table}
