"""Why a gateway closed a connection, rejected a request, or retried one: for its counters and its trace."""

from __future__ import annotations

from enum import Enum


class CountedReason(Enum):
    """A reason with a counter of its own, whose name ends with the value."""

    __hash__ = object.__hash__  # looked up for each request: an enum's own hash costs a call


class CloseReason(CountedReason):
    """Why a client's connection was closed; the first reason holds."""

    CLOSED_BY_CLIENT = "client"  # the client ended or reset it
    MALFORMED = "malformed"  # nothing after what it sent can be understood
    INCOMPLETE = "incomplete"  # it began a command and did not complete it in time
    SILENT = "silent"  # it never sent a complete command
    IDLE = "idle"  # it was idle for as long as a connection may be
    EVICTED = "evicted"  # its descriptor was needed for another
    STANDBY = "standby"  # an operator put the gateway on standby
    SHUTDOWN = "stop"  # the gateway is about to end
    TRUNCATED = "truncated"  # the value that was passed on can't be completed
    STALLED = "stalled"  # it does not read what was written, or does not close after the end
    FLOOD = "flood"  # it sent too much after the end


class GatewayRejection(CountedReason):
    """Why a request was answered -BUSY before any attempt.

    The policy's own reasons (`decisions.messages.RejectionReason`) have the same names here.
    """

    SESSION_LIMIT = "sessions"  # as many requests are open as may be
    NOT_READY = "not_ready"  # there is no endpoint list yet
    UNKNOWN_AGE = "unknown_age"  # it waited in a queue that no process served, nobody knows for how long
    STOPPING = "stopping"  # too late before the end of the process
    QUOTA = "quota"  # beyond the customer's quota, and not worth its cost
    CEILING = "ceiling"  # beyond the customer's ceiling
    BUDGET = "budget"  # the draw for the backends' budget was lost
    NO_ENDPOINT = "no_endpoint"  # no endpoint can take it
    NO_RETRY = "no_retry"  # its attempts never ran, and no retry is allowed


class RetryReason(CountedReason):
    """Why a request has another attempt: how the one before ended, or that it has not."""

    HEDGE = "hedge"  # the one before is still in flight
    CONNECT = "connect"  # it could not connect, or was never written completely
    REJECTED = "rejected"  # the backend server rejected it
    NOT_SENT = "not_sent"  # it was never begun
    ERROR = "error"  # the backend server answered with an error
    RESET = "reset"  # its connection was lost after it was written
    TIMEOUT = "timeout"  # it had no answer in time
    MALFORMED_RESPONSE = "malformed_response"  # its answer could not be read
