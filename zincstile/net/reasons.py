"""Why a gateway closed a connection, refused a request, or sent one again: its counters and trace tell it."""

from __future__ import annotations

from enum import Enum


class Reason(Enum):
    """Counted by identity: an enum's own hash costs a call at each request."""

    __hash__ = object.__hash__


class CloseReason(Reason):
    """Of a client's connection. The first reason holds."""

    CLIENT = "client"  # the client ended or reset it
    MALFORMED = "malformed"  # nothing after what it sent can be understood
    INCOMPLETE = "incomplete"  # it began a command and did not end it in time
    SILENT = "silent"  # it never sent a whole command
    IDLE = "idle"  # it rested for as long as a connection may
    ROOM = "room"  # its descriptor was wanted
    STANDBY = "standby"  # an operator said so
    STOP = "stop"  # the gateway is about to end
    CUT = "cut"  # the value that was passed on can't be finished
    STALLED = "stalled"  # it does not take what was written, or does not end in its turn
    FLOOD = "flood"  # it sent too much behind its end


class RefusalReason(Reason):
    """Of a request that is answered -BUSY before any attempt."""

    SESSIONS = "sessions"  # as many requests are open as may be
    NOT_READY = "not_ready"  # there is no list of backend servers yet
    WAITED = "waited"  # in a queue that no process served, nobody knows for how long
    OVER = "over"  # too late before the end of the process
    QUOTA = "quota"  # beyond the customer's quota, and not worth it
    CEILING = "ceiling"  # beyond the customer's ceiling
    BUDGET = "budget"  # the draw for the back end's budget was lost
    NO_ENDPOINT = "no_server"  # no backend server can take it
    NO_RETRY = "no_retry"  # its attempts never ran, and no further one is allowed


class RetryReason(Reason):
    """Why a request has a further attempt: how the one before ended, or that it has not."""

    HEDGE = "hedge"  # the one before is out still
    CONNECT = "connect"  # it could not connect, or was never written whole
    FULL = "full"  # it was turned away
    MOOT = "moot"  # it was never begun
    ERROR = "error"
    BROKEN = "broken"  # its connection broke behind it
    TIMEOUT = "timeout"
    SPOILT = "spoilt"  # its answer could not be read
